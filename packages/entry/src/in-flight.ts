/** Tasks that were dispatched and have not come back, by submission and index. */
import type { AgentIdentity } from '@baobabpost/common'
import type { WaitingTask } from '@baobabpost/admission'

/** A dispatched task and where it is. */
export interface InFlightTask {
  readonly task: WaitingTask
  readonly agent: AgentIdentity
  /** Whether it was sent more than once, so that one undelivered copy proves nothing. */
  resent: boolean
}

/** The table of dispatched tasks of one entry. */
export interface InFlight {
  add: (task: WaitingTask, agent: AgentIdentity) => void
  find: (submission: string, index: number) => InFlightTask | undefined
  /** Takes a task out; undefined where it is not there. */
  remove: (submission: string, index: number) => InFlightTask | undefined
  /** Takes out all tasks that fit; for rare events, as it looks at all. */
  removeWhere: (fits: (inFlight: InFlightTask) => boolean) => readonly InFlightTask[]
  size: () => number
  /** Number of tasks at an agent; looks at all tasks. */
  countAt: (agent: AgentIdentity) => number
}

/** Makes an empty table. */
export function createInFlight (): InFlight {
  const submissions = new Map<string, Map<number, InFlightTask>>()
  let count = 0

  function remove (submission: string, index: number): InFlightTask | undefined {
    const tasks = submissions.get(submission)
    const found = tasks?.get(index)
    if (tasks === undefined || found === undefined) return undefined
    tasks.delete(index)
    count -= 1
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
      if (!tasks.has(task.index)) count += 1
      tasks.set(task.index, { task, agent, resent: false })
    },
    remove,
    removeWhere (fits) {
      const removed: InFlightTask[] = []
      for (const tasks of [...submissions.values()]) {
        for (const inFlight of [...tasks.values()]) {
          if (!fits(inFlight)) continue
          remove(inFlight.task.submission, inFlight.task.index)
          removed.push(inFlight)
        }
      }
      return removed
    },
    size: () => count,
    countAt (agent) {
      let found = 0
      for (const tasks of submissions.values()) {
        for (const inFlight of tasks.values()) {
          if (inFlight.agent === agent) found += 1
        }
      }
      return found
    }
  }
}
