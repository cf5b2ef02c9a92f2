/** Plans of which agents get the tasks of a job, and the capacity that they reserve there. */
import { addSizes, EMPTY_SIZE, type Size } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { JobTask } from './job.js'
import type { PlacementChoice } from './placement.js'

/** Tasks with the agents chosen for them, where capacity is reserved. */
export interface JobPlan {
  readonly choices: ReadonlyMap<JobTask, PlacementChoice>
  /** Names of the chosen agents. */
  readonly usedAgents: ReadonlySet<string>
  /** Whether the agent that was chosen for a task has not been started again since. */
  isOfIncarnation: (task: JobTask) => boolean
  /** Adds a task and reserves capacity for it. */
  add: (task: JobTask, choice: PlacementChoice, isSuspect: boolean) => void
  /** Removes a task that is sent, for which capacity is reserved until its agent has answered. */
  take: (task: JobTask) => void
  /** Removes a task and releases what is reserved for it. */
  remove: (task: JobTask) => void
  /** Removes all tasks. */
  release: () => void
  /** Returns the number of tasks of a step that are planned at an agent. */
  countAt: (agent: string, stepNumber: number) => number
  /** Whether a task under which an upstream has crashed is planned at an agent. */
  hasSuspectAt: (agent: string) => boolean
}

/** A plan that is made in several turns of the event loop. */
export interface PlanInProgress {
  readonly plan: JobPlan
  /** Best choice for the task that missed the objective while upstreams had reduced shares; undefined before. */
  missed: PlacementChoice | undefined
  /** Whether upstreams get whole shares, since the objective was missed without. */
  hasWholeShares: boolean
}

/** Releases the reservation of a task's size at an agent. */
export function releaseReservation (view: AgentView, size: Size): void {
  view.unconfirmedSize = addSizes(view.unconfirmedSize, {
    processor: -size.processor, memory: -size.memory, accelerators: -size.accelerators
  })
  if (view.unconfirmedSize.processor < 1) view.unconfirmedSize = EMPTY_SIZE
}

/**
 * Creates an empty plan.
 *
 * @example
 * const plan = createJobPlan()
 * plan.add(task, choice, false)
 */
export function createJobPlan (): JobPlan {
  const choices = new Map<JobTask, PlacementChoice>()
  const usedAgents = new Set<string>()
  const incarnations = new Map<JobTask, string>()
  const suspectAgents = new Set<string>()
  /** Numbers of limited tasks, by agent and step. */
  const limitedCounts = new Map<string, number>()

  function countLimited ({ step, stepNumber }: JobTask, agent: string, change: number): void {
    if (step.maximumPerUpstream === undefined) return
    const key = `${stepNumber} ${agent}`
    limitedCounts.set(key, (limitedCounts.get(key) ?? 0) + change)
  }

  /** Removes a task. Returns the agent that was chosen for it. */
  function take (task: JobTask): AgentView | undefined {
    const agent = choices.get(task)?.agent
    if (agent === undefined) return undefined
    choices.delete(task)
    countLimited(task, agent.name, -1)
    return agent
  }

  function isOfIncarnation (task: JobTask): boolean {
    return incarnations.get(task) === choices.get(task)?.agent.incarnation
  }

  function remove (task: JobTask): void {
    const hasReservation = isOfIncarnation(task)
    const agent = take(task)
    // With a new incarnation the reservations of the former one were dropped.
    if (agent !== undefined && hasReservation) releaseReservation(agent, task.step.size)
  }

  return {
    choices,
    usedAgents,
    isOfIncarnation,
    add: (task, choice, isSuspect) => {
      const { agent } = choice
      choices.set(task, choice)
      usedAgents.add(agent.name)
      incarnations.set(task, agent.incarnation)
      if (isSuspect) suspectAgents.add(agent.name)
      countLimited(task, agent.name, 1)
      agent.unconfirmedSize = addSizes(agent.unconfirmedSize, task.step.size)
    },
    take: task => { take(task) },
    remove,
    release: () => { for (const task of [...choices.keys()]) remove(task) },
    countAt: (agent, stepNumber) => limitedCounts.get(`${stepNumber} ${agent}`) ?? 0,
    hasSuspectAt: agent => suspectAgents.has(agent)
  }
}
