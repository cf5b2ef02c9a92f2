/** Handles the upstream's listings: completions, progress of runs, and unknown runs. */
import {
  FENCING_TOKEN_STEP, MAXIMUM_COMPLETION_GAP, MAXIMUM_COMPLETION_NUMBER, MAXIMUM_OVERTAKING_MILLISECONDS,
  MAXIMUM_UNANSWERED_LISTINGS, MAXIMUM_UNANSWERED_REPETITIONS, STALL_TIMEOUT_MILLISECONDS
} from './run-limits.js'
import { indexRuns, isInRegistry, recordLastingRows, rowOf } from './listed-runs.js'
import { recordUpstreamClock, type RunRegistryPorts, type RunRegistryState } from './run-registry-state.js'
import { confirmRun, endRun } from './registered-runs.js'
import { raiseFencingToken } from './fencing-token.js'
import { isAccepting, retryStart, startWaitingRuns } from './orders.js'
import { stopRun } from './stop-orders.js'
import { isEndProven, isListingConclusive, type RunObservation } from './run-end-proof.js'
import { settleRenewal } from './run-lease.js'
import { ORDER_UNANSWERED, type RunRecord } from './run-record.js'
import { recordRenewal } from './unanswered-renewals.js'
import type { ListAnswer, ListedCompletion, Listing } from './upstream.js'
import { recordPace, recordRunTime } from './run-time-reports.js'
import { beginInstance, endExpiredRuns, handleReachable, handleUnreachable } from './upstream-instance.js'

type ObservedListing = Extract<RunObservation, { readonly kind: 'listing' }>

function observe (
  state: RunRegistryState, listing: Listing, usedFencingToken: number, requestedAt: number
): ObservedListing {
  return { kind: 'listing', listedRuns: indexRuns(state, listing), fencingToken: usedFencingToken, requestedAt }
}

/**
 * Ends the displaced runs of whose tasks a listing shows none, and stops the others.
 *
 * @returns the number of those that are left.
 */
function settleDisplacedRuns (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  listing: Listing,
  usedFencingToken: number,
  requestedAt: number,
  now: number
): number {
  const observation = observe(state, listing, usedFencingToken, requestedAt)
  let remainingCount = 0
  for (const record of [...state.runs.values()]) {
    if (isEndProven(state, record, observation)) {
      endRun(state, ports, record, 'lost', record.stopReason, now)
      continue
    }
    remainingCount += 1
    const { order: { task }, upstreamRunNumber: run } = record
    ports.stopUnknownRun({ task, run, fencingToken: state.fencingToken, instance: state.upstream.instance })
  }
  return remainingCount
}

/** Whether the number of a completion can be the upstream's: one far above the others would hide all that follow. */
function isPlausibleNumber (number: number, lastNumber: number): boolean {
  const maximum = lastNumber === 0 ? MAXIMUM_COMPLETION_NUMBER : lastNumber + MAXIMUM_COMPLETION_GAP
  return Number.isSafeInteger(number) && number >= 1 && number <= maximum
}

function logOddCompletion (
  state: RunRegistryState, ports: RunRegistryPorts, { number, task, run, kind }: ListedCompletion
): void {
  if (state.upstream.hasLoggedOddCompletion) return
  state.upstream.hasLoggedOddCompletion = true
  ports.logger.warn('completion with an odd number', { number, last: state.upstream.lastCompletionNumber, task, run, kind })
}

/** Handles the completions of a listing in the order of their numbers. */
function handleCompletions (state: RunRegistryState, ports: RunRegistryPorts, listing: Listing, now: number): void {
  const completions = [...listing.ended].sort((left, right) => left.number - right.number)
  for (const completion of completions) {
    const { number } = completion
    const { lastCompletionNumber } = state.upstream
    if (isPlausibleNumber(number, lastCompletionNumber)) {
      if (number <= lastCompletionNumber) continue
      state.upstream.lastCompletionNumber = number
    } else {
      logOddCompletion(state, ports, completion)
    }
    handleCompletion(state, ports, completion, now)
  }
}

function handleCompletion (
  state: RunRegistryState, ports: RunRegistryPorts, completion: ListedCompletion, now: number
): void {
  const record = state.runs.get(completion.task)
  if (record === undefined || !isEndProven(state, record, { kind: 'completion', completion })) return
  const estimateMilliseconds = record.order.estimateMilliseconds
  if (completion.kind === 'done') {
    const milliseconds = now - record.orderedAt
    state.upstream.observations.recordDone(milliseconds, estimateMilliseconds)
    recordRunTime(state, ports, record, milliseconds, now)
    const processor = state.upstream.heartbeat?.capacity.processor ?? Infinity
    state.upstream.slowStart.recordCompletion(record.order.size.processor / Math.max(1, processor))
  }
  if (!record.isConfirmed) state.openOrders.closeOnlyOrder(completion.task)
  if (completion.kind === 'failed') state.upstream.observations.recordFailure()
  endRun(state, ports, record, completion.kind, completion.kind === 'stopped' ? record.stopReason : '', now)
}

