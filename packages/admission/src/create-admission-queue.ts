/** Builds the waiting queues of an entry. */
import type { AdmissionDecision, AdmissionQueue, Lane } from './admission-queue.js'
import { createIndexedHeap } from '@baobabpost/common'
import { createQuotaTable } from './quota-table.js'
import { createServiceLanes, type ServiceLanes } from './service-lanes.js'
import { chargeOf, createTaskGroup, extractTasks, groupLength, type TaskGroup } from './task-group.js'
import type { WaitingTask } from './waiting-task.js'

const DEFAULT_MAXIMUM_QUEUED_TASKS = 100_000
const DEFAULT_MAXIMUM_WAIT_MILLISECONDS = 300_000
const DEFAULT_JOB_SHARE = 0.1
const LEAST_RETRY_AFTER_MILLISECONDS = 100
const MOST_RETRY_AFTER_MILLISECONDS = 10_000

/** Bounds of the waiting queues. */
export interface AdmissionQueueOptions {
  /** Most tasks that may wait at this entry. */
  readonly maximumQueuedTasks?: number
  /** Longest time that a task may wait. */
  readonly maximumWaitMilliseconds?: number
  /** Share of slot time that jobs get while urgent tasks wait too, from 0 to 1 (excluded). */
  readonly jobShare?: number
}

function boundRetryAfter (milliseconds: number): number {
  const whole = Math.ceil(milliseconds)
  return Math.min(Math.max(whole, LEAST_RETRY_AFTER_MILLISECONDS), MOST_RETRY_AFTER_MILLISECONDS)
}

