/** Handles the upstream's listings: completions, progress of runs, and unknown runs. */
import { LEASE_MARGIN_MILLISECONDS, RUN_LEASE_BOUND_MILLISECONDS } from '@baobabpost/fleet-calls'
import { MAXIMUM_UNANSWERED_LISTINGS, STALL_TIMEOUT_MILLISECONDS } from './run-limits.js'
import { endRun, type RunRegistryPorts, type RunRegistryState } from './run-registry-state.js'
import { ORDER_UNANSWERED, raiseFencingToken, retryStart, startWaitingRuns, stopRun } from './orders.js'
import type { RunRecord } from './run-record.js'
import type { ListAnswer, ListedCompletion, Listing } from './upstream.js'

/** Ends all runs of an instance of the upstream that is gone, and prepares for the next instance. */
export function forgetInstance (state: RunRegistryState, ports: RunRegistryPorts, reason: string, now: number): void {
  for (const record of [...state.runs.values()]) {
    if (record.state === 'waiting') endRun(state, ports, record, 'not-started', reason, now)
    else endRun(state, ports, record, 'lost', reason, now)
  }
  state.phase = 'unfenced'
  // Delayed orders to the earlier instance may reach the next one, which has not seen a fencing token yet.
  state.fencingToken += 1
  state.lastCompletionNumber = 0
  state.lastListingClock = 0
  state.clock.reset()
  state.observations.reset()
  ports.logger.warn('upstream life ended', { reason })
}

function handleCompletion (
  state: RunRegistryState, ports: RunRegistryPorts, completion: ListedCompletion, now: number
): void {
  if (completion.number <= state.lastCompletionNumber) return
  state.lastCompletionNumber = completion.number
  const record = state.runs.get(completion.task)
  if (record === undefined || record.state === 'waiting' || record.upstreamRunNumber !== completion.run) return
  const estimateMilliseconds = record.order.estimateMilliseconds
  if (completion.kind === 'done') state.observations.recordDone(now - record.orderedAt, estimateMilliseconds)
  if (completion.kind === 'failed') state.observations.recordFailure()
  endRun(state, ports, record, completion.kind, completion.kind === 'stopped' ? record.stopReason : '', now)
}

/** Ends runs that are neither listed nor completed: the upstream never started them, or lost them. */
function endMissingRuns (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  listedRuns: ReadonlyMap<string, number>,
  requestedAt: number,
  now: number
): void {
  for (const record of [...state.runs.values()]) {
    if (record.absenceConclusiveFrom === undefined || requestedAt < record.absenceConclusiveFrom) continue
    const isListed = listedRuns.get(record.order.task) === record.upstreamRunNumber
    if (record.state === 'unsure') resolveUnconfirmedRun(state, ports, record, isListed, now)
    else if (!isListed) endMissingRun(state, ports, record, now)
  }
}

/** Ends a run that is gone without a completion; one that never started because its order was lost is retried. */
function endMissingRun (state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  if (record.isConfirmed) return endRun(state, ports, record, 'lost', record.stopReason, now)
  if (record.stopReason !== ORDER_UNANSWERED) {
    return endRun(state, ports, record, 'not-started', record.stopReason, now)
  }
  record.upstreamRunNumber += 1
  retryStart(state, ports, record, ORDER_UNANSWERED, now)
}

function resolveUnconfirmedRun (
  state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, isListed: boolean, now: number
): void {
  if (!isListed) return stopRun(state, ports, record, ORDER_UNANSWERED, now)
  record.state = 'running'
  record.isConfirmed = true
  record.absenceConclusiveFrom = now
}

/**
 * Stops the listed runs that are not in the registry.
 *
 * @returns their number.
 */
