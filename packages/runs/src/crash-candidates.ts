/** The runs that may have crashed an upstream: those that were there when its instance ended. */
import type { CrashCandidate } from '@baobabpost/fleet-calls'
import { isOrdered, type RunRecord } from './run-record.js'
import type { RunRegistryState } from './run-registry-state.js'

/** Most runs that a log line names. */
const MAXIMUM_LOGGED_RUNS = 16

/**
 * Returns the runs at the upstream, the last ordered one first. An order without an answer counts: the upstream may
 * have carried it out before it crashed.
 *
 * @example
 * crashCandidates(state) // before the runs of the ended instance are removed
 */
export function crashCandidates (state: RunRegistryState): RunRecord[] {
  const candidates = [...state.runs.values()].filter(record =>
    isOrdered(record) && record.state !== 'displaced')
  return candidates.sort((left, right) => right.orderedAt - left.orderedAt)
}

/**
 * Describes a candidate for the entries.
 *
 * @param orderedBy - Agent time up to which orders reached the ended instance; later ones may have reached the next.
 */
export function describeCandidate (
  { order, work, isConfirmed, orderedAt }: RunRecord, orderedBy: number
): CrashCandidate {
  const isUnconfirmed = !isConfirmed || orderedAt > orderedBy
  return { task: order.task, route: work.route, ...(isUnconfirmed ? { isUnconfirmed } : {}) }
}

/**
 * Describes candidates for a log line, each as `TASK@AGE` with the milliseconds since its order.
 *
 * @example
 * logCandidates(crashCandidates(state), now) // '5c0e7a21d94b36f8.0.0.0@17 5c0e7a21d94b36f8.0.0.1@17'
 */
export function logCandidates (candidates: readonly RunRecord[], now: number): string {
  const named = candidates.slice(0, MAXIMUM_LOGGED_RUNS)
  return named.map(({ order, orderedAt }) => `${order.task}@${Math.round(now - orderedAt)}`).join(' ')
}