/**
 * Makes the waiting queues of an entry, without waiting tasks.
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
  const services = new Map<string, ServiceLanes>()
  const groups = new Map<string, TaskGroup>()
  const limits = createIndexedHeap<TaskGroup>((left, right) => left.limit < right.limit)
  let length = 0
  // Tasks that `next` met past their limit; `expire` hands them out.
  let passed: WaitingTask[] = []

  function serviceLanes (service: string): ServiceLanes {
    let lanes = services.get(service)
    if (lanes === undefined) {
      lanes = createServiceLanes(quotas, jobShare)
      services.set(service, lanes)
    }
    return lanes
  }

  function limitOf (task: WaitingTask): number {
    return Math.min(task.startBefore, task.waitingSince + maximumWaitMilliseconds)
  }

  function lowerLimit (group: TaskGroup, tasks: readonly WaitingTask[]): void {
    let limit = group.limit
    for (const task of tasks) limit = Math.min(limit, limitOf(task))
    if (limit === group.limit) return
    group.limit = limit
    if (group.position < 0) limits.add(group)
    else limits.moved(group)
  }

  function groupOf (task: WaitingTask): TaskGroup {
    let group = groups.get(task.submission)
    if (group === undefined) {
      group = createTaskGroup(task)
      groups.set(task.submission, group)
    }
    return group
  }

  /** Adds tasks of one submission. */
  function add (tasks: readonly WaitingTask[], ahead: boolean): void {
    const sample = tasks[0]
    if (sample === undefined) return
    const group = groupOf(sample)
    if (!ahead) group.tasks = group.tasks.concat(tasks)
    else if (group.head >= tasks.length) for (const task of tasks.toReversed()) group.tasks[--group.head] = task
    else {
      group.tasks = tasks.concat(group.tasks.slice(group.head))
      group.head = 0
    }
    length += tasks.length
    quotas.count(sample, tasks.length)
    serviceLanes(sample.service).lanes[group.lane].added(group, tasks, ahead)
    lowerLimit(group, tasks)
  }

  /** Notes that tasks left a group. */
  function settleRemoval (group: TaskGroup, tasks: readonly WaitingTask[]): void {
    length -= tasks.length
    quotas.count(group, -tasks.length)
    serviceLanes(group.service).lanes[group.lane].removed(group, tasks)
    if (groupLength(group) > 0) return
    limits.remove(group)
    groups.delete(group.submission)
  }

  function takeHead (group: TaskGroup): WaitingTask {
    const task = group.tasks[group.head]!
    group.head += 1
    settleRemoval(group, [task])
    return task
  }

  function next (service: string, now: number, lane?: Lane): WaitingTask | undefined {
    const lanes = services.get(service)
    if (lanes === undefined) return undefined
    for (;;) {
      const group = lanes.first(lane)
      if (group === undefined) return undefined
      if (limitOf(group.tasks[group.head]!) <= now) {
        passed.push(takeHead(group))
        continue
      }
      lanes.charge(group, group.tasks[group.head]!)
      const task = takeHead(group)
      lanes.settle(now)
      return task
    }
  }

  function expireGroup (group: TaskGroup, now: number): WaitingTask[] {
    const taken = extractTasks(group, task => limitOf(task) <= now)
    settleRemoval(group, taken)
    if (groupLength(group) === 0) return taken
    group.limit = Infinity
    lowerLimit(group, group.tasks)
    return taken
  }

  function refuse (
    lanes: ServiceLanes, sample: WaitingTask, reason: 'overloaded' | 'quota', excessWork: number
  ): AdmissionDecision {
    const rate = lanes.rates[sample.urgent ? 'urgent' : 'jobs'].rate() ?? 1
    return { kind: 'refused', reason, retryAfterMilliseconds: boundRetryAfter(excessWork / rate) }
  }

  function offer (tasks: readonly WaitingTask[], now: number): AdmissionDecision {
    const sample = tasks[0]
    if (sample === undefined) return { kind: 'admitted' }
    const lanes = serviceLanes(sample.service)
    lanes.settle(now)
    let work = 0
    for (const task of tasks) work += chargeOf(task)
    const meanCharge = work / tasks.length
    const excessTasks = length + tasks.length - maximumQueuedTasks
    if (excessTasks > 0) return refuse(lanes, sample, 'overloaded', excessTasks * meanCharge)
    if (!quotas.allows(sample.team, sample.customer, tasks.length)) return refuse(lanes, sample, 'quota', work)
    // The last task has to start in time; its own run is no wait.
    const wait = lanes.waitMilliseconds(sample, work - meanCharge)
    const excess = (wait ?? 0) - (limitOf(sample) - now)
    if (excess > 0) return { kind: 'refused', reason: 'deadline', retryAfterMilliseconds: boundRetryAfter(excess) }
    add(tasks, false)
    return { kind: 'admitted' }
  }

  return {
    offer,
    restore: tasks => {
      const bySubmission = new Map<string, WaitingTask[]>()
      for (const task of tasks) {
        const own = bySubmission.get(task.submission)
        if (own === undefined) bySubmission.set(task.submission, [task])
        else own.push(task)
      }
      for (const own of bySubmission.values()) add(own, true)
    },
    next,
    putBack: task => {
      const lanes = serviceLanes(task.service)
      add([task], true)
      lanes.refund(groupOf(task), task)
    },
    withdraw: (submission, indexes) => {
      const group = groups.get(submission)
      if (group === undefined) return []
      const taken = extractTasks(group, task => indexes === undefined || indexes.has(task.index))
      if (taken.length > 0) settleRemoval(group, taken)
      return taken
    },
    expire: now => {
      const taken = passed
      passed = []
      for (;;) {
        const group = limits.first()
        if (group === undefined || group.limit > now) return taken
        for (const task of expireGroup(group, now)) taken.push(task)
      }
    },
    services: () => {
      const names: string[] = []
      for (const [name, lanes] of services) if (lanes.length() > 0) names.push(name)
      return names
    },
    length: (service, lane) => {
      if (service === undefined) return length
      const lanes = services.get(service)
      if (lanes === undefined) return 0
      return lane === undefined ? lanes.length() : lanes.lanes[lane].length()
    },
    setCustomers: customers => {
      quotas.setCustomers(customers)
      for (const { lanes } of services.values()) for (const lane of Object.values(lanes)) lane.reweigh()
    },
    setTeams: teams => {
      quotas.setTeams(teams)
      for (const { lanes } of services.values()) for (const lane of Object.values(lanes)) lane.reweigh()
    },
    setCapacity: capacity => {
      for (const rate of Object.values(serviceLanes(capacity.service).rates)) rate.setSlots(capacity.slots)
    }
  }
}
