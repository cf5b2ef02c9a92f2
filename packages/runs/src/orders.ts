/** Orders to the upstream: starts within the free capacity, stops, and retries of unanswered orders. */
import {
  MAXIMUM_LISTING_AGE_MILLISECONDS, MAXIMUM_RUN_NUMBER_ATTEMPTS, ORDER_TIMEOUT_MILLISECONDS
} from './run-limits.js'
import {
  confirmRun, reserveCapacity, endRun, freeCapacity, hasCapacityFor, mustRunAlone, recordUpstreamClock,
  type RunRegistryPorts, type RunRegistryState
} from './run-registry-state.js'
import { raiseFencingToken } from './fencing-token.js'
import { mayStartBesideOthers } from './lone-runs.js'
import { renewLease } from './run-lease.js'
import { hasReservedCapacity, type RunRecord } from './run-record.js'
import { recordRenewal } from './unanswered-renewals.js'
import type { OrderAnswer } from './upstream.js'

/** Whether the failure domain of the upstream is evacuated. */
export function isEvacuated (state: RunRegistryState): boolean {
  return state.upstream.heartbeat !== undefined && state.evacuations.isEvacuated(state.upstream.heartbeat.failureDomain)
}

/** Whether new runs may be accepted and started. */
export function isAccepting (state: RunRegistryState, now: number): boolean {
  if (state.isShuttingDown || state.upstream.hasDeparted || state.upstream.phase !== 'serving') return false
  if (state.upstream.heartbeat === undefined || state.upstream.isLeaving || isEvacuated(state)) return false
  return now - state.upstream.lastListingAt <= MAXIMUM_LISTING_AGE_MILLISECONDS
}

/**
 * Sends a start order, unless no run may start here any more; then the run ends. First and repeated orders both go out
 * here, so that a condition of a start can't hold for one and be forgotten for the other.
 */
function orderStart (state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  if (!isAccepting(state, now)) {
    const reason = isEvacuated(state) ? 'evacuated' : 'not-accepting'
    return giveBack(state, ports, record, reason, now)
  }
  const isRepeated = record.orderedAt > 0
  if (!hasReservedCapacity(record)) reserveCapacity(state, record)
  const { task, run } = record.order
  if (isRepeated) {
    ports.logger.info('start repeated', {
      task,
      run: record.upstreamRunNumber,
      attempt: record.runNumberAttempts,
      reason: record.lastRefusal,
      milliseconds: Math.round(now - record.orderedAt),
      fence: state.fencingToken
    })
  } else {
    const waited = Math.round(now - record.acceptedAt)
    ports.logger.info('run ordered', {
      task,
      run,
      entry: record.session.entry,
      waited,
      free: freeCapacity(state, now).processor,
      fence: state.fencingToken
    })
  }
  record.state = 'ordered'
  record.orderedAt = now
  record.orderedFence = state.fencingToken
  record.absenceConclusiveFrom = undefined
  state.openOrders.add(task, now)
  ports.sendStart(record, {
    task,
    run: record.upstreamRunNumber,
    specification: record.specification,
    fencingToken: state.fencingToken,
    leaseUntil: renewLease(state, now),
    instance: state.upstream.instance
  })
}

/** Starts the waiting runs that fit into the free capacity, and ends those whose maximum wait has passed. */
export function startWaitingRuns (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  const isAcceptingRuns = isAccepting(state, now)
  let isKeptFree = false
  for (const record of state.queue.inOrder()) {
    const mayStart = !isKeptFree && hasCapacityFor(state, record.order.size, now) && mayStartBesideOthers(state, record)
    // After a process pause, listings come before the tick that ends the runs of lost entries.
    if (now >= record.session.leaseUntil) endRun(state, ports, record, 'not-started', 'entry lease ended', now)
    else if (!isAcceptingRuns || mayStart) orderStart(state, ports, record, now)
    else if (now > record.waitDeadline) endRun(state, ports, record, 'not-started', 'no-room', now)
    else isKeptFree ||= mustRunAlone(record)
  }
}

