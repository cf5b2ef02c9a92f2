/** The lifetime of an upstream's instances: what ends with one, and how the agent takes control of the next. */
import { crashCandidates, describeCandidate, logCandidates } from './crash-candidates.js'
import { MAXIMUM_UNANSWERED_LISTINGS } from './run-limits.js'
import { isRunLeaseOver } from './run-lease.js'
import { isOrdered, type RunRecord } from './run-record.js'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'
import { endRun } from './registered-runs.js'
import type { UpstreamInstance } from './upstream.js'
import { createUpstreamState } from './upstream-state.js'

/**
 * Logs the end of an instance with the runs that were there, and records a crash unless the instance was leaving. To be
 * called before the runs are ended.
 *
 * @param evidence - Gone, replaced by another instance that may have taken the newest orders, or only silent.
 */
function recordEnd (
  state: RunRegistryState, ports: RunRegistryPorts, reason: string, evidence: 'gone' | 'replaced' | 'silent', now: number
): void {
  const candidates = crashCandidates(state)
  const isLeaving = state.upstream.isLeaving || state.upstream.hasDeparted
  if (!isLeaving) {
    const orderedBy = evidence === 'replaced' ? state.upstream.lastListingAt : now
    const described = candidates.map(candidate => describeCandidate(candidate, orderedBy))
    state.crashes.recordCrash(described, evidence === 'silent', now)
  }
  ports.logger.warn('upstream life ended', {
    reason,
    upstream: state.upstream.instance?.id,
    bornAt: state.upstream.instance?.startedAt,
    leaving: isLeaving,
    runs: candidates.length,
    last: logCandidates(candidates, now)
  })
}

/** Takes control of the upstream anew after its runs have ended. What the instance said of itself stays known. */
function giveUpControl (state: RunRegistryState): void {
  const { instance, instanceKnownSince, leaseRenewedAt } = state.upstream
  state.upstream.phase = 'unfenced'
  // An instance that doesn't report its start can't be told from the next one.
  if (instance?.startedAt === undefined) {
    state.upstream = { ...createUpstreamState(instance, state.routeFactor), instanceKnownSince, leaseRenewedAt }
  }
  // Delayed orders to the earlier instance may reach the next one, which has not seen a fencing token yet.
  state.fencingToken += 1
}

/** Ends the displaced runs whose start order can't be carried out any more, though no listing has proved it. */
function endOutdatedRuns (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  if (!isRunLeaseOver(state, now)) return
  for (const record of [...state.runs.values()]) {
    if (record.state !== 'displaced' || state.openOrders.has(record.order.task, now)) continue
    if (!record.isConfirmed) {
      const { instance, leaseRenewedAt } = state.upstream
      ports.logger.warn('unconfirmed run given up', {
        task: record.order.task,
        run: record.upstreamRunNumber,
        upstream: instance?.id,
        bornAt: instance?.startedAt,
        orderedAgo: Math.round(now - record.orderedAt),
        renewedAgo: Math.round(now - leaseRenewedAt)
      })
    }
    endRun(state, ports, record, 'lost', record.stopReason, now)
  }
}

/**
 * Ends the runs of an upstream that is gone, or whose run lease has expired, and takes control of it anew. A start
 * order without an answer may still be carried out by the next instance, on whose clock its lease has not expired, also
 * if a later order of the run was confirmed; the run is displaced until that instance is fenced, or the order too old.
 */
function loseUpstream (
  state: RunRegistryState, ports: RunRegistryPorts, reason: string, evidence: 'gone' | 'silent', now: number
): void {
  const isFirstFailure = state.upstream.phase !== 'unfenced' ||
    [...state.runs.values()].some(record => record.state !== 'displaced')
  if (isFirstFailure) recordEnd(state, ports, reason, evidence, now)
  if (evidence === 'gone') state.crashes.settleSuspected(true)
  for (const record of [...state.runs.values()]) {
    if (record.state === 'displaced') continue
    if (!isOrdered(record)) endRun(state, ports, record, 'not-started', reason, now)
    else if (record.isConfirmed && !state.openOrders.has(record.order.task, now)) endRun(state, ports, record, 'lost', reason, now)
    else displace(state, record, reason)
  }
  if (isFirstFailure) giveUpControl(state)
  endOutdatedRuns(state, ports, now)
}

/** Handles that nothing listens at the upstream. */
export function handleUnreachable (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  loseUpstream(state, ports, 'nothing listens at the upstream', 'gone', now)
}

/** Displaces a run. An order of it that is under way holds up none to the next instance. */
function displace (state: RunRegistryState, record: RunRecord, reason: string): void {
  state.startsUnderWay.delete(record)
  state.stops.underWay.delete(record)
  record.state = 'displaced'
  record.stopReason = reason
}

/**
 * Replaces the known instance of the upstream; nothing that is known of it is kept for the next one. An order that was
 * under way may have reached either, so its run ends only once a listing of the next instance, with the raised fencing
 * token in force there, shows that it is gone.
 */
export function beginInstance (
  state: RunRegistryState, ports: RunRegistryPorts, instance: UpstreamInstance, reason: string, now: number
): void {
  recordEnd(state, ports, reason, 'replaced', now)
  state.crashes.settleSuspected(true)
  for (const record of [...state.runs.values()]) {
    if (!isOrdered(record)) {
      endRun(state, ports, record, 'not-started', reason, now)
      continue
    }
    displace(state, record, reason)
  }
  const { leaseRenewedAt, instance: predecessor } = state.upstream
  state.upstream = {
    ...createUpstreamState(instance, state.routeFactor), instanceKnownSince: now, predecessor, leaseRenewedAt
  }
  state.fencingToken += 1
  ports.listImmediately()
}

/** Whether there is anything to give up when the upstream is gone. */
function hasRunsOrControl (state: RunRegistryState): boolean {
  return state.upstream.phase !== 'unfenced' || state.runs.size > 0
}

/** Ends all runs of an unresponsive upstream once their lease has expired even on a slow clock. */
export function endExpiredRuns (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  if (state.upstream.unansweredListings < MAXIMUM_UNANSWERED_LISTINGS || !hasRunsOrControl(state)) return
  if (!isRunLeaseOver(state, now)) return
  loseUpstream(state, ports, 'the run lease ended without an answer', 'silent', now)
}
