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
export function chargeOf (task: WaitingTask): number {
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
  head: number
  /** Earliest time at which a task of the group must be taken out; the order in the heap of limits. */
  limit: number
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
    head: 0,
    limit: Infinity,
    position: -1,
    previous: undefined,
    next: undefined
  }
}

/** Number of waiting tasks of a group. */
export function groupLength (group: TaskGroup): number {
  return group.tasks.length - group.head
}

/** Takes the tasks that are selected out of a group, and keeps the others in order. */
export function extractTasks (group: TaskGroup, selected: (task: WaitingTask) => boolean): WaitingTask[] {
  const taken: WaitingTask[] = []
  const kept: WaitingTask[] = []
  for (let position = group.head; position < group.tasks.length; position += 1) {
    const task = group.tasks[position]!
    if (selected(task)) taken.push(task)
    else kept.push(task)
  }
  group.tasks = kept
  group.head = 0
  return taken
}
