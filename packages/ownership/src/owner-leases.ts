/** Leases of partition owners. Entries of another build may keep other lengths, so each tells its own. */
import { OwnerLeases } from '@baobabpost/messages'
import { Result, Schema } from 'effect'

/** Leases that entries of this build keep. */
export const KEPT_OWNER_LEASES: OwnerLeases = { ownerMilliseconds: 2_000, notRunMilliseconds: 1_000 }

/** Leases of an entry that has told none: the longest that any build kept before entries told them. */
const UNTOLD_OWNER_LEASES: OwnerLeases = { ownerMilliseconds: 2_000, notRunMilliseconds: 1_000 }

/** Longest lease that is believed: half the time after which the registration of a silent entry is removed. */
const MAXIMUM_TOLD_MILLISECONDS = 10_000

const decodeLeases = Schema.decodeUnknownResult(OwnerLeases)

/** The longest leases that any entry of the fleet may rely on. */
export interface LongestLeases {
  /** Adds the leases that the registration of an entry tells. */
  add: (told: unknown) => void
  ownerMilliseconds: () => number
  notRunMilliseconds: () => number
}

/**
 * Creates the longest leases of a fleet of which only the own ones are known.
 *
 * @example
 * const leases = createLongestLeases(KEPT_OWNER_LEASES)
 * leases.add(registration.leases)
 */
export function createLongestLeases (own: OwnerLeases): LongestLeases {
  let ownerMilliseconds = 0
  let notRunMilliseconds = 0

  function extend (leases: OwnerLeases): void {
    ownerMilliseconds = Math.max(ownerMilliseconds, Math.min(MAXIMUM_TOLD_MILLISECONDS, leases.ownerMilliseconds))
    notRunMilliseconds = Math.max(notRunMilliseconds, Math.min(MAXIMUM_TOLD_MILLISECONDS, leases.notRunMilliseconds))
  }

  extend(own)
  extend(UNTOLD_OWNER_LEASES)
  return {
    add: told => {
      const decoded = decodeLeases(told)
      if (Result.isSuccess(decoded)) extend(decoded.success)
    },
    ownerMilliseconds: () => ownerMilliseconds,
    notRunMilliseconds: () => notRunMilliseconds
  }
}
