/** Admission queue of an entry: admits, orders and expires waiting tasks. */
import type { AdmissionDecision, AdmissionQueue, Lane } from './admission-queue.js'
import { createIndexedHeap } from '@baobabpost/common'
import { createQuotaTable } from './quota-table.js'
import { createServiceLanes, type ServiceLanes } from './service-lanes.js'
import { chargeMillisecondsOf, createTaskGroup, removeTasks, groupLength, type TaskGroup } from './task-group.js'
import type { WaitingTask } from './waiting-task.js'

const DEFAULT_MAXIMUM_QUEUED_TASKS = 100_000
const DEFAULT_MAXIMUM_WAIT_MILLISECONDS = 300_000
const DEFAULT_JOB_SHARE = 0.1
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 10_000

export interface AdmissionQueueOptions {
  /** Maximum number of tasks waiting at this entry. */
  readonly maximumQueuedTasks?: number
  /** Maximum time that a task waits before it expires. */
  readonly maximumWaitMilliseconds?: number
  /** Share of slot time that jobs get while urgent tasks wait too, from 0 up to but not including 1. */
  readonly jobShare?: number
}

function boundRetryAfter (milliseconds: number): number {
  const wholeMilliseconds = Math.ceil(milliseconds)
  return Math.min(Math.max(wholeMilliseconds, MINIMUM_RETRY_AFTER_MILLISECONDS), MAXIMUM_RETRY_AFTER_MILLISECONDS)
}

/**
 * Creates an empty admission queue.
 *
 * @example
 * const queue = createAdmissionQueue({ maximumQueuedTasks: 50_000 })
 * const decision = queue.offer(tasks, now)
 */
