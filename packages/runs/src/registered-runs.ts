/** Runs of the registry: their capacity at the upstream, and their confirmation and end. */
import {
  addSizes, CRASHES_BEFORE_RUNNING_ALONE, EMPTY_SIZE, fitsInto, scaleSize, subtractSizes, type RunOutcome, type Size
} from '@baobabpost/fleet-calls'
import { addReport } from './entry-session.js'
import { OBSERVATION_WEIGHT } from './run-limits.js'
import { hasReservedCapacity, type RunRecord } from './run-record.js'
import { addTombstone, type RunRegistryPorts, type RunRegistryState } from './run-registry-state.js'
import { limitCapacity } from './slow-start.js'

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
  state.reservedRuns.delete(record)
  state.stops.runs.delete(record)
  state.stops.queued.delete(record)
  state.stops.revision += 1
  if (mustRunAlone(record)) state.runCounts.lone -= 1
  if (!hasReservedCapacity(record)) return state.queue.remove(record)
  state.reserved = subtractSizes(state.reserved, record.order.size)
  countReserved(state, record, -1)
}

/** Reserves capacity for a waiting run, whose start order is then to be sent. */
export function reserveCapacity (state: RunRegistryState, record: RunRecord): void {
  state.queue.remove(record)
  record.state = 'reserved'
  state.reservedRuns.add(record)
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

/** Whether the answer to an order for this run counts: the run has not ended, nor its instance of the upstream. */
export function isCurrent (state: RunRegistryState, record: RunRecord): boolean {
  return state.runs.get(record.order.task) === record && record.state !== 'displaced'
}
