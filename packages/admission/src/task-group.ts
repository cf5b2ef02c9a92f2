/** Waiting tasks of one submission, in the order in which they start. */
import type { HeapItem } from '@baobabpost/common'
import type { Lane } from './admission-queue.js'
import type { WaitingTask } from './waiting-task.js'

const MINIMUM_CHARGE_MILLISECONDS = 1
const MAXIMUM_CHARGE_MILLISECONDS = 10_000

/**
 * Slot time that is charged for a task, bounded so that a wrong estimate can't starve the customer for long.
 *
 * @returns Milliseconds.
 */
export function chargeMillisecondsOf (task: WaitingTask): number {
  return Math.min(Math.max(task.expectedMilliseconds, MINIMUM_CHARGE_MILLISECONDS), MAXIMUM_CHARGE_MILLISECONDS)
}

/** Waiting tasks of one submission; `previous` and `next` link the groups of a customer in order of arrival. */
export interface TaskGroup extends HeapItem {
  readonly submission: string
  readonly customer: string
  readonly team: string
  readonly service: string
  readonly lane: Lane
  /** Waiting tasks from index `start` on; those before it were removed. */
  tasks: WaitingTask[]
  start: number
  /** Unix time in milliseconds at which the first task of the group expires; orders the heap of deadlines. */
  deadline: number
  previous: TaskGroup | undefined
  next: TaskGroup | undefined
}

/** Creates an empty group for the submission, lane and service of a task. */
export function createTaskGroup (task: WaitingTask): TaskGroup {
  return {
    submission: task.submission,
    customer: task.customer,
    team: task.team,
    service: task.service,
    lane: task.urgent ? 'urgent' : 'jobs',
    tasks: [],
    start: 0,
    deadline: Infinity,
    position: -1,
    previous: undefined,
    next: undefined
  }
}

export function groupLength (group: TaskGroup): number {
  return group.tasks.length - group.start
}

/** Removes and returns the selected tasks of a group; the others keep their order. */
export function removeTasks (group: TaskGroup, isSelected: (task: WaitingTask) => boolean): WaitingTask[] {
  const removed: WaitingTask[] = []
  const kept: WaitingTask[] = []
  for (let index = group.start; index < group.tasks.length; index += 1) {
    const task = group.tasks[index]!
    if (isSelected(task)) removed.push(task)
    else kept.push(task)
  }
  group.tasks = kept
  group.start = 0
  return removed
}
