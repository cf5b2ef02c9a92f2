/** Start orders to the upstream within the free capacity, and retries of unanswered ones. */
import { raiseFencingToken } from './fencing-token.js'
import { mayStartBesideOthers } from './lone-runs.js'
import {
  confirmRun, endRun, freeCapacity, hasCapacityFor, isCurrent, mustRunAlone, reserveCapacity
} from './registered-runs.js'
import { renewLease, settleRenewal } from './run-lease.js'
import {
  MAXIMUM_LISTING_AGE_MILLISECONDS, MAXIMUM_ORDERS_UNDER_WAY, MAXIMUM_RUN_NUMBER_ATTEMPTS,
  UNANSWERED_LISTINGS_BEFORE_REFUSING
} from './run-limits.js'
import type { RunRecord } from './run-record.js'
import { recordUpstreamClock, type RunRegistryPorts, type RunRegistryState } from './run-registry-state.js'
import { stopRun } from './stop-orders.js'
import { logMismatch, mismatchOf } from './suitability.js'
import { recordRenewal } from './unanswered-renewals.js'
import type { OrderAnswer } from './upstream.js'

/** Whether the failure domain of the upstream is evacuated. */
export function isEvacuated (state: RunRegistryState): boolean {
  return state.upstream.heartbeat !== undefined && state.evacuations.isEvacuated(state.upstream.heartbeat.failureDomain)
}

/** Whether new runs may be accepted and started. */
export function isAccepting (state: RunRegistryState, now: number): boolean {
  const { phase, hasDeparted, refusedSince, heartbeat, isLeaving, lastListingAt, unansweredListings } = state.upstream
  if (state.isShuttingDown || hasDeparted || refusedSince !== undefined || phase !== 'serving') return false
  if (heartbeat === undefined || isLeaving || isEvacuated(state)) return false
  if (unansweredListings >= UNANSWERED_LISTINGS_BEFORE_REFUSING) return false
  return now - lastListingAt <= MAXIMUM_LISTING_AGE_MILLISECONDS
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
  if (mismatchOf(state, record) !== undefined) {
    logMismatch(state, ports, record, { entry: record.session.entry, waited: Math.round(now - record.acceptedAt) })
    return giveBack(state, ports, record, 'unsuitable', now)
  }
  const isRepeated = record.orderedAt > 0
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
  state.startsUnderWay.add(record)
  ports.sendStart(record, {
    task,
    run: record.upstreamRunNumber,
    specification: record.specification,
    fencingToken: state.fencingToken,
    leaseUntil: renewLease(state, now),
    instance: state.upstream.instance
  })
}

/**
 * Whether starts are held back although runs are accepted: the last listing got no answer, and whoever answers the next
 * one may be another instance, of another kind.
 */
function areStartsHeld (state: RunRegistryState, now: number): boolean {
  return state.upstream.unansweredListings > 0 && isAccepting(state, now)
}

/** Starts the waiting runs that fit into the free capacity, and ends those whose maximum wait has passed. */
export function startWaitingRuns (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  const isAcceptingRuns = isAccepting(state, now)
  let isKeptFree = areStartsHeld(state, now)
  for (const record of state.queue.inOrder()) {
    const mayStart = !isKeptFree && hasCapacityFor(state, record.order.size, now) && mayStartBesideOthers(state, record)
    // After a process pause, listings come before the tick that ends the runs of lost entries.
    if (now >= record.session.leaseUntil) endRun(state, ports, record, 'not-started', 'entry lease ended', now)
    else if (!isAcceptingRuns || mismatchOf(state, record) !== undefined) orderStart(state, ports, record, now)
    else if (mayStart) reserveCapacity(state, record)
    else if (now > record.waitDeadline) endRun(state, ports, record, 'not-started', 'no-room', now)
    else isKeptFree ||= mustRunAlone(record)
  }
  orderReservedRuns(state, ports, now)
}

/** Sends the start orders of runs with reserved capacity, as many as may be under way. */
function orderReservedRuns (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  if (areStartsHeld(state, now)) return
  for (const record of state.reservedRuns) {
    if (state.startsUnderWay.size >= MAXIMUM_ORDERS_UNDER_WAY) return
    state.reservedRuns.delete(record)
    if (now >= record.session.leaseUntil) endRun(state, ports, record, 'not-started', 'entry lease ended', now)
    else orderStart(state, ports, record, now)
  }
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

/** Handles the answer to a start order, and sends the next one that has waited for it. */
export function handleStartAnswer (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  record: RunRecord,
  answer: OrderAnswer,
  usedFencingToken: number,
  now: number
): void {
  state.startsUnderWay.delete(record)
  applyStartAnswer(state, ports, record, answer, usedFencingToken, now)
  orderReservedRuns(state, ports, now)
}

function applyStartAnswer (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  record: RunRecord,
  answer: OrderAnswer,
  usedFencingToken: number,
  now: number
): void {
  if (answer.outcome !== 'unanswered') state.openOrders.close(record.order.task, record.orderedAt)
  settleRenewal(state, answer.outcome, record.orderedAt, now)
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
    case 'unreachable':
      // A listing shows whether the upstream refuses all connections.
      ports.listImmediately()
      state.upstream.observations.recordFailure()
      return giveBack(state, ports, record, answer.outcome, now)
    case 'no-room':
    case 'unhealthy':
    case 'invalid':
    case 'other-life':
      state.upstream.observations.recordFailure()
      giveBack(state, ports, record, answer.outcome, now)
  }
}
