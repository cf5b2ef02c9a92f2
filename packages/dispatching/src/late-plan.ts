/** Plans of late jobs, which take the capacity that others leave free. */
import type { AgentView } from './agent-view.js'
import { RESERVED_CAPACITY_SHARE } from './dispatch-limits.js'
import type { DispatcherState } from './dispatcher-state.js'
import type { Job, JobStep, JobTask } from './job.js'
import { planTask, type AgentsByDistance } from './job-plan.js'
import type { PlanBudget } from './plan-budget.js'
import { createJobPlan, type JobPlan } from './plan.js'

/** A plan for tasks of a late job. */
export interface LatePlan {
  readonly plan: JobPlan
  /** Number of tasks for which an upstream was looked for. */
  readonly triedCount: number
}

/**
 * Plans the tasks of a late job for which upstreams have free capacity beyond the reserved share. Where the budget does
 * not suffice for all of them, the next pass begins with the first one that was left out.
 */
export function planLateJob (
  state: DispatcherState, job: Job, due: readonly JobTask[], agents: AgentsByDistance, budget: PlanBudget, now: number
): LatePlan {
  const plan = createJobPlan()
  const first = Math.max(0, due.findIndex(({ position }) => position >= job.nextLatePosition))
  /** Steps whose tasks no upstream has spare capacity for. */
  const stepsWithoutRoom = new Set<JobStep>()
  job.nextLatePosition = 0
  for (let count = 0; count < due.length; count += 1) {
    const task = due[(first + count) % due.length] as JobTask
    if (stepsWithoutRoom.has(task.step)) continue
    if (!budget.takeTask()) {
      job.nextLatePosition = task.position
      return { plan, triedCount: count }
    }
    const near = agents.near.filter(view => hasSpareCapacity(view, task))
    const far = agents.far.filter(view => hasSpareCapacity(view, task))
    if (near.length + far.length === 0) stepsWithoutRoom.add(task.step)
    else planTask(state, job, task, { ...agents, near, far }, plan, now)
  }
  return { plan, triedCount: due.length }
}

function hasSpareCapacity (view: AgentView, task: JobTask): boolean {
  const capacity = view.profile?.capacity.processor ?? 0
  const remainingProcessor = view.load.free.processor - view.unconfirmedSize.processor - task.step.size.processor
  return remainingProcessor >= RESERVED_CAPACITY_SHARE * capacity &&
    view.load.waiting.every(processor => processor === 0)
}
