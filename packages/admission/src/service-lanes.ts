/** The two lanes of a service and the choice between them: urgent first, but for a bounded share of jobs. */
import type { Lane } from './admission-queue.js'
import { createServiceRate, type ServiceRate } from './service-rate.js'
import { chargeMillisecondsOf, type TaskGroup } from './task-group.js'
import { createWaitingLane, type ShareTable, type WaitingLane } from './waiting-lane.js'
import type { WaitingTask } from './waiting-task.js'

/** Lanes of one service. */
export interface ServiceLanes {
  readonly lanes: Readonly<Record<Lane, WaitingLane>>
  /** A lane's own rate, in which what the other lane takes is left out. */
  readonly rates: Readonly<Record<Lane, ServiceRate>>
  /** The group that is next, in one lane or in both. */
  first: (lane?: Lane) => TaskGroup | undefined
  /** Charges a task that was taken out. */
  charge: (group: TaskGroup, task: WaitingTask) => void
  /** Takes back the charge of a task. */
  refund: (group: TaskGroup, task: WaitingTask) => void
  length: () => number
  /** Notes the time and which lanes have waiting tasks. */
  updateRates: (now: number) => void
  /** Bound on the milliseconds until further work like the task's is served, or undefined where no rate is known. */
  waitMilliseconds: (task: WaitingTask, workMilliseconds: number) => number | undefined
}

/**
 * Makes the lanes of a service.
 *
 * @param jobShare - Share of slot time that jobs get while urgent tasks wait too, from 0 to 1.
 */
export function createServiceLanes (shares: ShareTable, jobShare: number): ServiceLanes {
  const lanes = { urgent: createWaitingLane(shares), jobs: createWaitingLane(shares) }
  const rates = { urgent: createServiceRate(), jobs: createServiceRate() }
  const creditPerUrgentCost = jobShare / (1 - jobShare)
  // Slot time that jobs may take before waiting urgent tasks, milliseconds.
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
