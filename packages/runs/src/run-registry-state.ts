/** State of an agent's run registry, and the changes to it that several modules share. */
import type { EventLogger } from '@baobabpost/common'
import { createEvacuationRegister, EMPTY_SIZE, type EvacuationRegister, type Size } from '@baobabpost/fleet-calls'
import type { EntrySession } from './entry-session.js'
import { createCrashRecord, type CrashRecord } from './crash-record.js'
import { createKeptOrders, type KeptOrders } from './kept-orders.js'
import { createOpenOrders, type OpenOrders } from './open-orders.js'
import { createUnansweredRenewals, type UnansweredRenewals } from './renewal-record.js'
import { createRunQueue, type RunQueue } from './run-queue.js'
import type { RunRecord } from './run-record.js'
import {
  FENCING_TOKEN_STEP, LOGGED_SUSPENSION_MILLISECONDS, TOMBSTONE_RETENTION_MILLISECONDS
} from './run-limits.js'
import type { StartOrder, StopOrder } from './upstream.js'
import { createUpstreamState, type UpstreamState } from './upstream-state.js'

/** Actions that the run registry requests from the agent program. */
export interface RunRegistryPorts {
  /** Sends a start order; its answer is passed to `handleStartAnswer`. */
  sendStart: (record: RunRecord, order: StartOrder) => void
  /** Sends a stop order; its answer is passed to `handleStopAnswer`. */
  sendStop: (record: RunRecord, order: StopOrder) => void
  /** Sends a stop order for a run that is not in the registry; its answer is ignored. */
  stopUnknownRun: (order: StopOrder) => void
  /** Requests a listing at once, beside one that may be waiting for a completion. */
  listImmediately: () => void
  /** Answers the waiting watch of an entry, or of all entries without an argument. */
  wake: (session?: EntrySession) => void
  readonly logger: EventLogger
}

export interface RunCounts {
  /** Runs that must have their upstream to themselves. */
  lone: number
  /** Runs for which capacity is reserved. */
  reserved: number
  /** Runs of both kinds. */
  reservedLone: number
}

/** The runs that are being stopped, and whether the run lease may be renewed beside them. */
export interface RunningStops {
  /** Runs whose stop began, until they end. */
  readonly runs: Set<RunRecord>
  /** Runs with a stop order that has no answer. */
  readonly underWay: Set<RunRecord>
  /** Runs whose stop order is sent once others are answered. */
  readonly queued: Set<RunRecord>
  /** Rises whenever a run or an order changes so that the lease may no longer be renewed, or may be again. */
  revision: number
  /** Agent time and revision for which `wasRenewable` was found. */
  checkedAt: number
  checkedRevision: number
  wasRenewable: boolean
}

export interface RunRegistryState {
  readonly incarnation: string
  /** Runs by task. */
  readonly runs: Map<string, RunRecord>
  /** The same runs by session. */
  readonly runsBySession: Map<EntrySession, Set<RunRecord>>
  readonly queue: RunQueue
  /** Runs with a start order that has no answer. */
  readonly startsUnderWay: Set<RunRecord>
  /** Runs whose capacity is reserved and whose start order is still to be sent, in their order. */
  readonly reservedRuns: Set<RunRecord>
  readonly stops: RunningStops
  /** Numbers of the runs that lone runs are compared with. */
  readonly runCounts: RunCounts
  /** Time for which the agent's clock stood still, as the upstream's showed; the clock that entries are told has it. */
  suspendedMilliseconds: number
  /** Newest session of each entry, by the entry's name. */
  readonly sessions: Map<string, EntrySession>
  /** Orders that must not be accepted again, with the agent time at which the tombstone expires; oldest first. */
  readonly tombstones: Map<string, number>
  /** Start orders of all runs, also of those that have ended, which may yet be carried out. */
  readonly openOrders: OpenOrders
  /** Such orders of other agents, as entries have told them. */
  readonly keptOrders: KeptOrders
  reserved: Size
  /** Moving average of the sizes of the started runs. */
  usualRun: Size
  /** The current instance of the upstream. */
  upstream: UpstreamState
  /** Whether the phase was `serving` before: no run of an earlier incarnation of the agent is left. */
  isCleared: boolean
  fencingToken: number
  /** Lower bound of the token that entries are told for the next incarnation, which then needs no telling each time. */
  toldFence: number
  /** Highest token that the upstream has rejected although the agent had used none above it; 0 without any. */
  rejectedFence: number
  readonly unansweredRenewals: UnansweredRenewals
  /** Next increment of the fencing token when the upstream has seen a higher one. */
  fencingTokenStep: number
  /** Newest factor on the callers' estimates that an entry told, by route. */
  readonly routeFactors: Map<string, number>
  /** Returns that factor of a route; 1 for one that no entry told. */
  readonly routeFactor: (route: string) => number
  /** Crashes of the upstream's instances, and the candidates of crashes that were done here. */
  readonly crashes: CrashRecord
  /** The evacuated failure domains, as entries have told them. */
  readonly evacuations: EvacuationRegister
  /** Agent time at which an entry last told as much of them as is known here. */
  evacuationsConfirmedAt: number
  /** Whether the agent is in its graceful shutdown. */
  isShuttingDown: boolean
  profileVersion: number
  /** Digest of the profile of version `profileVersion`. */
  profileDigest: string
}

