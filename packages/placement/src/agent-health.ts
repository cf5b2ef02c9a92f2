/**
 * Standing of one agent: active, ejected or probing.
 *
 * Evidence is summed as logarithms of likelihood ratios between a bad worker and a healthy one (a CUSUM test, never
 * below zero), so that a few tasks decide where peers are clean and many are needed where peers fail or run long too.
 */

const FAILING_SHARE_OF_BAD_WORKER = 0.9
const LEAST_FAILURE_SHARE = 0.02
// Failures that half of the peers share, or that no peer could show, raise suspicion but eject no one.
const TELLING_PEER_SHARE = 0.5
const SUSPICION_EVIDENCE = 1
const SLOW_SHARE_OF_BAD_WORKER = 0.9
const FAILURE_EVIDENCE_LIMIT = 9
const SLOW_EVIDENCE_LIMIT = 11
const FIRST_EJECTION_MILLISECONDS = 5_000
const LONGEST_EJECTION_MILLISECONDS = 60_000
const STRIKE_MEMORY_MILLISECONDS = 60_000
const SUCCESSES_TO_RETURN = 2

/** Why an agent is ejected. */
export type EjectionReason = 'failing' | 'slow' | 'hanging'

/** Standing of an agent. */
export interface AgentHealth {
  standing: 'active' | 'ejected' | 'probing'
  failureEvidence: number
  slowEvidence: number
  /** Whether any task succeeded here. */
  proven: boolean
  /** Unix time in milliseconds of the last change of standing. */
  changedAt: number
  /** Unix time in milliseconds at which probing starts. */
  ejectedUntil: number
  /** Number of recent ejections; each doubles the next one's time. */
  strikes: number
  probeSuccesses: number
}

/** Health of an agent of which nothing was observed. */
export function createAgentHealth (now: number): AgentHealth {
  return {
    standing: 'active',
    failureEvidence: 0,
    slowEvidence: 0,
    proven: false,
    changedAt: now,
    ejectedUntil: 0,
    strikes: 0,
    probeSuccesses: 0
  }
}

/** Whether a failure tells of the worker, as most peers don't fail the template. */
export function isTelling (peerShare: number): boolean {
  return peerShare < TELLING_PEER_SHARE
}

/** Adds the evidence of a task that succeeded or failed, where peers fail the given share of its template. */
export function noteOutcome (health: AgentHealth, failed: boolean, peerShare: number): void {
  const healthy = Math.min(Math.max(peerShare, LEAST_FAILURE_SHARE), FAILING_SHARE_OF_BAD_WORKER)
  const evidence = failed
    ? Math.log(FAILING_SHARE_OF_BAD_WORKER / healthy)
    : Math.log((1 - FAILING_SHARE_OF_BAD_WORKER) / (1 - healthy))
  const sum = Math.max(0, health.failureEvidence + evidence)
  const telling = !failed || isTelling(peerShare)
  health.failureEvidence = telling ? sum : Math.max(health.failureEvidence, Math.min(sum, SUSPICION_EVIDENCE))
  if (!failed) health.proven = true
}

/** Adds the evidence of a finished task that was slow or not, where the given share of runs is slow. */
export function noteSpeed (health: AgentHealth, slow: boolean, slowShare: number): void {
  const healthy = Math.min(slowShare, SLOW_SHARE_OF_BAD_WORKER)
  const evidence = slow
    ? Math.log(SLOW_SHARE_OF_BAD_WORKER / healthy)
    : Math.log((1 - SLOW_SHARE_OF_BAD_WORKER) / (1 - healthy))
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
  const lasted = now - health.changedAt
  if (health.standing === 'active' && lasted > STRIKE_MEMORY_MILLISECONDS) health.strikes = 0
  const time = FIRST_EJECTION_MILLISECONDS * 2 ** Math.min(health.strikes, 10)
  health.standing = 'ejected'
  health.changedAt = now
  health.ejectedUntil = now + Math.min(time, LONGEST_EJECTION_MILLISECONDS)
  health.strikes += 1
  health.probeSuccesses = 0
}

/** Starts to probe an ejected agent. */
export function startProbing (health: AgentHealth, now: number): void {
  health.standing = 'probing'
  health.changedAt = now
  health.probeSuccesses = 0
}

/** Notes that a probe succeeded in time; returns whether the agent is active again. */
export function noteProbeSuccess (health: AgentHealth, now: number): boolean {
  health.probeSuccesses += 1
  if (health.probeSuccesses < SUCCESSES_TO_RETURN) return false
  health.standing = 'active'
  health.changedAt = now
  health.failureEvidence = 0
  health.slowEvidence = 0
  return true
}
