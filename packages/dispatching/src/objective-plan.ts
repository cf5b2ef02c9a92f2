/** Plans of jobs within their objectives, which are made in several turns of the event loop if they are large. */
import type { AgentView } from './agent-view.js'
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
 *
 * @param tasks - Tasks to plan, unless a plan of the job is in progress.
 */
export function planWithinObjective (
  state: DispatcherState, job: Job, tasks: JobTask[], agents: AgentsByDistance, budget: PlanBudget, now: number
): PlanResult {
  const planning = state.plans.get(job) ?? beginPlan(tasks)
  state.plans.delete(job)
  dropOutdatedChoices(state, planning, agents, now)
  for (;;) {
    const currentAgents = planning.hasWholeShares ? withWholeShares(agents) ?? agents : agents
    const outcome = continuePlan(state, job, planning, currentAgents, budget, now)
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
    planning.position = 0
  }
}

function beginPlan (tasks: JobTask[]): PlanInProgress {
  return { plan: createJobPlan(), tasks, position: 0, missed: undefined, hasWholeShares: false }
}

/** Keeps the rest of a plan that is sent in another turn. */
export function keepPlan (state: DispatcherState, job: Job, plan: JobPlan): void {
  const tasks = [...plan.choices.keys()]
  state.plans.set(job, { plan, tasks, position: tasks.length, missed: undefined, hasWholeShares: false })
}

/**
 * Plans again the tasks of a plan in progress whose agents have become unusable, or whose tasks another upstream may
 * start by an earlier order, as was learned in between.
 */
function dropOutdatedChoices (
  state: DispatcherState, { plan, tasks }: PlanInProgress, agents: AgentsByDistance, now: number
): void {
  if (plan.choices.size === 0) return
  const usable = new Set([...agents.near, ...agents.far])
  const outdated = new Set<AgentView>()
  for (const [view, incarnation] of plan.incarnations) {
    if (!usable.has(view) || view.incarnation !== incarnation) outdated.add(view)
  }
  if (outdated.size === 0 && state.openOrders.isEmpty()) return
  for (const [task, { agent }] of [...plan.choices]) {
    if (!outdated.has(agent) && !state.openOrders.isOpenElsewhere(task.name, agent.name, now)) continue
    plan.remove(task)
    tasks.push(task)
  }
}

/** Plans further tasks, until all are planned, one misses the objective or the budget is used up. */
function continuePlan (
  state: DispatcherState, job: Job, planning: PlanInProgress, agents: AgentsByDistance, budget: PlanBudget, now: number
): 'planned' | 'missed' | 'unfinished' {
  const { plan, tasks } = planning
  const remainingMilliseconds = remainingMillisecondsOf(job, now)
  for (; planning.position < tasks.length; planning.position += 1) {
    if (!budget.takeTask()) return 'unfinished'
    const task = tasks[planning.position] as JobTask
    const choice = planTask(state, job, task, agents, plan, now)
    if (choice !== undefined && state.admission.fits(choice, remainingMilliseconds, job.refusedOrders, now)) continue
    if (!planning.hasWholeShares) planning.missed = choice
    return 'missed'
  }
  return 'planned'
}
