/** State of an agent's run registry, and the changes to it that several modules share. */
import type { EventLogger } from '@baobabpost/common'
import {
  addSizes, CRASHES_BEFORE_RUNNING_ALONE, createEvacuationRegister, EMPTY_SIZE, fitsInto, scaleSize, subtractSizes,
  type EvacuationRegister, type RunOutcome, type Size
} from '@baobabpost/fleet-calls'
import { addReport, type EntrySession } from './entry-session.js'
import { createCrashRecord, type CrashRecord } from './crash-record.js'
import { createKeptOrders, type KeptOrders } from './kept-orders.js'
import { createOpenOrders, type OpenOrders } from './open-orders.js'
import { createUnansweredRenewals, type UnansweredRenewals } from './renewal-record.js'
import { createRunQueue, type RunQueue } from './run-queue.js'
import { hasReservedCapacity, type RunRecord } from './run-record.js'
import { limitCapacity } from './slow-start.js'
import {
  FENCING_TOKEN_STEP, LOGGED_SUSPENSION_MILLISECONDS, OBSERVATION_WEIGHT, TOMBSTONE_RETENTION_MILLISECONDS
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
    stops: { runs: new Set(), revision: 0, checkedAt: -Infinity, checkedRevision: 0, wasRenewable: false },
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

/** Capacity of the upstream that is not reserved; while it is cold, of the share that new runs may use. */
export function freeCapacity (state: RunRegistryState, now: number): Size {
  const capacity = state.upstream.heartbeat?.capacity ?? EMPTY_SIZE
  const limit = limitCapacity(capacity, state.upstream.slowStart.share(now), state.usualRun)
  return subtractSizes(limit, state.reserved)
}

/** Whether a run may start: it fits into the free capacity, or a cold upstream has the capacity and no other run. */
export function hasCapacityFor (state: RunRegistryState, size: Size, now: number): boolean {
  if (fitsInto(size, freeCapacity(state, now))) return true
  const capacity = state.upstream.heartbeat?.capacity ?? EMPTY_SIZE
  if (state.upstream.slowStart.share(now) >= 1 || !fitsInto(size, capacity)) return false
  return state.runCounts.reserved === 0
}

/** Whether a run must have its upstream to itself. */
export function mustRunAlone ({ order }: RunRecord): boolean {
  return (order.crashCount ?? 0) >= CRASHES_BEFORE_RUNNING_ALONE
}

/** Adds a run that waits. */
export function addRun (state: RunRegistryState, record: RunRecord): void {
  state.runs.set(record.order.task, record)
  const runsOfSession = state.runsBySession.get(record.session) ?? new Set()
  state.runsBySession.set(record.session, runsOfSession.add(record))
  state.queue.add(record)
  if (mustRunAlone(record)) state.runCounts.lone += 1
}

/** Counts a run whose capacity is reserved, or no longer is. */
function countReserved ({ runCounts }: RunRegistryState, record: RunRecord, change: 1 | -1): void {
  runCounts.reserved += change
  if (mustRunAlone(record)) runCounts.reservedLone += change
}

/** Removes a run, and releases the capacity that is reserved for it. */
export function removeRun (state: RunRegistryState, record: RunRecord): void {
  state.runs.delete(record.order.task)
  const runsOfSession = state.runsBySession.get(record.session)
  runsOfSession?.delete(record)
  if (runsOfSession?.size === 0) state.runsBySession.delete(record.session)
  state.stops.runs.delete(record)
  state.stops.revision += 1
  if (mustRunAlone(record)) state.runCounts.lone -= 1
  if (!hasReservedCapacity(record)) return state.queue.remove(record)
  state.reserved = subtractSizes(state.reserved, record.order.size)
  countReserved(state, record, -1)
}

/** Reserves capacity for a run whose start order is about to be sent. */
export function reserveCapacity (state: RunRegistryState, record: RunRecord): void {
  state.queue.remove(record)
  record.state = 'ordered'
  countReserved(state, record, 1)
  state.reserved = addSizes(state.reserved, record.order.size)
  const weight = state.usualRun.processor === 0 ? 1 : OBSERVATION_WEIGHT
  state.usualRun = addSizes(scaleSize(state.usualRun, 1 - weight), scaleSize(record.order.size, weight))
}

/** Records that the upstream has confirmed a run. Its entry is told unless an earlier order of it is still open. */
export function confirmRun (state: RunRegistryState, record: RunRecord, now: number): void {
  record.isConfirmed = true
  const { session, order: { task, run } } = record
  if (!state.openOrders.has(task, now)) session.confirmed.set(task, { task, run, toldAt: undefined })
}

/** Removes a run from the registry and reports its outcome to its entry. */
export function endRun (
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, outcome: RunOutcome, reason: string, now: number
): void {
  if (state.runs.get(record.order.task) !== record) return
  removeRun(state, record)
  record.session.confirmed.delete(record.order.task)
  addTombstone(state, record.session, record.order.task, record.order.run, now)
  if (outcome === 'done' && record.order.crashCount !== undefined) state.crashes.recordCleared(record.order.task, now)
  const milliseconds = record.orderedAt === 0 ? 0 : now - record.orderedAt
  const openOrderMilliseconds = Math.ceil(state.openOrders.remainingMilliseconds(record.order.task, now))
  const reportedOutcome = record.isSuperseded ? 'superseded' : outcome
  record.group.openRunCount -= 1
  // The entry acts when all runs of the group are done; any other outcome needs its decision at once.
  const isUrgent = reportedOutcome !== 'done' || record.group.openRunCount === 0
  addReport(
    record.session,
    {
      task: record.order.task,
      run: record.order.run,
      outcome: reportedOutcome,
      reason,
      milliseconds,
      ...(openOrderMilliseconds > 0 ? { openOrderMilliseconds } : {})
    },
    isUrgent
  )
  ports.logger.info('run ended', {
    task: record.order.task,
    run: record.order.run,
    entry: record.session.entry,
    outcome,
    reason,
    milliseconds: Math.round(milliseconds),
    confirmed: record.isConfirmed,
    open: openOrderMilliseconds,
    upstreamRun: record.upstreamRunNumber,
    state: record.state
  })
  if (isUrgent) ports.wake(record.session)
}
