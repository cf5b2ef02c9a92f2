/** An agent's record of one run. */
import type { RunOrder } from '@baobabpost/fleet-calls'
import type { EntrySession } from './entry-session.js'
import type { RunWork } from './run-time-model.js'

/**
 * State of a run at an agent.
 *
 * - `waiting`: accepted, in the agent's queue;
 * - `reserved`: its capacity is reserved, and its start order is sent once earlier ones are answered;
 * - `ordered`: the start order was sent;
 * - `unsure`: the start order got no answer; it may have been carried out, or may be later (unconfirmed);
 * - `running`: confirmed by the upstream;
 * - `stopping`: being stopped until its completion, or proof that it can't start;
 * - `displaced`: ordered before the upstream was started again; the order may have reached either instance.
 */
export type RunState = 'waiting' | 'reserved' | 'ordered' | 'unsure' | 'running' | 'stopping' | 'displaced'

/** Stop reason of a run whose start orders got no answer: the run is stopped to be given back to its entry. */
export const ORDER_UNANSWERED = 'order unanswered'

/** The runs of one start call; the entry is notified once all of them are done. */
export interface RunGroup {
  /** Number of runs that have not ended. */
  openRunCount: number
}

export interface RunRecord {
  readonly order: RunOrder
  readonly work: RunWork
  readonly session: EntrySession
  readonly group: RunGroup
  readonly specification: string
  /** Service that the upstream must belong to; undefined if the order does not state it. */
  readonly service: string | undefined
  readonly priority: number
  /** Agent time up to which the run waits for free capacity. */
  readonly waitDeadline: number
  /** Agent time at which the run was accepted. */
  readonly acceptedAt: number
  state: RunState
  /** Run number used at the upstream: the entry's, or a higher one if the upstream has already seen that. */
  upstreamRunNumber: number
  runNumberAttempts: number
  /** Why the last start order was not carried out; empty before the first repetition. */
  lastRefusal: string
  /** Agent time of the last start order; 0 before the first. */
  orderedAt: number
  /** Fencing token of the last start order; 0 before the first. */
  orderedFence: number
  /** Whether the upstream has confirmed that the run started. */
  isConfirmed: boolean
  /** Highest progress that a listing showed, 0 to 100. */
  percent: number
  /** Agent time of the listing that first showed `percent`. */
  lastProgressAt: number
  /**
   * A listing requested at or after this agent time proves by the run's absence that it is gone; undefined while the
   * run waits or an order for it is under way.
   */
  absenceConclusiveFrom: number | undefined
  /** Reason of the stop, reported to the entry; empty if the run is not being stopped. */
  stopReason: string
  /** Agent time of the last stop order; 0 before the first. */
  stopOrderedAt: number
  /** Agent time of the first stop order; 0 before it. */
  firstStopOrderedAt: number
  /** Number of stop orders that were sent. */
  stopAttempts: number
  /** Whether the stop order has to be sent again, because the last one failed. */
  isStopDue: boolean
  /** Whether another entry has ordered the same task since, because the caller sent its job again there. */
  isSuperseded: boolean
}

/** Whether a start order of the run was sent. */
export function isOrdered ({ state }: RunRecord): boolean {
  return state !== 'waiting' && state !== 'reserved'
}

/** Whether capacity is reserved for the run: it runs at the upstream, or may yet start there. */
export function hasReservedCapacity (record: RunRecord): boolean {
  return record.state !== 'waiting'
}
