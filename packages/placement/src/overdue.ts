/**
 * Judges an agent by tasks that are outstanding far longer than expected, before they finish, if they ever do.
 *
 * The test compares the share of overdue tasks with that of the template's usual long runs and with that of the
 * other agents of the service, so that neither rare long tasks nor a slow service as a whole ejects anyone.
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

/** Outstanding tasks of an agent, by how long they take. */
export interface OverdueCount {
  readonly outstanding: number
  readonly overdue: number
  readonly overdueProbes: number
  /** Share of overdue tasks that usual long runs explain, a mean over the tasks. */
  readonly usualOverdueShare: number
  /** Whether a task ended at the usual speed lately, so that overdue ones are more likely waiting than slow. */
  readonly isProgressing: boolean
  /** Whether all tasks are outstanding so long that no run of the template is expected to take it. */
  readonly isHanging: boolean
}

/** Tasks of the other agents of a service. */
export interface PeerTasks {
  readonly outstanding: number
  readonly overdue: number
}

/**
 * Counts the overdue tasks of an agent.
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
    // Tasks beyond the slots wait at the agent for others first.
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

/** Logarithm of the likelihood ratio between a bad worker and one that is no worse than usual or than the others. */
function overdueEvidenceOf (own: OverdueCount, peers: PeerTasks): number {
  const peersShare = peers.outstanding === 0 ? 0 : peers.overdue / peers.outstanding
  const healthyShare = Math.min(Math.max(own.usualOverdueShare, peersShare), OVERDUE_SHARE_OF_FAULTY_AGENT)
  const onTime = own.outstanding - own.overdue
  return own.overdue * Math.log(OVERDUE_SHARE_OF_FAULTY_AGENT / healthyShare) +
    onTime * Math.log((1 - OVERDUE_SHARE_OF_FAULTY_AGENT) / (1 - healthyShare))
}

/** The reason to eject an agent with these tasks, if any. */
export function overdueEjectionReason (own: OverdueCount, peers: PeerTasks): EjectionReason | undefined {
  if (peers.overdue > peers.outstanding * MAXIMUM_OVERDUE_SHARE_OF_PEERS) return undefined
  if (own.isProgressing) return undefined
  if (own.isHanging) return 'hanging'
  if (own.overdueProbes > 0) return 'slow'
  return overdueEvidenceOf(own, peers) >= OVERDUE_EVIDENCE_LIMIT ? 'slow' : undefined
}