/** Stops a run, or removes it from the queue if it still waits. Idempotent. */
export function stopRun (
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, reason: string, now: number
): void {
  if (record.state === 'waiting') return endRun(state, ports, record, 'not-started', reason, now)
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

/**
 * Gives a run back to its entry after its last start order was rejected, or is not sent. One with an earlier order that
 * may yet be carried out is stopped first.
 */
function giveBack (
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, reason: string, now: number
): void {
  if (state.openOrders.has(record.order.task, now)) stopRun(state, ports, record, reason, now)
  else endRun(state, ports, record, 'not-started', reason, now)
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
 * Repeats a stop order that failed: at once if it took as long as its timeout, else with the next tick. A connection
 * that is reset, or an upstream that rejects every fencing token, fails an order within a millisecond.
 */
function repeatStop (state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  outdateStart(state, ports, record)
  if (now - record.stopOrderedAt >= ORDER_TIMEOUT_MILLISECONDS) sendStop(state, ports, record, now)
  else record.isStopDue = true
}

/** Sends the stop orders that are due again. */
export function repeatDueStops (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  for (const record of state.runs.values()) {
    if (record.isStopDue && record.state === 'stopping') sendStop(state, ports, record, now)
  }
}

/** Marks a run as unconfirmed: its start order may have been carried out, or may be later. */
function handleUnansweredStart (ports: RunRegistryPorts, record: RunRecord, now: number): void {
  ports.logger.warn('start got no answer', { task: record.order.task, run: record.upstreamRunNumber })
  if (record.state === 'stopping') return
  record.state = 'unsure'
  record.absenceConclusiveFrom = now
  ports.listImmediately()
}

/**
 * Repeats a start order that was not carried out, unless its run is no longer wanted, the attempts are used up, the
 * entry's lease has expired or no run may start here any more.
 */
export function retryStart (
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, refusal: string, now: number, isCounted = true
): void {
  if (isCounted) record.runNumberAttempts += 1
  if (record.state === 'stopping') return giveBack(state, ports, record, record.stopReason, now)
  const isRetryPointless = record.runNumberAttempts > MAXIMUM_RUN_NUMBER_ATTEMPTS || now > record.session.leaseUntil
  if (isRetryPointless) return giveBack(state, ports, record, refusal, now)
  record.lastRefusal = refusal
  orderStart(state, ports, record, now)
}

/** Whether the answer to an order for this run counts: the run has not ended, nor its instance of the upstream. */
function isCurrent (state: RunRegistryState, record: RunRecord): boolean {
  return state.runs.get(record.order.task) === record && record.state !== 'displaced'
}

/** Handles the answer to a start order. */
export function handleStartAnswer (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  record: RunRecord,
  answer: OrderAnswer,
  usedFencingToken: number,
  now: number
): void {
  if (answer.outcome !== 'unanswered') state.openOrders.close(record.order.task, record.orderedAt)
  recordRenewal(state, ports, answer.outcome, usedFencingToken, now)
  if (!isCurrent(state, record)) return
  recordUpstreamClock(state, ports, answer.clock, now)
  switch (answer.outcome) {
    case 'taken':
      confirmRun(state, record, now)
      if (record.state === 'stopping') return
      record.state = 'running'
      record.absenceConclusiveFrom = now
      return
    case 'unanswered':
      return handleUnansweredStart(ports, record, now)
    case 'fenced':
      raiseFencingToken(state, ports, usedFencingToken)
      // One above the rejected tokens was overtaken by a later order of this agent, and costs no attempt.
      return retryStart(state, ports, record, answer.outcome, now, usedFencingToken <= state.rejectedFence)
    case 'old-run':
      // The run of an earlier order without an answer may have ended already.
      if (state.openOrders.has(record.order.task, now)) return handleUnansweredStart(ports, record, now)
      record.upstreamRunNumber += 1
      return retryStart(state, ports, record, answer.outcome, now)
    case 'late':
      return retryStart(state, ports, record, answer.outcome, now)
    case 'no-room':
    case 'unhealthy':
    case 'invalid':
    case 'other-life':
    case 'unreachable':
      state.upstream.observations.recordFailure()
      giveBack(state, ports, record, answer.outcome, now)
  }
}

/** Handles the answer to a stop order. */
export function handleStopAnswer (
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