function stopUnknownRuns (state: RunRegistryState, ports: RunRegistryPorts, listing: Listing): number {
  let unknownRunCount = 0
  for (const { task, run } of listing.running) {
    const record = state.runs.get(task)
    if (record !== undefined && record.state !== 'waiting' && record.upstreamRunNumber === run) continue
    unknownRunCount += 1
    ports.logger.warn('stopping a run that is not in the book', { task, run, phase: state.phase })
    ports.stopUnknownRun({ task, run, fencingToken: state.fencingToken, instance: state.instance })
  }
  return unknownRunCount
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
      state.observations.recordFailure()
      ports.logger.warn('run stands still', { task, run, percent, milliseconds: Math.round(now - record.lastProgressAt) })
      stopRun(state, ports, record, 'stands still', now)
    }
  }
}

/**
 * Compares the instance of a listing with the known one, which a later instance replaces.
 *
 * @returns whether the listing is from the known instance.
 */
function reconcileInstance (state: RunRegistryState, ports: RunRegistryPorts, listing: Listing, now: number): boolean {
  const knownStart = state.instance?.startedAt
  if (listing.startedAt === undefined || knownStart === undefined || listing.startedAt === knownStart) return true
  if (listing.startedAt > knownStart) {
    state.instance = { id: state.instance?.id ?? '', startedAt: listing.startedAt }
    forgetInstance(state, ports, 'the upstream was started again', now)
  }
  return false
}

/** Stops the runs of an earlier incarnation of the agent; once a listing has none, the upstream serves. */
function clearEarlierRuns (state: RunRegistryState, ports: RunRegistryPorts, listing: Listing): void {
  for (const ended of listing.ended) state.lastCompletionNumber = Math.max(state.lastCompletionNumber, ended.number)
  if (stopUnknownRuns(state, ports, listing) > 0) {
    state.phase = 'clearing'
    return
  }
  state.phase = 'serving'
  state.isCleared = true
  ports.logger.info('upstream serves', { fence: state.fencingToken })
}

function applyListing (
  state: RunRegistryState, ports: RunRegistryPorts, listing: Listing, clock: number, requestedAt: number, now: number
): void {
  if (!reconcileInstance(state, ports, listing, now)) return
  state.lastListingAt = now
  // Answers on two connections may arrive out of order: running runs are then outdated; completions are numbered.
  const isOutOfOrder = clock < state.lastListingClock
  state.lastListingClock = Math.max(clock, state.lastListingClock)
  if (state.phase !== 'serving') {
    if (!isOutOfOrder) clearEarlierRuns(state, ports, listing)
    return
  }
  for (const completion of listing.ended) handleCompletion(state, ports, completion, now)
  if (isOutOfOrder) return
  stopUnknownRuns(state, ports, listing)
  recordProgress(state, ports, listing, now)
  endMissingRuns(state, ports, new Map(listing.running.map(({ task, run }) => [task, run])), requestedAt, now)
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
  if (answer.outcome === 'fenced') return raiseFencingToken(state, ports, usedFencingToken)
  if (answer.outcome === 'unreachable') {
    if (state.phase !== 'unfenced') forgetInstance(state, ports, 'nothing listens at the upstream', now)
    return
  }
  if (answer.listing === undefined) {
    state.unansweredListings += 1
    if (state.unansweredListings === MAXIMUM_UNANSWERED_LISTINGS) {
      ports.logger.warn('upstream does not answer', { listings: state.unansweredListings })
    }
    return forgetExpiredInstance(state, ports, now)
  }
  state.unansweredListings = 0
  applyListing(state, ports, answer.listing, answer.clock ?? 0, requestedAt, now)
  startWaitingRuns(state, ports, now)
}

/** Ends all runs of an unresponsive upstream once their lease has expired even on a slow clock. */
function forgetExpiredInstance (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  if (state.unansweredListings < MAXIMUM_UNANSWERED_LISTINGS || state.phase === 'unfenced') return
  if (now - state.leaseRequestedAt < RUN_LEASE_BOUND_MILLISECONDS + LEASE_MARGIN_MILLISECONDS) return
  forgetInstance(state, ports, 'the run lease ended without an answer', now)
}