export function createAdmissionQueue (options: AdmissionQueueOptions = {}): AdmissionQueue {
  const maximumQueuedTasks = options.maximumQueuedTasks ?? DEFAULT_MAXIMUM_QUEUED_TASKS
  const maximumWaitMilliseconds = options.maximumWaitMilliseconds ?? DEFAULT_MAXIMUM_WAIT_MILLISECONDS
  const jobShare = options.jobShare ?? DEFAULT_JOB_SHARE
  const quotas = createQuotaTable()
  const lanesByService = new Map<string, ServiceLanes>()
  const groupsBySubmission = new Map<string, TaskGroup>()
  const groupsByDeadline = createIndexedHeap<TaskGroup>((left, right) => left.deadline < right.deadline)
  let waitingCount = 0
  // Tasks that `next` found past their deadline; the next call of `expire` returns them.
  let expiredInNext: WaitingTask[] = []

  function serviceLanes (service: string): ServiceLanes {
    let lanes = lanesByService.get(service)
    if (lanes === undefined) {
      lanes = createServiceLanes(quotas, jobShare)
      lanesByService.set(service, lanes)
    }
    return lanes
  }

  function deadlineOf (task: WaitingTask): number {
    return Math.min(task.startBefore, task.waitingSince + maximumWaitMilliseconds)
  }

  function lowerGroupDeadline (group: TaskGroup, tasks: readonly WaitingTask[]): void {
    let deadline = group.deadline
    for (const task of tasks) deadline = Math.min(deadline, deadlineOf(task))
    if (deadline === group.deadline) return
    group.deadline = deadline
    if (group.position < 0) groupsByDeadline.add(group)
    else groupsByDeadline.reposition(group)
  }

  function groupOf (task: WaitingTask): TaskGroup {
    let group = groupsBySubmission.get(task.submission)
    if (group === undefined) {
      group = createTaskGroup(task)
      groupsBySubmission.set(task.submission, group)
    }
    return group
  }

  /** Adds tasks of one submission. */
  function add (tasks: readonly WaitingTask[], atHead: boolean): void {
    const firstTask = tasks[0]
    if (firstTask === undefined) return
    const group = groupOf(firstTask)
    if (!atHead) group.tasks = group.tasks.concat(tasks)
    else if (group.start >= tasks.length) for (const task of tasks.toReversed()) group.tasks[--group.start] = task
    else {
      group.tasks = tasks.concat(group.tasks.slice(group.start))
      group.start = 0
    }
    waitingCount += tasks.length
    quotas.recordWaiting(firstTask, tasks.length)
    serviceLanes(firstTask.service).lanes[group.lane].recordAdded(group, tasks, atHead)
    lowerGroupDeadline(group, tasks)
  }

  /** Updates the counts, the lane and the heap of deadlines after tasks were removed from a group. */
  function recordRemoval (group: TaskGroup, tasks: readonly WaitingTask[]): void {
    waitingCount -= tasks.length
    quotas.recordWaiting(group, -tasks.length)
    serviceLanes(group.service).lanes[group.lane].recordRemoved(group, tasks)
    if (groupLength(group) > 0) return
    groupsByDeadline.remove(group)
    groupsBySubmission.delete(group.submission)
  }

  function takeHead (group: TaskGroup): WaitingTask {
    const task = group.tasks[group.start]!
    group.start += 1
    recordRemoval(group, [task])
    return task
  }

  function next (service: string, now: number, lane?: Lane): WaitingTask | undefined {
    const lanes = lanesByService.get(service)
    if (lanes === undefined) return undefined
    for (;;) {
      const group = lanes.first(lane)
      if (group === undefined) return undefined
      if (deadlineOf(group.tasks[group.start]!) <= now) {
        expiredInNext.push(takeHead(group))
        continue
      }
      lanes.charge(group, group.tasks[group.start]!)
      const task = takeHead(group)
      lanes.updateRates(now)
      return task
    }
  }

  function expireGroup (group: TaskGroup, now: number): WaitingTask[] {
    const expired = removeTasks(group, task => deadlineOf(task) <= now)
    recordRemoval(group, expired)
    if (groupLength(group) === 0) return expired
    group.deadline = Infinity
    lowerGroupDeadline(group, group.tasks)
    return expired
  }

  function refuse (
    lanes: ServiceLanes, task: WaitingTask, reason: 'overloaded' | 'quota', excessWorkMilliseconds: number
  ): AdmissionDecision {
    const rate = lanes.rates[task.urgent ? 'urgent' : 'jobs'].rate() ?? 1
    return { kind: 'refused', reason, retryAfterMilliseconds: boundRetryAfter(excessWorkMilliseconds / rate) }
  }

  function offer (tasks: readonly WaitingTask[], now: number): AdmissionDecision {
    const firstTask = tasks[0]
    if (firstTask === undefined) return { kind: 'admitted' }
    const lanes = serviceLanes(firstTask.service)
    lanes.updateRates(now)
    let workMilliseconds = 0
    for (const task of tasks) workMilliseconds += chargeMillisecondsOf(task)
    const meanChargeMilliseconds = workMilliseconds / tasks.length
    const excessTasks = waitingCount + tasks.length - maximumQueuedTasks
    if (excessTasks > 0) return refuse(lanes, firstTask, 'overloaded', excessTasks * meanChargeMilliseconds)
    if (!quotas.allows(firstTask.team, firstTask.customer, tasks.length)) return refuse(lanes, firstTask, 'quota', workMilliseconds)
    // The last task must start before the deadline, so that the wait excludes its own run.
    const waitMilliseconds = lanes.waitMilliseconds(firstTask, workMilliseconds - meanChargeMilliseconds)
    const excessMilliseconds = (waitMilliseconds ?? 0) - (deadlineOf(firstTask) - now)
    if (excessMilliseconds > 0) return { kind: 'refused', reason: 'deadline', retryAfterMilliseconds: boundRetryAfter(excessMilliseconds) }
    add(tasks, false)
    return { kind: 'admitted' }
  }

  return {
    offer,
    restore: tasks => {
      const bySubmission = new Map<string, WaitingTask[]>()
      for (const task of tasks) {
        const submissionTasks = bySubmission.get(task.submission)
        if (submissionTasks === undefined) bySubmission.set(task.submission, [task])
        else submissionTasks.push(task)
      }
      for (const submissionTasks of bySubmission.values()) add(submissionTasks, true)
    },
    next,
    putBack: task => {
      const lanes = serviceLanes(task.service)
      add([task], true)
      lanes.refund(groupOf(task), task)
    },
    withdraw: (submission, indexes) => {
      const group = groupsBySubmission.get(submission)
      if (group === undefined) return []
      const withdrawn = removeTasks(group, task => indexes === undefined || indexes.has(task.index))
      if (withdrawn.length > 0) recordRemoval(group, withdrawn)
      return withdrawn
    },
    expire: now => {
      const expired = expiredInNext
      expiredInNext = []
      for (;;) {
        const group = groupsByDeadline.first()
        if (group === undefined || group.deadline > now) return expired
        for (const task of expireGroup(group, now)) expired.push(task)
      }
    },
    services: () => {
      const names: string[] = []
      for (const [name, lanes] of lanesByService) if (lanes.length() > 0) names.push(name)
      return names
    },
    length: (service, lane) => {
      if (service === undefined) return waitingCount
      const lanes = lanesByService.get(service)
      if (lanes === undefined) return 0
      return lane === undefined ? lanes.length() : lanes.lanes[lane].length()
    },
    setCustomers: customers => {
      quotas.setCustomers(customers)
      for (const { lanes } of lanesByService.values()) for (const lane of Object.values(lanes)) lane.refreshWeights()
    },
    setTeams: teams => {
      quotas.setTeams(teams)
      for (const { lanes } of lanesByService.values()) for (const lane of Object.values(lanes)) lane.refreshWeights()
    },
    setCapacity: capacity => {
      for (const rate of Object.values(serviceLanes(capacity.service).rates)) rate.setSlots(capacity.slots)
    }
  }
}
