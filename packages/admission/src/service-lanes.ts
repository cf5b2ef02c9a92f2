/** The two lanes of a service and the choice between them: urgent first, but for a bounded share of jobs. */
import type { Lane } from './admission-queue.js'
import { createServiceRate, type ServiceRate } from './service-rate.js'
import { chargeOf, type TaskGroup } from './task-group.js'
import { createWaitingLane, type ShareTable, type WaitingLane } from './waiting-lane.js'
import type { WaitingTask } from './waiting-task.js'

/** Lanes of one service. */
export interface ServiceLanes {
  readonly lanes: Readonly<Record<Lane, WaitingLane>>
  readonly rate: ServiceRate
  /** The group that is next, in one lane or in both. */
  first: (lane?: Lane) => TaskGroup | undefined
  /** Charges a task that was taken out. */
  charge: (group: TaskGroup, task: WaitingTask) => void
  /** Takes back the charge of a task. */
  refund: (group: TaskGroup, task: WaitingTask) => void
  length: () => number
  /** Slot time, in milliseconds, that is served until further work of the customer is done. */
  workUntilDone: (task: WaitingTask, work: number) => number
}

/**
 * Makes the lanes of a service.
 *
 * @param jobShare - Share of slot time that jobs get while urgent tasks wait too, from 0 to 1.
 */
export function createServiceLanes (shares: ShareTable, jobShare: number): ServiceLanes {
  const lanes = { urgent: createWaitingLane(shares), jobs: createWaitingLane(shares) }
  const creditPerUrgentCost = jobShare / (1 - jobShare)
  // Slot time that jobs may take before waiting urgent tasks, milliseconds.
  let jobCredit = 0

  function nextLane (): WaitingLane {
    if (lanes.urgent.length() === 0) return lanes.jobs
    const job = lanes.jobs.first()
    if (job === undefined) return lanes.urgent
    return jobCredit >= chargeOf(job.tasks[job.head]!) ? lanes.jobs : lanes.urgent
  }

  function count (group: TaskGroup, cost: number): void {
    if (group.lane === 'urgent') {
      jobCredit = lanes.jobs.length() === 0 ? 0 : jobCredit + cost * creditPerUrgentCost
    } else {
      jobCredit = Math.max(0, jobCredit - cost)
    }
  }

  return {
    lanes,
    rate: createServiceRate(),
    first: lane => (lane === undefined ? nextLane() : lanes[lane]).first(),
    charge: (group, task) => {
      const cost = chargeOf(task)
      lanes[group.lane].charge(group, cost)
      count(group, cost)
    },
    refund: (group, task) => {
      const cost = chargeOf(task)
      lanes[group.lane].charge(group, -cost)
      if (group.lane === 'urgent') jobCredit = Math.max(0, jobCredit - cost * creditPerUrgentCost)
      else if (lanes.urgent.length() > 0) jobCredit += cost
    },
    length: () => lanes.urgent.length() + lanes.jobs.length(),
    workUntilDone: (task, work) => {
      if (task.urgent) return lanes.urgent.workUntilDone(task.team, task.customer, work) / (1 - jobShare)
      const own = lanes.jobs.workUntilDone(task.team, task.customer, work)
      return Math.min(own + lanes.urgent.work(), jobShare > 0 ? own / jobShare : Infinity)
    }
  }
}
