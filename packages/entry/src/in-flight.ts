/** Tasks that were dispatched and whose outcome has not been reported, by submission and index. */
import type { AgentIdentity } from '@baobabpost/common'
import type { WaitingTask } from '@baobabpost/admission'

/** A dispatched task and the agent that holds it. */
export interface InFlightTask {
  readonly task: WaitingTask
  readonly agent: AgentIdentity
  /** Whether the task was sent more than once; one undelivered copy does not prove then that it never arrived. */
  wasResent: boolean
}

/** Dispatched tasks of one entry. */
export interface InFlightTable {
  add: (task: WaitingTask, agent: AgentIdentity) => void
  find: (submission: string, index: number) => InFlightTask | undefined
  /** Removes a task and returns it; returns undefined if it is not in the table. */
  remove: (submission: string, index: number) => InFlightTask | undefined
  /** Removes and returns all matching tasks. Visits every task, so it is meant for rare events. */
  removeWhere: (matches: (inFlight: InFlightTask) => boolean) => readonly InFlightTask[]
  size: () => number
  /** Number of tasks at an agent. Visits every task. */
  countAt: (agent: AgentIdentity) => number
}

export function createInFlightTable (): InFlightTable {
  const submissions = new Map<string, Map<number, InFlightTask>>()
  let taskCount = 0

  function remove (submission: string, index: number): InFlightTask | undefined {
    const tasks = submissions.get(submission)
    const found = tasks?.get(index)
    if (tasks === undefined || found === undefined) return undefined
    tasks.delete(index)
    taskCount -= 1
    if (tasks.size === 0) submissions.delete(submission)
    return found
  }

  return {
    find: (submission, index) => submissions.get(submission)?.get(index),
    add (task, agent) {
      let tasks = submissions.get(task.submission)
      if (tasks === undefined) {
        tasks = new Map()
        submissions.set(task.submission, tasks)
      }
      if (!tasks.has(task.index)) taskCount += 1
      tasks.set(task.index, { task, agent, wasResent: false })
    },
    remove,
    removeWhere (matches) {
      const removed: InFlightTask[] = []
      for (const tasks of [...submissions.values()]) {
        for (const inFlight of [...tasks.values()]) {
          if (!matches(inFlight)) continue
          remove(inFlight.task.submission, inFlight.task.index)
          removed.push(inFlight)
        }
      }
      return removed
    },
    size: () => taskCount,
    countAt (agent) {
      let tasksAtAgent = 0
      for (const tasks of submissions.values()) {
        for (const inFlight of tasks.values()) {
          if (inFlight.agent === agent) tasksAtAgent += 1
        }
      }
      return tasksAtAgent
    }
  }
}
