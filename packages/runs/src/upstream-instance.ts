/** The lifetime of an upstream's instances: what ends with one, and how the agent takes control of the next. */
import { crashCandidates, describeCandidate, logCandidates } from './crash-candidates.js'
import type { LeaseRenewals } from './lease-renewals.js'
import { MAXIMUM_UNANSWERED_LISTINGS } from './run-limits.js'
import { startWaitingRuns } from './orders.js'
import { isEndProven } from './run-end-proof.js'
import { isRunLeaseOver } from './run-lease.js'
import { isOrdered, type RunRecord } from './run-record.js'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'
import { endRun } from './registered-runs.js'
import type { UpstreamInstance } from './upstream.js'
import { createUpstreamState } from './upstream-state.js'

/** Returns the time since the run lease was renewed, in ms; undefined if it never was. */
function ageOfRenewal (renewals: LeaseRenewals, now: number): number | undefined {
  const renewedAt = renewals.renewedAt()
  return renewedAt === undefined ? undefined : Math.round(now - renewedAt)
}

/**
 * Logs the end of an instance with the runs that were there, and records a crash unless the instance was leaving. To be
 * called once the end is proven, and before the runs are ended.
 *
 * @param proof - Another instance answers, which may have taken the newest orders, or the run lease is over. The lease
 *   ends the runs, but the instance may be cut off and answer again, so a crash is only suspected.
 */
function recordEnd (
  state: RunRegistryState, ports: RunRegistryPorts, reason: string, proof: 'replaced' | 'lease-over', now: number
): void {
  const { instance, isLeaving, hasDeparted, refusedSince, lastListingAt, renewals } = state.upstream
  const candidates = crashCandidates(state)
  if (!isLeaving && !hasDeparted) {
    const orderedBy = proof === 'replaced' ? Math.max(refusedSince ?? 0, lastListingAt) : now
    const described = candidates.map(candidate => describeCandidate(candidate, orderedBy))
    state.crashes.recordCrash(described, proof === 'lease-over', now)
  }
  ports.logger.warn('upstream life ended', {
    outcome: proof,
    reason,
    upstream: instance?.id,
    bornAt: instance?.startedAt,
    leaving: isLeaving || hasDeparted,
    runs: candidates.length,
    renewedAgo: ageOfRenewal(renewals, now),
    milliseconds: refusedSince === undefined ? undefined : Math.round(now - refusedSince),
    last: logCandidates(candidates, now)
  })
}

/** Takes control of the upstream anew after its runs have ended. What the instance said of itself stays known. */
function giveUpControl (state: RunRegistryState): void {
  const { instance, instanceKnownSince, renewals, refusedSince } = state.upstream
  state.upstream.phase = 'unfenced'
  // An instance that doesn't report its start can't be told from the next one.
  if (instance?.startedAt === undefined) {
    state.upstream = {
      ...createUpstreamState(instance, state.routeFactor, renewals), instanceKnownSince, refusedSince
    }
  }
  // Delayed orders to the earlier instance may reach the next one, which has not seen a fencing token yet.
  state.fencingToken += 1
}

function logUnconfirmedRun (state: RunRegistryState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  const { instance, renewals } = state.upstream
  ports.logger.warn('unconfirmed run given up', {
    task: record.order.task,
    run: record.upstreamRunNumber,
    upstream: instance?.id,
    bornAt: instance?.startedAt,
    orderedAgo: Math.round(now - record.orderedAt),
    renewedAgo: ageOfRenewal(renewals, now)
  })
}

/**
 * Ends the runs of an upstream whose run lease is over, and takes control of it anew. A start order without an answer
 * may still be carried out by the next instance, on whose clock its lease has not expired, also if a later order of the
 * run was confirmed; the run is displaced until that instance is fenced, or the order too old.
 */
function loseUpstream (state: RunRegistryState, ports: RunRegistryPorts, reason: string, now: number): void {
  const { phase } = state.upstream
  const hasUnsettledRuns = [...state.runs.values()].some(record => record.state !== 'displaced')
  if (phase === 'serving' || hasUnsettledRuns) recordEnd(state, ports, reason, 'lease-over', now)
  for (const record of [...state.runs.values()]) {
    if (!isOrdered(record)) {
      endRun(state, ports, record, 'not-started', reason, now)
    } else if (isEndProven(state, record, { kind: 'no-answer', now })) {
      if (!record.isConfirmed) logUnconfirmedRun(state, ports, record, now)
      endRun(state, ports, record, 'lost', record.state === 'displaced' ? record.stopReason : reason, now)
    } else if (record.state !== 'displaced') {
      displace(state, record, reason)
    }
  }
  if (phase !== 'unfenced' || hasUnsettledRuns) giveUpControl(state)
}

/** Ends all runs of an upstream once their lease has expired even on a slow clock. */
function endRunsAfterLease (state: RunRegistryState, ports: RunRegistryPorts, reason: string, now: number): void {
  const hasRunsOrControl = state.upstream.phase !== 'unfenced' || state.runs.size > 0
  if (hasRunsOrControl && isRunLeaseOver(state, now)) loseUpstream(state, ports, reason, now)
}

/** Ends all runs of an upstream that answers no listing once their lease has expired. */
export function endExpiredRuns (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  if (state.upstream.unansweredListings < MAXIMUM_UNANSWERED_LISTINGS) return
  endRunsAfterLease(state, ports, 'the run lease ended without an answer', now)
}

/**
 * Handles a listing that the upstream refused at the connection, which does not prove that its instance has ended. No
 * run starts there until it answers, and those that have not been ordered go back to their entries at once.
 */
export function handleUnreachable (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  if (state.upstream.refusedSince === undefined) {
    state.upstream.refusedSince = now
    const { instance, phase, renewals } = state.upstream
    ports.logger.warn('upstream refuses connections', {
      upstream: instance?.id,
      bornAt: instance?.startedAt,
      phase,
      runs: state.runs.size,
      renewedAgo: ageOfRenewal(renewals, now)
    })
  }
  startWaitingRuns(state, ports, now)
  endRunsAfterLease(state, ports, 'the run lease ended, and nothing listens at the upstream', now)
}

/** Records that the known instance has answered a listing. */
export function handleReachable (state: RunRegistryState, ports: RunRegistryPorts, now: number): void {
  const { instance, refusedSince, renewals } = state.upstream
  if (refusedSince === undefined) return
  state.upstream.refusedSince = undefined
  ports.logger.info('upstream answers again', {
    outcome: 'answers-again',
    upstream: instance?.id,
    bornAt: instance?.startedAt,
    runs: state.runs.size,
    renewedAgo: ageOfRenewal(renewals, now),
    milliseconds: Math.round(now - refusedSince)
  })
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
  const { renewals, instance: predecessor } = state.upstream
  state.upstream = {
    ...createUpstreamState(instance, state.routeFactor, renewals), instanceKnownSince: now, predecessor
  }
  state.fencingToken += 1
  ports.listImmediately()
}
