/** The two lanes of a service. Urgent tasks are served first, apart from a bounded share of slot time for jobs. */
import type { Lane } from './admission-queue.js'
import { createServiceRate, type ServiceRate } from './service-rate.js'
import { chargeMillisecondsOf, type TaskGroup } from './task-group.js'
import { createWaitingLane, type ShareTable, type WaitingLane } from './waiting-lane.js'
import type { WaitingTask } from './waiting-task.js'

export interface ServiceLanes {
  readonly lanes: Readonly<Record<Lane, WaitingLane>>
  /** Service rate of each lane, without the slot time that the other lane uses. */
  readonly rates: Readonly<Record<Lane, ServiceRate>>
  /** Group whose task is next, in the given lane or in either. */
  first: (lane?: Lane) => TaskGroup | undefined
  /** Charges a task, about to be removed, to its lane, team and customer. */
  charge: (group: TaskGroup, task: WaitingTask) => void
  /** Reverses the charge of a task that is returned to the queue. */
  refund: (group: TaskGroup, task: WaitingTask) => void
  length: () => number
  /** Updates the observed rates of both lanes. */
  updateRates: (now: number) => void
  /**
   * Upper bound on the time until additional work of the task's team, customer and lane is served, or undefined where
   * no rate is known.
   */
  waitMilliseconds: (task: WaitingTask, workMilliseconds: number) => number | undefined
}

/**
 * Creates the empty lanes of a service.
 *
 * @param jobShare - Share of slot time that jobs get while urgent tasks wait too, from 0 to 1.
 */
export function createServiceLanes (shares: ShareTable, jobShare: number): ServiceLanes {
  const lanes = { urgent: createWaitingLane(shares), jobs: createWaitingLane(shares) }
  const rates = { urgent: createServiceRate(), jobs: createServiceRate() }
  const creditPerUrgentCost = jobShare / (1 - jobShare)
  // Slot time that jobs may use ahead of waiting urgent tasks.
  let jobCreditMilliseconds = 0

  function nextLane (): WaitingLane {
    if (lanes.urgent.length() === 0) return lanes.jobs
    const job = lanes.jobs.first()
    if (job === undefined) return lanes.urgent
    return jobCreditMilliseconds >= chargeMillisecondsOf(job.tasks[job.start]!) ? lanes.jobs : lanes.urgent
  }

  function updateJobCredit (group: TaskGroup, costMilliseconds: number): void {
    if (group.lane === 'urgent') {
      jobCreditMilliseconds = lanes.jobs.length() === 0
        ? 0
        : jobCreditMilliseconds + costMilliseconds * creditPerUrgentCost
    } else {
      jobCreditMilliseconds = Math.max(0, jobCreditMilliseconds - costMilliseconds)
    }
  }

  return {
    lanes,
    rates,
    first: lane => (lane === undefined ? nextLane() : lanes[lane]).first(),
    charge: (group, task) => {
      const costMilliseconds = chargeMillisecondsOf(task)
      lanes[group.lane].charge(group, costMilliseconds)
      updateJobCredit(group, costMilliseconds)
      rates[group.lane].recordCost(costMilliseconds)
    },
    refund: (group, task) => {
      const costMilliseconds = chargeMillisecondsOf(task)
      lanes[group.lane].charge(group, -costMilliseconds)
      rates[group.lane].recordCost(-costMilliseconds)
      if (group.lane === 'urgent') jobCreditMilliseconds = Math.max(0, jobCreditMilliseconds - costMilliseconds * creditPerUrgentCost)
      else if (lanes.urgent.length() > 0) jobCreditMilliseconds += costMilliseconds
    },
    length: () => lanes.urgent.length() + lanes.jobs.length(),
    updateRates: now => {
      rates.urgent.update(lanes.urgent.length() > 0, now)
      rates.jobs.update(lanes.jobs.length() > 0, now)
    },
    waitMilliseconds: (task, workMilliseconds) => {
      const lane = task.urgent ? 'urgent' : 'jobs'
      const rate = rates[lane].rate()
      return rate === undefined
        ? undefined
        : lanes[lane].workUntilDoneMilliseconds(task.team, task.customer, workMilliseconds) / rate
    }
  }
}
