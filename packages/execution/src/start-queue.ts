/** Tasks that wait for a slot: urgent ones first, then in the order of arrival. */
import type { TaskState } from './task-state.js'

/** The waiting tasks of an agent. A task that is no longer `queued` is passed over. */
export interface StartQueue {
  push: (task: TaskState, urgent: boolean) => void
  /** Takes out the first task, or the first urgent one where jobs may not start. */
  next: (jobsToo: boolean) => TaskState | undefined
  /** Takes out all tasks for which the condition holds. */
  takeWhere: (condition: (task: TaskState) => boolean) => readonly TaskState[]
}

const COMPACTION_LENGTH = 256

function createLine () {
  let tasks: TaskState[] = []
  let head = 0
  return {
    push (task: TaskState): void { tasks.push(task) },
    next (): TaskState | undefined {
      while (head < tasks.length) {
        const task = tasks[head]
        head += 1
        if (head >= COMPACTION_LENGTH) {
          tasks = tasks.slice(head)
          head = 0
        }
        if (task?.state === 'queued') return task
      }
      tasks = []
      head = 0
      return undefined
    },
    takeWhere (condition: (task: TaskState) => boolean): TaskState[] {
      const waiting = tasks.slice(head).filter(task => task.state === 'queued')
      tasks = waiting.filter(task => !condition(task))
      head = 0
      return waiting.filter(condition)
    }
  }
}

/**
 * Makes the queue of an agent.
 *
 * @example
 * queue.push(task, true)
 */
export function createStartQueue (): StartQueue {
  const urgentTasks = createLine()
  const otherTasks = createLine()
  return {
    push (task, urgent) {
      if (urgent) urgentTasks.push(task)
      else otherTasks.push(task)
    },
    next: jobsToo => urgentTasks.next() ?? (jobsToo ? otherTasks.next() : undefined),
    takeWhere: condition => [...urgentTasks.takeWhere(condition), ...otherTasks.takeWhere(condition)]
  }
}