/** Ends runs that are neither listed nor completed: the upstream never started them, or lost them. */
function endMissingRuns (
  state: RunRegistryState, ports: RunRegistryPorts, observation: ObservedListing, now: number
): void {
  const { listedRuns, fencingToken, requestedAt } = observation
  for (const record of [...state.runs.values()]) {
    const isGone = isEndProven(state, record, observation)
    if (record.state !== 'unsure') {
      if (isGone) endMissingRun(state, ports, record, now)
      continue
    }
    const isConfirmed = isListingConclusive(state, record, fencingToken, requestedAt) &&
      listedRuns.has(record.order.task, record.upstreamRunNumber)
    if (isGone || isConfirmed) resolveUnconfirmedRun(state, ports, record, isConfirmed, now)
  }
}

/** Ends a run that is gone without a completion. */
function endMissingRun (state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  if (record.isConfirmed) return endRun(state, ports, record, 'lost', record.stopReason, now)
  if (record.stopReason === ORDER_UNANSWERED) state.upstream.observations.recordFailure()
  endRun(state, ports, record, 'not-started', record.stopReason, now)
}

/**
 * Confirms a run whose start order got no answer, or repeats the order. It keeps its number, so that the upstream, or
 * the next instance of it, starts one run although it carries both orders out.
 */
function resolveUnconfirmedRun (
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, isListed: boolean, now: number
): void {
  if (!isListed) {
    const isRepeatable = record.runNumberAttempts < MAXIMUM_UNANSWERED_REPETITIONS &&
      now <= record.session.leaseUntil && isAccepting(state, now)
    if (isRepeatable) return retryStart(state, ports, record, ORDER_UNANSWERED, now)
    return stopRun(state, ports, record, ORDER_UNANSWERED, now)
  }
  state.openOrders.closeOnlyOrder(record.order.task)
  record.state = 'running'
  confirmRun(state, record, now)
  record.absenceConclusiveFrom = now
}

/** Stops the listed runs that are not in the registry, and records their number. */
function stopUnknownRuns (state: RunRegistryState, ports: RunRegistryPorts, listing: Listing): void {
  const listedRuns = indexRuns(state, listing)
  state.upstream.unknownRunCount = 0
  for (const { task, run } of listing.running) {
    if (isInRegistry(state, task, run) || state.upstream.lastingRows.isDisproved(rowOf(task, run))) continue
    const record = state.runs.get(task)
    // An upstream runs a task once: beside the run in the registry, another number of its task is an odd row.
    if (record === undefined || !listedRuns.has(task, record.upstreamRunNumber)) state.upstream.unknownRunCount += 1
    ports.logger.warn('stopping a run that is not in the book', { task, run, phase: state.upstream.phase })
    ports.stopUnknownRun({ task, run, fencingToken: state.fencingToken, instance: state.upstream.instance })
  }
}

/** Records the progress of the listed runs, and stops stalled ones. */
function recordProgress (state: RunRegistryState, ports: RunRegistryPorts, listing: Listing, now: number): void {
  for (const { task, run, percent } of listing.running) {
    const record = state.runs.get(task)
    if (record === undefined || record.upstreamRunNumber !== run || record.state !== 'running') continue
    if (percent > record.percent || record.lastProgressAt < record.orderedAt) {
      record.percent = Math.max(percent, record.percent)
      record.lastProgressAt = now
    } else if (now - record.lastProgressAt > STALL_TIMEOUT_MILLISECONDS) {
      state.upstream.observations.recordFailure()
      ports.logger.warn('run stands still', { task, run, percent, milliseconds: Math.round(now - record.lastProgressAt) })
      stopRun(state, ports, record, 'stands still', now)
    }
  }
}

/**
 * Compares the instance of a listing with the known one, which a later instance replaces. A listing that was requested
 * after the known instance was learned comes from that one or a later one, whatever its start time: the time of day may
 * have been set back in between.
 *
 * @returns whether the listing is from the known instance.
 */
