/**
 * Lengths of the leases that limit how long a run can outlive the entry that ordered it.
 *
 * A client whose connection broke sends its job again 1,300 ms later, to any entry. No run of the first attempt may
 * be left then, even if the entry failed and the agent after it. Both leases together, including the drift of the
 * upstream's clock, are therefore shorter than that.
 *
 * An agent tells the leases that it keeps, and entries rely on what they were told: an agent of another build may keep
 * other lengths.
 */
import { Result, Schema } from 'effect'
import { isBetween } from './wire-values.js'

/** Time for which an agent keeps an entry's runs after it sent the newest answer that the entry has received. */
export const ENTRY_LEASE_MILLISECONDS = 570

/** Longest time for which an upstream keeps runs after the agent last renewed their lease. */
export const RUN_LEASE_MILLISECONDS = 640

/** Largest real duration of a lease over its length: an upstream's clock may be 2 % slow. */
export const MAXIMUM_LEASE_STRETCH = 1.02

/** Longest real duration of a run lease. */
export const RUN_LEASE_BOUND_MILLISECONDS = RUN_LEASE_MILLISECONDS * MAXIMUM_LEASE_STRETCH

/** Allowance for late timers and for messages in transit when one process relies on a lease kept by another. */
export const LEASE_MARGIN_MILLISECONDS = 20

/** Leases that an agent keeps for the runs of an entry, in milliseconds. */
export const LeaseLengths = Schema.Struct({
  /** Time for which the agent keeps an entry's runs after it sent the newest answer that the entry has received. */
  entryMilliseconds: Schema.Number,
  /** Longest real time for which the upstream keeps runs after the agent last renewed their lease. */
  runMilliseconds: Schema.Number
})
export type LeaseLengths = typeof LeaseLengths.Type

/** Leases that agents of this build keep. */
export const KEPT_LEASES: LeaseLengths = {
  entryMilliseconds: ENTRY_LEASE_MILLISECONDS, runMilliseconds: RUN_LEASE_BOUND_MILLISECONDS
}

/** Leases of an agent that has told none: the longest that any build kept before agents told them. */
export const UNTOLD_LEASES: LeaseLengths = { entryMilliseconds: 600, runMilliseconds: 652.8 }

/** Leases that an entry believes. Others come from a faulty process; a short one would move tasks that still run. */
const PLAUSIBLE_LEASE_MILLISECONDS = { minimum: 100, maximum: 10_000 }
const decodeLeases = Schema.decodeUnknownResult(LeaseLengths)

function isPlausible (milliseconds: number): boolean {
  return isBetween(milliseconds, PLAUSIBLE_LEASE_MILLISECONDS.minimum, PLAUSIBLE_LEASE_MILLISECONDS.maximum)
}

/**
 * Returns the leases to rely on for an agent, given what it has told.
 *
 * @example
 * readLeases(profile.leases).entryMilliseconds // 570
 */
export function readLeases (told: unknown): LeaseLengths {
  const decoded = decodeLeases(told)
  if (Result.isFailure(decoded)) return UNTOLD_LEASES
  const leases = decoded.success
  return isPlausible(leases.entryMilliseconds) && isPlausible(leases.runMilliseconds) ? leases : UNTOLD_LEASES
}