/**
 * Creates the state of an agent that has just started.
 *
 * @param fencingToken - Initial fencing token; raised later if the upstream has seen a higher one.
 */
export function createRunRegistryState (incarnation: string, fencingToken: number): RunRegistryState {
  const routeFactors = new Map<string, number>()
  const routeFactor = (route: string): number => routeFactors.get(route) ?? 1
  return {
    incarnation,
    runs: new Map(),
    runsBySession: new Map(),
    queue: createRunQueue(),
    startsUnderWay: new Set(),
    reservedRuns: new Set(),
    stops: {
      runs: new Set(),
      underWay: new Set(),
      queued: new Set(),
      revision: 0,
      checkedAt: -Infinity,
      checkedRevision: 0,
      wasRenewable: false
    },
    runCounts: { lone: 0, reserved: 0, reservedLone: 0 },
    suspendedMilliseconds: 0,
    sessions: new Map(),
    tombstones: new Map(),
    openOrders: createOpenOrders(),
    keptOrders: createKeptOrders(),
    reserved: EMPTY_SIZE,
    usualRun: EMPTY_SIZE,
    upstream: createUpstreamState(undefined, routeFactor),
    isCleared: false,
    fencingToken,
    toldFence: fencingToken,
    rejectedFence: 0,
    unansweredRenewals: createUnansweredRenewals(),
    fencingTokenStep: FENCING_TOKEN_STEP,
    routeFactors,
    routeFactor,
    crashes: createCrashRecord(incarnation),
    evacuations: createEvacuationRegister(),
    evacuationsConfirmedAt: 0,
    isShuttingDown: false,
    profileVersion: 1,
    profileDigest: ''
  }
}

function tombstoneKey (session: EntrySession, task: string, run: number): string {
  return `${session.entry} ${session.incarnation} ${task} ${run}`
}

/** Adds a tombstone for an entry's order, so that a delayed copy of the order is not accepted. */
export function addTombstone (
  state: RunRegistryState, session: EntrySession, task: string, run: number, now: number
): void {
  const key = tombstoneKey(session, task, run)
  state.tombstones.delete(key)
  state.tombstones.set(key, now + TOMBSTONE_RETENTION_MILLISECONDS)
}

/** Whether an entry's order was refused, or its run has ended, within the tombstone retention. */
export function hasTombstone (state: RunRegistryState, session: EntrySession, task: string, run: number): boolean {
  return state.tombstones.has(tombstoneKey(session, task, run))
}

/**
 * Records a reading of the upstream's clock. A forward jump means that the VM was suspended; the agent's clock stopped
 * for that time, so the entry leases are shortened by it, also those of calls that are still under way.
 */
export function recordUpstreamClock (
  state: RunRegistryState, ports: RunRegistryPorts, clock: number | undefined, now: number
): void {
  if (clock === undefined) return
  const suspendedMilliseconds = state.upstream.clock.recordReading(clock, now)
  if (suspendedMilliseconds === 0) return
  if (suspendedMilliseconds >= LOGGED_SUSPENSION_MILLISECONDS) {
    ports.logger.warn('this VM was suspended', { milliseconds: Math.round(suspendedMilliseconds) })
  }
  state.suspendedMilliseconds += suspendedMilliseconds
  for (const session of state.sessions.values()) session.leaseUntil -= suspendedMilliseconds
  state.stops.revision += 1
}