function reconcileInstance (
  state: RunRegistryState, ports: RunRegistryPorts, listing: Listing, requestedAt: number, now: number
): boolean {
  const { instance, predecessor, instanceKnownSince } = state.upstream
  const { startedAt } = listing
  if (startedAt === undefined || startedAt === instance?.startedAt) return true
  const listedInstance = { id: instance?.id ?? '', startedAt }
  if (instance?.startedAt === undefined) {
    state.upstream.instance = listedInstance
    state.upstream.instanceKnownSince = now
    return true
  }
  const isLater = requestedAt > instanceKnownSince ||
    (startedAt > instance.startedAt && startedAt !== predecessor?.startedAt)
  if (isLater) beginInstance(state, ports, listedInstance, 'the upstream was started again', now)
  return false
}

/**
 * Stops the runs of an earlier incarnation of the agent, and those ordered before the upstream was started again; once
 * a listing has none, the upstream serves.
 */
function clearEarlierRuns (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  listing: Listing,
  usedFencingToken: number,
  requestedAt: number,
  now: number
): void {
  handleCompletions(state, ports, listing, now)
  stopUnknownRuns(state, ports, listing)
  const displacedCount = settleDisplacedRuns(state, ports, listing, usedFencingToken, requestedAt, now)
  if (state.upstream.unknownRunCount + displacedCount > 0) {
    state.upstream.phase = 'clearing'
    return
  }
  state.upstream.phase = 'serving'
  state.fencingTokenStep = FENCING_TOKEN_STEP
  state.isCleared = true
  ports.logger.info('upstream serves', { fence: state.fencingToken })
}

/**
 * Records the clock of a listing. Returns whether a later listing has overtaken it: its running runs are then outdated,
 * while completions are numbered. A clock that is further behind than listings overtake each other was read wrongly
 * before, or began anew.
 */
function recordListingClock (state: RunRegistryState, reading: number | undefined): boolean {
  const clock = reading ?? 0
  const behind = state.upstream.lastListingClock - clock
  const isOvertaken = behind > 0 && (reading === undefined || behind <= MAXIMUM_OVERTAKING_MILLISECONDS)
  if (!isOvertaken) state.upstream.lastListingClock = clock
  return isOvertaken
}

function applyListing (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  listing: Listing,
  reading: number | undefined,
  usedFencingToken: number,
  requestedAt: number,
  now: number
): void {
  if (!reconcileInstance(state, ports, listing, requestedAt, now)) return
  state.crashes.settleSuspected(false)
  handleReachable(state, ports, now)
  recordUpstreamClock(state, ports, reading, now)
  state.upstream.lastListingAt = now
  const isOutOfOrder = recordListingClock(state, reading)
  // An earlier token leaves room for a run of a row to start again.
  if (!isOutOfOrder && usedFencingToken >= state.fencingToken) recordLastingRows(state, listing, requestedAt)
  if (state.upstream.phase !== 'serving') {
    // An earlier token leaves room for a delayed order to start after the listing.
    if (isOutOfOrder || usedFencingToken < state.fencingToken) return
    return clearEarlierRuns(state, ports, listing, usedFencingToken, requestedAt, now)
  }
  handleCompletions(state, ports, listing, now)
  if (isOutOfOrder) return
  stopUnknownRuns(state, ports, listing)
  recordPace(state, ports, listing, now)
  recordProgress(state, ports, listing, now)
  endMissingRuns(state, ports, observe(state, listing, usedFencingToken, requestedAt), now)
}

/** Handles the answer to a list order that was sent at `requestedAt`. */
export function handleListAnswer (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  answer: ListAnswer,
  usedFencingToken: number,
  requestedAt: number,
  now: number
): void {
  settleRenewal(state, answer.outcome, requestedAt, now)
  recordRenewal(state, ports, answer.outcome, usedFencingToken, now)
  if (answer.outcome === 'fenced') return raiseFencingToken(state, ports, usedFencingToken)
  if (answer.outcome === 'unreachable') return handleUnreachable(state, ports, now)
  // The id of the instance that answers is not known until its heartbeat.
  if (answer.outcome === 'other-life' && requestedAt > state.upstream.instanceKnownSince) {
    return beginInstance(state, ports, { id: '', startedAt: undefined }, 'another instance answers', now)
  }
  if (answer.listing === undefined) {
    state.upstream.unansweredListings += 1
    if (state.upstream.unansweredListings === MAXIMUM_UNANSWERED_LISTINGS) {
      ports.logger.warn('upstream does not answer', { listings: state.upstream.unansweredListings })
    }
    return endExpiredRuns(state, ports, now)
  }
  state.upstream.unansweredListings = 0
  applyListing(state, ports, answer.listing, answer.clock, usedFencingToken, requestedAt, now)
  startWaitingRuns(state, ports, now)
}
