/** The waiting tasks of one submission, in the order in which they start. */
import type { HeapItem } from '@baobabpost/common'
import type { Lane } from './admission-queue.js'
import type { WaitingTask } from './waiting-task.js'

const MINIMUM_CHARGE_MILLISECONDS = 1
const MAXIMUM_CHARGE_MILLISECONDS = 10_000

/**
 * Slot time that a task is charged with; bounded, so that a wrong declaration can't starve its customer for long.
 *
 * @returns Milliseconds.
 */
export function chargeMillisecondsOf (task: WaitingTask): number {
  return Math.min(Math.max(task.expectedMilliseconds, MINIMUM_CHARGE_MILLISECONDS), MAXIMUM_CHARGE_MILLISECONDS)
}

/** Tasks of one submission; neighbours link the groups of a customer in order. */
export interface TaskGroup extends HeapItem {
  readonly submission: string
  readonly customer: string
  readonly team: string
  readonly service: string
  readonly lane: Lane
  /** Waiting tasks from `head` on. */
  tasks: WaitingTask[]
  start: number
  /** Earliest time at which a task of the group must be taken out; the order in the heap of limits. */
  deadline: number
  previous: TaskGroup | undefined
  next: TaskGroup | undefined
}

/** Makes an empty group for tasks like the given one. */
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

/** Number of waiting tasks of a group. */
export function groupLength (group: TaskGroup): number {
  return group.tasks.length - group.start
}

/** Takes the tasks that are selected out of a group, and keeps the others in order. */
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
