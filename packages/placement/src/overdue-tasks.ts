/**
 * Judges an agent by tasks that are outstanding far longer than expected, before they finish, if they ever do.
 *
 * The test compares the share of overdue tasks with that of the template's usual long runs and with that of the
 * other agents of the service, so that neither rare long tasks nor a slow service as a whole ejects anyone.
 */
import type { EjectionReason } from './agent-health.js'
import type { AgentState } from './agent-state.js'
import { type RunTimeModel, SLOW_RATIO } from './run-time-model.js'

const GRACE_MILLISECONDS = 50
const OVERDUE_SHARE_OF_BAD_WORKER = 0.75
const EVIDENCE_LIMIT = 7
const HANGING_RATIO = 20
const LEAST_HANGING_MILLISECONDS = 1_500
const MOST_OVERDUE_SHARE_OF_OTHERS = 0.5

/** Outstanding tasks of an agent, by how long they take. */
export interface OverdueCount {
  readonly outstanding: number
  readonly overdue: number
  readonly overdueProbes: number
  /** Share of overdue tasks that usual long runs explain, a mean over the tasks. */
  readonly usualShare: number
  /** Whether a task ended at the usual speed lately, so that overdue ones are more likely waiting than slow. */
  readonly progressing: boolean
  /** Whether all tasks are outstanding so long that no run of the template is expected to take it. */
  readonly hanging: boolean
}

/** Tasks of the other agents of a service. */
export interface OtherAgents {
  readonly outstanding: number
  readonly overdue: number
}

/**
 * Counts the overdue tasks of an agent.
 *
 * @param meanMilliseconds - Mean run time of the service at reference speed.
 */
export function overdueTasks (
  state: AgentState, model: RunTimeModel, meanMilliseconds: number, now: number
): OverdueCount {
  const factor = Math.exp(state.speed.logarithm)
  const slots = state.agent.slots
  let overdue = 0
  let overdueProbes = 0
  let usualShares = 0
  let hanging = state.outstanding.size > 0
  let position = 0
  for (const task of state.outstanding.values()) {
    const expected = (model.reference(task.template) ?? Infinity) * factor
    // Tasks beyond the slots wait at the agent for others first.
    const turns = 1 + Math.floor(position / slots)
    const elapsed = now - task.dispatchedAt - state.recentWaitMilliseconds - GRACE_MILLISECONDS
    position += 1
    hanging &&= elapsed > Math.max(expected * HANGING_RATIO * turns, LEAST_HANGING_MILLISECONDS)
    usualShares += model.slowTimeShare(task.template)
    if (elapsed <= expected * SLOW_RATIO * turns) continue
    overdue += 1
    if (task.probe) overdueProbes += 1
  }
  const progressing = now - state.lastNormalEndAt <= meanMilliseconds * factor * SLOW_RATIO
  const outstanding = state.outstanding.size
  const usualShare = outstanding === 0 ? 0 : usualShares / outstanding
  return { outstanding, overdue, overdueProbes, usualShare, progressing, hanging }
}

/** Logarithm of the likelihood ratio between a bad worker and one that is no worse than usual or than the others. */
function evidenceOf (own: OverdueCount, others: OtherAgents): number {
  const othersShare = others.outstanding === 0 ? 0 : others.overdue / others.outstanding
  const healthy = Math.min(Math.max(own.usualShare, othersShare), OVERDUE_SHARE_OF_BAD_WORKER)
  const inTime = own.outstanding - own.overdue
  return own.overdue * Math.log(OVERDUE_SHARE_OF_BAD_WORKER / healthy) +
    inTime * Math.log((1 - OVERDUE_SHARE_OF_BAD_WORKER) / (1 - healthy))
}

/** The reason to eject an agent with these tasks, if any. */
export function overdueReason (own: OverdueCount, others: OtherAgents): EjectionReason | undefined {
  if (others.overdue > others.outstanding * MOST_OVERDUE_SHARE_OF_OTHERS) return undefined
  if (own.progressing) return undefined
  if (own.hanging) return 'hanging'
  if (own.overdueProbes > 0) return 'slow'
  return evidenceOf(own, others) >= EVIDENCE_LIMIT ? 'slow' : undefined
}
