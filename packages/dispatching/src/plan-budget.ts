/** Work that a pass over the waiting jobs may do in one turn of the event loop. The rest is done in later turns. */
import type { AgentsByDistance } from './job-plan.js'

/** Comparisons of a task with an agent in the plans of one turn. */
const COMPARISONS_PER_TURN = 4_000
/** What the plan of a task costs beside its comparisons, as a number of these. */
const COMPARISONS_PER_TASK = 8
/** Number of tasks of a job that are planned in one turn in any case. */
const MINIMUM_TASKS_PER_TURN = 32
/** Largest number of tasks of a job that are sent in one turn. */
export const TASKS_SENT_PER_TURN = 250

/** What is left to the plan of one job in this turn. */
export interface PlanBudget {
  /** Takes what the plan of a task costs, unless nothing is left. */
  takeTask: () => boolean
}

/**
 * Creates the budget of one job.
 *
 * @param jobs - Number of jobs that are planned in this turn.
 * @example
 * const budget = createPlanBudget(16, agents)
 * budget.takeTask() // true
 */
export function createPlanBudget (jobs: number, { near, far }: AgentsByDistance): PlanBudget {
  const taskCost = near.length + far.length + COMPARISONS_PER_TASK
  let remaining = Math.max(MINIMUM_TASKS_PER_TURN, Math.floor(COMPARISONS_PER_TURN / jobs / taskCost))
  return {
    takeTask: () => {
      remaining -= 1
      return remaining >= 0
    }
  }
}
