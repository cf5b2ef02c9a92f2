/**
 * Health status of one agent: active, ejected or probing.
 *
 * The evidence against an agent is a CUSUM: the sum, never below zero, of the log-likelihood ratios between a faulty
 * agent and a healthy one. A few tasks suffice for an ejection when its peers have no failures or slow runs; more are
 * needed when the peers fail or are slow as well.
 */

const FAILURE_SHARE_OF_FAULTY_AGENT = 0.9
const MINIMUM_FAILURE_SHARE = 0.02
// If half of the peers fail a template too, or no peer has run it, a failure may be due to the template. It then
// raises suspicion of the agent without leading to an ejection.
const ATTRIBUTABLE_PEER_SHARE_LIMIT = 0.5
const SUSPICION_EVIDENCE_LIMIT = 1
const SLOW_SHARE_OF_FAULTY_AGENT = 0.9
const FAILURE_EVIDENCE_LIMIT = 9
const SLOW_EVIDENCE_LIMIT = 11
const INITIAL_EJECTION_MILLISECONDS = 5_000
const MAXIMUM_EJECTION_MILLISECONDS = 60_000
const EJECTION_COUNT_RESET_MILLISECONDS = 60_000
const PROBE_SUCCESSES_TO_RETURN = 2

export type EjectionReason = 'failing' | 'slow' | 'hanging'

export interface AgentHealth {
  status: 'active' | 'ejected' | 'probing'
  failureEvidence: number
  slowEvidence: number
  /** Whether any task has succeeded at the agent. */
  hasSucceeded: boolean
  /** Unix time in milliseconds of the last change of `status`. */
  changedAt: number
  /** Unix time in milliseconds at which probing starts. */
  ejectedUntil: number
  /** Number of recent ejections; each doubles the duration of the next one. */
  ejectionCount: number
  probeSuccesses: number
}

/** Creates the health of an agent without observations. */
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

/** Whether a failure counts against the agent, because the failure share of the template at its peers is below half. */
export function isAttributableToAgent (peerShare: number): boolean {
  return peerShare < ATTRIBUTABLE_PEER_SHARE_LIMIT
}

/** Adds the evidence of a success or failure; `peerShare` is the failure share of the template at the peers. */
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

/** Adds the evidence of a completed run; `slowRunShare` is the share of slow runs of its template. */
export function recordSpeed (health: AgentHealth, isSlow: boolean, slowRunShare: number): void {
  const healthyShare = Math.min(slowRunShare, SLOW_SHARE_OF_FAULTY_AGENT)
  const evidence = isSlow
    ? Math.log(SLOW_SHARE_OF_FAULTY_AGENT / healthyShare)
    : Math.log((1 - SLOW_SHARE_OF_FAULTY_AGENT) / (1 - healthyShare))
  health.slowEvidence = Math.max(0, health.slowEvidence + evidence)
}

/** Reason to eject an active agent according to its completed tasks, if any. */
export function ejectionReason (health: AgentHealth): EjectionReason | undefined {
  if (health.failureEvidence >= FAILURE_EVIDENCE_LIMIT) return 'failing'
  if (health.slowEvidence >= SLOW_EVIDENCE_LIMIT) return 'slow'
  return undefined
}

/** Ejects an agent, for twice as long as at the previous recent ejection, up to a maximum. */
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

export function startProbing (health: AgentHealth, now: number): void {
  health.status = 'probing'
  health.changedAt = now
  health.probeSuccesses = 0
}

/** Records a probe that succeeded in time; returns whether the agent is active again. */
export function recordProbeSuccess (health: AgentHealth, now: number): boolean {
  health.probeSuccesses += 1
  if (health.probeSuccesses < PROBE_SUCCESSES_TO_RETURN) return false
  health.status = 'active'
  health.changedAt = now
  health.failureEvidence = 0
  health.slowEvidence = 0
  return true
}
