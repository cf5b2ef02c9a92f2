/**
 * Detects slow and hanging agents by tasks that are outstanding far longer than expected, without waiting for their
 * completion.
 *
 * The share of overdue tasks is compared with the usual share of slow runs of their templates and with the share at the
 * other agents of the service, so that neither rare long runs nor a service that is slow as a whole ejects an agent.
 */
import type { EjectionReason } from './agent-health.js'
import type { AgentState } from './agent-state.js'
import { type RunTimeModel, SLOW_RATIO } from './run-time-model.js'

const DISPATCH_GRACE_MILLISECONDS = 50
const OVERDUE_SHARE_OF_FAULTY_AGENT = 0.75
const OVERDUE_EVIDENCE_LIMIT = 7
const HANGING_RATIO = 20
const MINIMUM_HANGING_MILLISECONDS = 1_500
const MAXIMUM_OVERDUE_SHARE_OF_PEERS = 0.5

/** Numbers of outstanding and overdue tasks of an agent. */
export interface OverdueCount {
  readonly outstanding: number
  readonly overdue: number
  readonly overdueProbes: number
  /** Share of overdue tasks to expect from the usual slow runs of the templates, a mean over the tasks. */
  readonly usualOverdueShare: number
  /** Whether a task completed at normal speed recently, so that overdue tasks are probably queued at the agent. */
  readonly isProgressing: boolean
  /** Whether all tasks are outstanding for longer than any run of their templates is expected to take. */
  readonly isHanging: boolean
}

/** Numbers of outstanding and overdue tasks at the other agents of a service. */
export interface PeerTasks {
  readonly outstanding: number
  readonly overdue: number
}

/**
 * Counts the overdue tasks of an agent and classifies its progress.
 *
 * @param meanMilliseconds - Mean run time of the service at reference speed.
 */
export function countOverdueTasks (
  state: AgentState, model: RunTimeModel, meanMilliseconds: number, now: number
): OverdueCount {
  const factor = Math.exp(state.speed.factorLogarithm)
  const slots = state.agent.slots
  let overdue = 0
  let overdueProbes = 0
  let usualShareSum = 0
  let isHanging = state.outstanding.size > 0
  let position = 0
  for (const task of state.outstanding.values()) {
    const expectedMilliseconds = (model.referenceMilliseconds(task.template) ?? Infinity) * factor
    // Tasks beyond the slots first wait for others: the second set of `slots` tasks is expected to take twice as long.
    const rounds = 1 + Math.floor(position / slots)
    const elapsedMilliseconds = now - task.dispatchedAt - state.recentWaitMilliseconds - DISPATCH_GRACE_MILLISECONDS
    position += 1
    isHanging &&= elapsedMilliseconds >
      Math.max(expectedMilliseconds * HANGING_RATIO * rounds, MINIMUM_HANGING_MILLISECONDS)
    usualShareSum += model.slowTimeShare(task.template)
    if (elapsedMilliseconds <= expectedMilliseconds * SLOW_RATIO * rounds) continue
    overdue += 1
    if (task.isProbe) overdueProbes += 1
  }
  const isProgressing = now - state.lastNormalCompletionAt <= meanMilliseconds * factor * SLOW_RATIO
  const outstanding = state.outstanding.size
  const usualOverdueShare = outstanding === 0 ? 0 : usualShareSum / outstanding
  return { outstanding, overdue, overdueProbes, usualOverdueShare, isProgressing, isHanging }
}

/** Log-likelihood ratio between a faulty agent and one whose share of overdue tasks is usual or equal to its peers'. */
function overdueEvidenceOf (own: OverdueCount, peers: PeerTasks): number {
  const peersShare = peers.outstanding === 0 ? 0 : peers.overdue / peers.outstanding
  const healthyShare = Math.min(Math.max(own.usualOverdueShare, peersShare), OVERDUE_SHARE_OF_FAULTY_AGENT)
  const onTime = own.outstanding - own.overdue
  return own.overdue * Math.log(OVERDUE_SHARE_OF_FAULTY_AGENT / healthyShare) +
    onTime * Math.log((1 - OVERDUE_SHARE_OF_FAULTY_AGENT) / (1 - healthyShare))
}

/** Reason to eject an agent according to its outstanding tasks, if any. */
export function overdueEjectionReason (own: OverdueCount, peers: PeerTasks): EjectionReason | undefined {
  if (peers.overdue > peers.outstanding * MAXIMUM_OVERDUE_SHARE_OF_PEERS) return undefined
  if (own.isProgressing) return undefined
  if (own.isHanging) return 'hanging'
  if (own.overdueProbes > 0) return 'slow'
  return overdueEvidenceOf(own, peers) >= OVERDUE_EVIDENCE_LIMIT ? 'slow' : undefined
}
