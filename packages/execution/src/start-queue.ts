/** Queue of the tasks that wait for a slot: urgent tasks first, each kind in the order of arrival. */
import type { TaskState } from './task-state.js'

/** Queued tasks of an agent. Tasks whose state is no longer `queued` are skipped. */
export interface StartQueue {
  push: (task: TaskState, urgent: boolean) => void
  /** Removes and returns the first task; only an urgent task if jobs may not start. */
  takeNext: (mayStartJobs: boolean) => TaskState | undefined
  /** Removes and returns all tasks that match the predicate. */
  removeWhere: (predicate: (task: TaskState) => boolean) => readonly TaskState[]
}

const COMPACTION_LENGTH = 256

function createFifo () {
  let tasks: TaskState[] = []
  let head = 0
  return {
    push (task: TaskState): void { tasks.push(task) },
    takeNext (): TaskState | undefined {
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
    removeWhere (predicate: (task: TaskState) => boolean): TaskState[] {
      const waiting = tasks.slice(head).filter(task => task.state === 'queued')
      tasks = waiting.filter(task => !predicate(task))
      head = 0
      return waiting.filter(predicate)
    }
  }
}

/**
 * @example
 * queue.push(task, true)
 */
export function createStartQueue (): StartQueue {
  const urgentTasks = createFifo()
  const otherTasks = createFifo()
  return {
    push (task, urgent) {
      if (urgent) urgentTasks.push(task)
      else otherTasks.push(task)
    },
    takeNext: mayStartJobs => urgentTasks.takeNext() ?? (mayStartJobs ? otherTasks.takeNext() : undefined),
    removeWhere: predicate => [...urgentTasks.removeWhere(predicate), ...otherTasks.removeWhere(predicate)]
  }
}
