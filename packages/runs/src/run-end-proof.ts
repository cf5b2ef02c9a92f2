/** What proves that a run has ended, so that its task may start elsewhere and a crash may be recorded under it. */
import type { ListedRuns } from './listed-runs.js'
import { isRunLeaseOver } from './run-lease.js'
import { isOrdered, type RunRecord } from './run-record.js'
import type { RunRegistryState } from './run-registry-state.js'
import type { ListedCompletion } from './upstream.js'

/**
 * What the agent has observed of a run.
 *
 * - `completion`: a listing of the known instance has a completion;
 * - `listing`: a listing of the known instance shows its running runs;
 * - `no-answer`: the upstream refuses or resets connections, or does not answer. By itself that proves nothing: an
 *   upstream that stopped listening or is cut off keeps its runs until their lease is over.
 */
export type RunObservation =
  | { readonly kind: 'completion', readonly completion: ListedCompletion }
  | {
    readonly kind: 'listing'
    readonly listedRuns: ListedRuns
    /** Fencing token of the list order. */
    readonly fencingToken: number
    /** Agent time at which it was sent. */
    readonly requestedAt: number
  }
  | { readonly kind: 'no-answer', readonly now: number }

/**
 * Whether a listing shows all there is of a run. After a listing, the upstream rejects a start order with a lower
 * fencing token.
 */
export function isListingConclusive (
  state: RunRegistryState, record: RunRecord, fencingToken: number, requestedAt: number
): boolean {
  if (record.state === 'displaced') return fencingToken >= state.fencingToken
  if (record.state === 'stopping' && record.orderedFence < fencingToken) return true
  return record.absenceConclusiveFrom !== undefined && requestedAt >= record.absenceConclusiveFrom
}

/**
 * Whether a run is absent from a listing. A displaced run may be listed under an earlier number, whose order got no
 * answer before a later one was confirmed.
 */
function isAbsent ({ order: { task }, state, upstreamRunNumber }: RunRecord, listedRuns: ListedRuns): boolean {
  const isListed = state === 'displaced' ? listedRuns.hasTask(task) : listedRuns.has(task, upstreamRunNumber)
  return !isListed && !listedRuns.isDoubtful(task)
}

/**
 * Whether an observation proves that an ordered run has ended and will not start any more.
 *
 * @example
 * isEndProven(state, record, { kind: 'no-answer', now }) // false until the run lease is over on the slowest clock
 */
export function isEndProven (state: RunRegistryState, record: RunRecord, observation: RunObservation): boolean {
  if (!isOrdered(record)) return false
  switch (observation.kind) {
    case 'completion':
      return record.upstreamRunNumber === observation.completion.run
    case 'listing': {
      const { listedRuns, fencingToken, requestedAt } = observation
      return isListingConclusive(state, record, fencingToken, requestedAt) && isAbsent(record, listedRuns)
    }
    case 'no-answer':
      // An order without an answer may be carried out by the next instance.
      return isRunLeaseOver(state, observation.now) && !state.openOrders.has(record.order.task, observation.now)
  }
}
