/** Plans of jobs within their objectives, which are made in several turns of the event loop if they are large. */
import type { DispatcherState } from './dispatcher-state.js'
import { PROBE_SHARE } from './ejection.js'
import type { Job, JobTask } from './job.js'
import { planTask, remainingMillisecondsOf, type AgentsByDistance } from './job-plan.js'
import { createJobPlan, type JobPlan, type PlanInProgress } from './plan.js'
import type { PlanBudget } from './plan-budget.js'
import type { PlacementChoice } from './placement.js'

/**
 * A plan for tasks of a job, the best choice for the first task that would miss the objective, or neither if the rest
 * of the plan is to be made in another turn.
 */
export type PlanResult =
  | { readonly kind: 'in-time', readonly plan: JobPlan }
  | { readonly kind: 'missed', readonly missed: PlacementChoice | undefined }
  | { readonly kind: 'unfinished' }

/** Returns the agents with whole shares but for those that only get probes, or undefined if no share changes. */
function withWholeShares (agents: AgentsByDistance): AgentsByDistance | undefined {
  const shares = new Map([...agents.shares].filter(([, share]) => share <= PROBE_SHARE))
  return shares.size === agents.shares.size ? undefined : { ...agents, shares }
}

/**
 * Plans tasks of a job so that all of them end within its objective, and reserves capacity for them. As soon as one of
 * them can't, nothing is reserved. Reduced shares of upstreams send work elsewhere, but keep none of it waiting.
 */
export function planWithinObjective (
  state: DispatcherState, job: Job, tasks: readonly JobTask[], agents: AgentsByDistance, budget: PlanBudget, now: number
): PlanResult {
  const planning = state.plans.get(job) ?? { plan: createJobPlan(), missed: undefined, hasWholeShares: false }
  state.plans.delete(job)
  dropOutdatedChoices(state, planning.plan, tasks, agents, now)
  for (;;) {
    const currentAgents = planning.hasWholeShares ? withWholeShares(agents) ?? agents : agents
    const outcome = continuePlan(state, job, planning, tasks, currentAgents, budget, now)
    if (outcome === 'planned') return { kind: 'in-time', plan: planning.plan }
    if (outcome === 'unfinished') {
      state.plans.set(job, planning)
      return { kind: 'unfinished' }
    }
    planning.plan.release()
    if (planning.hasWholeShares || withWholeShares(agents) === undefined) {
      return { kind: 'missed', missed: planning.missed }
    }
    planning.hasWholeShares = true
  }
}

/** Keeps the rest of a plan that is sent in another turn. */
export function keepPlan (state: DispatcherState, job: Job, plan: JobPlan): void {
  state.plans.set(job, { plan, missed: undefined, hasWholeShares: false })
}

/**
 * Removes from a plan what does not hold any more: tasks that are not to be sent now, agents that have become unusable
 * or were started again, and tasks that another upstream may start by an earlier order.
 */
function dropOutdatedChoices (
  state: DispatcherState, plan: JobPlan, tasks: readonly JobTask[], agents: AgentsByDistance, now: number
): void {
  if (plan.choices.size === 0) return
  const usable = new Set([...agents.near, ...agents.far])
  const wanted = new Set(tasks)
  for (const [task, { agent }] of [...plan.choices]) {
    const holds = wanted.has(task) && usable.has(agent) && plan.isOfIncarnation(task) &&
      !state.openOrders.isOpenElsewhere(task.name, agent.name, now)
    if (!holds) plan.remove(task)
  }
}

/** Plans further tasks, until all are planned, one misses the objective or the budget is used up. */
function continuePlan (
  state: DispatcherState, job: Job, planning: PlanInProgress, tasks: readonly JobTask[], agents: AgentsByDistance,
  budget: PlanBudget, now: number
): 'planned' | 'missed' | 'unfinished' {
  const { plan } = planning
  const remainingMilliseconds = remainingMillisecondsOf(job, now)
  for (const task of tasks) {
    if (plan.choices.has(task)) continue
    if (!budget.takeTask()) return 'unfinished'
    const choice = planTask(state, job, task, agents, plan, now)
    if (choice !== undefined && state.admission.fits(choice, remainingMilliseconds, job.refusedOrders, now)) continue
    if (!planning.hasWholeShares) planning.missed = choice
    return 'missed'
  }
  return 'planned'
}
