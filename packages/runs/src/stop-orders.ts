/** Stop orders to the upstream, which are repeated until the run has ended. */
import { raiseFencingToken } from './fencing-token.js'
import { endRun, isCurrent } from './registered-runs.js'
import { MAXIMUM_ORDERS_UNDER_WAY, ORDER_TIMEOUT_MILLISECONDS } from './run-limits.js'
import { isOrdered, type RunRecord } from './run-record.js'
import { recordUpstreamClock, type RunRegistryPorts, type RunRegistryState } from './run-registry-state.js'
import type { OrderAnswer } from './upstream.js'

/** Stops a run, or removes it from the queue if it still waits. Idempotent. */
export function stopRun (
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, reason: string, now: number
): void {
  if (!isOrdered(record)) return endRun(state, ports, record, 'not-started', reason, now)
  if (record.state === 'displaced') return
  state.stops.revision += 1
  if (record.state === 'stopping') {
    record.stopReason = reason
    return
  }
  state.stops.runs.add(record)
  record.state = 'stopping'
  record.stopReason = reason
  record.absenceConclusiveFrom = undefined
  sendStop(state, ports, record, now)
}

/** Logs the second, fourth, eighth ... stop order for a run. */
function logRepeatedStop (ports: RunRegistryPorts, record: RunRecord, now: number): void {
  const { stopAttempts } = record
  if (!Number.isInteger(Math.log2(stopAttempts))) return
  ports.logger.warn('stop repeated', {
    task: record.order.task,
    run: record.upstreamRunNumber,
    attempt: stopAttempts,
    reason: record.stopReason,
    milliseconds: Math.round(now - record.firstStopOrderedAt)
  })
}

function sendStop (state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  record.isStopDue = false
  const { stops } = state
  if (stops.underWay.size >= MAXIMUM_ORDERS_UNDER_WAY) {
    stops.queued.add(record)
    return
  }
  stops.underWay.add(record)
  record.stopOrderedAt = now
  record.stopAttempts += 1
  if (record.stopAttempts === 1) record.firstStopOrderedAt = now
  else logRepeatedStop(ports, record, now)
  ports.sendStop(record, {
    task: record.order.task,
    run: record.upstreamRunNumber,
    fencingToken: state.fencingToken,
    instance: state.upstream.instance
  })
}

/**
 * Raises the fencing token above that of the start order of an unconfirmed run that must not start any more. A listing
 * with the new token then proves that the run is gone, even if no stop gets through.
 */
function outdateStart (state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord): void {
  if (record.isConfirmed || record.orderedFence < state.fencingToken) return
  state.fencingToken += 1
  ports.logger.info('fence raised', { fence: state.fencingToken, reason: 'a stop failed' })
  ports.listImmediately()
}

/**
 * Repeats a stop order that failed: after those that are queued if it took as long as its timeout, else with the next
 * tick. A connection that is reset, or an upstream that rejects every fencing token, fails an order within a
 * millisecond.
 */
function repeatStop (state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  outdateStart(state, ports, record)
  if (now - record.stopOrderedAt >= ORDER_TIMEOUT_MILLISECONDS) state.stops.queued.add(record)
  else record.isStopDue = true
}

/** Sends the stop orders that are due again. */
export function repeatDueStops (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  for (const record of state.stops.runs) {
    if (record.isStopDue && record.state === 'stopping') sendStop(state, ports, record, now)
  }
  sendQueuedStops(state, ports, now)
}

/** Sends the stop orders that have waited for the answers to others. */
function sendQueuedStops (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  const { queued, underWay } = state.stops
  for (const record of queued) {
    if (underWay.size >= MAXIMUM_ORDERS_UNDER_WAY) return
    queued.delete(record)
    if (record.state === 'stopping') sendStop(state, ports, record, now)
  }
}

/** Handles the answer to a stop order, and sends the next one that has waited for it. */
export function handleStopAnswer (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  record: RunRecord,
  answer: OrderAnswer,
  usedFencingToken: number,
  now: number
): void {
  state.stops.underWay.delete(record)
  applyStopAnswer(state, ports, record, answer, usedFencingToken, now)
  sendQueuedStops(state, ports, now)
}

function applyStopAnswer (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  record: RunRecord,
  answer: OrderAnswer,
  usedFencingToken: number,
  now: number
): void {
  if (!isCurrent(state, record)) return
  recordUpstreamClock(state, ports, answer.clock, now)
  switch (answer.outcome) {
    case 'other-life':
    case 'unreachable':
      // A listing shows whether the instance has ended; its successor may yet carry out the start order.
      repeatStop(state, ports, record, now)
      return ports.listImmediately()
    case 'unanswered':
    case 'late':
    case 'no-room':
    case 'unhealthy':
    case 'invalid':
      return repeatStop(state, ports, record, now)
    case 'fenced':
      raiseFencingToken(state, ports, usedFencingToken)
      return repeatStop(state, ports, record, now)
    case 'taken':
    case 'old-run':
      record.absenceConclusiveFrom = now
      state.stops.revision += 1
      ports.listImmediately()
  }
}
