/** What an agent knows of the current instance of its upstream. */
import { createLeaseRenewals, type LeaseRenewals } from './lease-renewals.js'
import { createSlowStart, type SlowStart } from './slow-start.js'
import { createLastingRows, type LastingRows } from './lasting-rows.js'
import { createObservations, type Observations } from './observations.js'
import { createPace, type Pace } from './pace.js'
import { createRunTimeModel, type RunTimeModel } from './run-time-model.js'
import { createUpstreamClock, type UpstreamClock } from './upstream-clock.js'
import type { UpstreamHeartbeat, UpstreamInstance } from './upstream.js'

/**
 * Progress of the agent in taking control of the current instance of its upstream.
 *
 * - `unfenced`: orders of an earlier incarnation of the agent may still be carried out;
 * - `clearing`: the fencing token is in force, and runs of an earlier incarnation are being stopped;
 * - `serving`: all runs at the upstream are in the registry.
 */
export type UpstreamPhase = 'unfenced' | 'clearing' | 'serving'

/**
 * Everything that an agent knows of one instance of its upstream. The next instance gets a new object: what one said,
 * such as its capacity, its clock or that it leaves, tells nothing about another.
 */
export interface UpstreamState {
  /** Undefined until a heartbeat or a listing names it; the id is empty until a heartbeat does. */
  instance: UpstreamInstance | undefined
  /** Agent time at which `instance` was learned; 0 while it is undefined. */
  instanceKnownSince: number
  /** The instance before this one, whose late messages tell nothing about this one. */
  predecessor: UpstreamInstance | undefined
  /** Newest heartbeat; nothing starts before the first one. */
  heartbeat: UpstreamHeartbeat | undefined
  /** Whether any heartbeat of the instance said that it leaves, which it can't take back. */
  isLeaving: boolean
  /** Whether the upstream has deregistered. */
  hasDeparted: boolean
  phase: UpstreamPhase
  readonly clock: UpstreamClock
  readonly observations: Observations
  readonly runTimes: RunTimeModel
  readonly pace: Pace
  /** Whether the upstream was last logged as slowing down. */
  isLoggedSlow: boolean
  /** Factor of the run times when they were last logged. */
  loggedFactor: number
  readonly slowStart: SlowStart
  /** Number of the last completion that was processed. */
  lastCompletionNumber: number
  /** Whether a completion with an implausible number was logged; it is listed again and again. */
  hasLoggedOddCompletion: boolean
  /** Agent time of the last listing; 0 before the first. */
  lastListingAt: number
  /** Highest clock of the upstream in a listing, in milliseconds. */
  lastListingClock: number
  /** Number of consecutive unanswered listings. */
  unansweredListings: number
  /** Agent time of the first refused connection since the last listing; undefined without one. */
  refusedSince: number | undefined
  /** Agent time at which a list or start order last got no answer; `-Infinity` without one. */
  lastUnansweredAt: number
  /** The list and start orders that renewed the lease of all runs. */
  readonly renewals: LeaseRenewals
  /** Fencing token of the last order that carried a lease end; 0 before the first. */
  leaseFence: number
  /** Rows of the newest listing that show unknown runs or don't decode. */
  readonly lastingRows: LastingRows
  /** Number of runs in the newest listing that were not in the registry and may be running. */
  unknownRunCount: number
}

/**
 * Creates the state of an instance that has not been heard of, or of which only the identity is known.
 *
 * @param routeFactor - Returns the newest factor on the estimates of a route.
 * @param former - Lease renewals of the instance before; absent without one.
 * @example
 * state.upstream = createUpstreamState({ id: 'i-7f3a91c2', startedAt: 1_791_652_171_802 }, () => 1)
 */
export function createUpstreamState (
  instance: UpstreamInstance | undefined, routeFactor: (route: string) => number, former?: LeaseRenewals
): UpstreamState {
  return {
    instance,
    instanceKnownSince: 0,
    predecessor: undefined,
    heartbeat: undefined,
    isLeaving: false,
    hasDeparted: false,
    phase: 'unfenced',
    clock: createUpstreamClock(),
    observations: createObservations(),
    runTimes: createRunTimeModel(routeFactor),
    pace: createPace(),
    isLoggedSlow: false,
    loggedFactor: 1,
    slowStart: createSlowStart(),
    lastCompletionNumber: 0,
    hasLoggedOddCompletion: false,
    lastListingAt: 0,
    lastListingClock: 0,
    unansweredListings: 0,
    refusedSince: undefined,
    lastUnansweredAt: -Infinity,
    renewals: createLeaseRenewals(former),
    leaseFence: 0,
    lastingRows: createLastingRows(),
    unknownRunCount: 0
  }
}
