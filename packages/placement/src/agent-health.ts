/**
 * Standing of one agent: active, ejected or probing.
 *
 * Evidence is summed as logarithms of likelihood ratios between a bad worker and a healthy one (a CUSUM test, never
 * below zero), so that a few tasks decide where peers are clean and many are needed where peers fail or run long too.
 */

const FAILURE_SHARE_OF_FAULTY_AGENT = 0.9
const MINIMUM_FAILURE_SHARE = 0.02
// Failures that half of the peers share, or that no peer could show, raise suspicion but eject no one.
const ATTRIBUTABLE_PEER_SHARE_LIMIT = 0.5
const SUSPICION_EVIDENCE_LIMIT = 1
const SLOW_SHARE_OF_FAULTY_AGENT = 0.9
const FAILURE_EVIDENCE_LIMIT = 9
const SLOW_EVIDENCE_LIMIT = 11
const INITIAL_EJECTION_MILLISECONDS = 5_000
const MAXIMUM_EJECTION_MILLISECONDS = 60_000
const EJECTION_COUNT_RESET_MILLISECONDS = 60_000
const PROBE_SUCCESSES_TO_RETURN = 2

/** Why an agent is ejected. */
export type EjectionReason = 'failing' | 'slow' | 'hanging'

/** Standing of an agent. */
export interface AgentHealth {
  status: 'active' | 'ejected' | 'probing'
  failureEvidence: number
  slowEvidence: number
  /** Whether any task succeeded here. */
  hasSucceeded: boolean
  /** Unix time in milliseconds of the last change of standing. */
  changedAt: number
  /** Unix time in milliseconds at which probing starts. */
  ejectedUntil: number
  /** Number of recent ejections; each doubles the next one's time. */
  ejectionCount: number
  probeSuccesses: number
}

/** Health of an agent of which nothing was observed. */
export function createAgentHealth (now: number): AgentHealth {
  return {
    status: 'active',
    failureEvidence: 0,
    slowEvidence: 0,
    hasSucceeded: false,
    changedAt: now,
    ejectedUntil: 0,
    ejectionCount: 0,
    probeSuccesses: 0
  }
}

/** Whether a failure tells of the worker, as most peers don't fail the template. */
export function isAttributableToAgent (peerShare: number): boolean {
  return peerShare < ATTRIBUTABLE_PEER_SHARE_LIMIT
}

/** Adds the evidence of a task that succeeded or failed, where peers fail the given share of its template. */
export function recordOutcome (health: AgentHealth, hasFailed: boolean, peerShare: number): void {
  const healthyShare = Math.min(Math.max(peerShare, MINIMUM_FAILURE_SHARE), FAILURE_SHARE_OF_FAULTY_AGENT)
  const evidence = hasFailed
    ? Math.log(FAILURE_SHARE_OF_FAULTY_AGENT / healthyShare)
    : Math.log((1 - FAILURE_SHARE_OF_FAULTY_AGENT) / (1 - healthyShare))
  const evidenceSum = Math.max(0, health.failureEvidence + evidence)
  const isAttributable = !hasFailed || isAttributableToAgent(peerShare)
  health.failureEvidence = isAttributable
    ? evidenceSum
    : Math.max(health.failureEvidence, Math.min(evidenceSum, SUSPICION_EVIDENCE_LIMIT))
  if (!hasFailed) health.hasSucceeded = true
}

/** Adds the evidence of a finished task that was slow or not, where the given share of runs is slow. */
export function recordSpeed (health: AgentHealth, isSlow: boolean, slowRunShare: number): void {
  const healthyShare = Math.min(slowRunShare, SLOW_SHARE_OF_FAULTY_AGENT)
  const evidence = isSlow
    ? Math.log(SLOW_SHARE_OF_FAULTY_AGENT / healthyShare)
    : Math.log((1 - SLOW_SHARE_OF_FAULTY_AGENT) / (1 - healthyShare))
  health.slowEvidence = Math.max(0, health.slowEvidence + evidence)
}

/** The reason to eject an active agent that finished tasks give, if any. */
export function ejectionReason (health: AgentHealth): EjectionReason | undefined {
  if (health.failureEvidence >= FAILURE_EVIDENCE_LIMIT) return 'failing'
  if (health.slowEvidence >= SLOW_EVIDENCE_LIMIT) return 'slow'
  return undefined
}

/** Ejects an agent. */
export function eject (health: AgentHealth, now: number): void {
  const sinceChangeMilliseconds = now - health.changedAt
  if (health.status === 'active' && sinceChangeMilliseconds > EJECTION_COUNT_RESET_MILLISECONDS) health.ejectionCount = 0
  const ejectionMilliseconds = INITIAL_EJECTION_MILLISECONDS * 2 ** Math.min(health.ejectionCount, 10)
  health.status = 'ejected'
  health.changedAt = now
  health.ejectedUntil = now + Math.min(ejectionMilliseconds, MAXIMUM_EJECTION_MILLISECONDS)
  health.ejectionCount += 1
  health.probeSuccesses = 0
}

/** Starts to probe an ejected agent. */
export function startProbing (health: AgentHealth, now: number): void {
  health.status = 'probing'
  health.changedAt = now
  health.probeSuccesses = 0
}

/** Notes that a probe succeeded in time; returns whether the agent is active again. */
export function recordProbeSuccess (health: AgentHealth, now: number): boolean {
  health.probeSuccesses += 1
  if (health.probeSuccesses < PROBE_SUCCESSES_TO_RETURN) return false
  health.status = 'active'
  health.changedAt = now
  health.failureEvidence = 0
  health.slowEvidence = 0
  return true
}
