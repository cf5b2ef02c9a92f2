/** Generates seeded arrivals of urgent calls and jobs, at a share of the fleet's capacity. */
import type { Random } from '@baobabpost/common'

export interface WorkItem {
  readonly template: string
  readonly urgent: boolean
  /** Run time at the fastest upstream, in milliseconds. */
  readonly workMilliseconds: number
  /** Whether the task fails at every upstream. */
  readonly isFailing: boolean
}

/** Tasks that arrive together in one submission. */
export interface Arrival {
  readonly submission: string
  readonly entry: number
  readonly customer: number
  readonly items: readonly WorkItem[]
}

export interface WorkloadOptions {
  readonly random: Random
  readonly entries: number
  readonly customers: number
  /** Work that the fleet can do per millisecond, as milliseconds of run time at the fastest upstream. */
  readonly capacity: number
  /** Offered work as a share of the capacity. */
  readonly load: number
  /** Urgent calls as a share of the offered work. */
  readonly urgentShare: number
  readonly tasksPerJob: { readonly least: number, readonly most: number }
  /** Share of the jobs whose tasks fail at every upstream. */
  readonly failingJobShare: number
}

export interface Workload {
  /** Draws the milliseconds until the next urgent call or the next job. */
  nextGapMilliseconds: (kind: 'call' | 'job') => number
  nextArrival: (kind: 'call' | 'job') => Arrival
}

const CALL_RUN_MILLISECONDS = { least: 50, most: 300 }
const TASK_RUN_MILLISECONDS = { least: 50, most: 1_000 }
const LONG_TASK_RUN_MILLISECONDS = { least: 2_000, most: 5_000 }
const LONG_TASK_SHARE = 0.01
// For small seeds, the first numbers of the random generator are extreme.
const DISCARDED_RANDOM_NUMBERS = 64

interface Bounds {
  readonly least: number
  readonly most: number
}

function drawLogUniform (random: Random, { least, most }: Bounds): number {
  return least * Math.exp(random.fraction() * Math.log(most / least))
}

function meanOfLogUniform ({ least, most }: Bounds): number {
  return (most - least) / Math.log(most / least)
}

/**
 * Creates a generator of arrivals with exponentially distributed gaps and log-uniform run times.
 *
 * @example
 * const workload = createWorkload({ ...options, load: 0.7 })
 * const arrival = workload.nextArrival('job')
 */
export function createWorkload (options: WorkloadOptions): Workload {
  const { random } = options
  for (let number = 0; number < DISCARDED_RANDOM_NUMBERS; number += 1) random.fraction()
  let sequence = 0
  const meanTaskMilliseconds = meanOfLogUniform(TASK_RUN_MILLISECONDS) * (1 - LONG_TASK_SHARE) +
    meanOfLogUniform(LONG_TASK_RUN_MILLISECONDS) * LONG_TASK_SHARE
  const offeredWork = options.capacity * options.load
  const meanCallGapMilliseconds = meanOfLogUniform(CALL_RUN_MILLISECONDS) / (offeredWork * options.urgentShare)
  const meanJobMilliseconds = meanOfLogUniform(options.tasksPerJob) * meanTaskMilliseconds
  const meanJobGapMilliseconds = meanJobMilliseconds / (offeredWork * (1 - options.urgentShare))

  function createCall (): WorkItem {
    return {
      template: 'checkout',
      urgent: true,
      workMilliseconds: drawLogUniform(random, CALL_RUN_MILLISECONDS),
      isFailing: false
    }
  }

  function createTask (isFailing: boolean): WorkItem {
    const bounds = random.fraction() < LONG_TASK_SHARE ? LONG_TASK_RUN_MILLISECONDS : TASK_RUN_MILLISECONDS
    const template = isFailing ? 'impossible' : 'statement'
    return { template, urgent: false, workMilliseconds: drawLogUniform(random, bounds), isFailing }
  }

  return {
    nextGapMilliseconds: kind => -Math.log(1 - random.fraction()) * (kind === 'call' ? meanCallGapMilliseconds : meanJobGapMilliseconds),
    nextArrival: kind => {
      const taskCount = kind === 'call' ? 1 : Math.round(drawLogUniform(random, options.tasksPerJob))
      const isFailing = kind === 'job' && random.fraction() < options.failingJobShare
      const items = Array.from({ length: taskCount }, () => kind === 'call' ? createCall() : createTask(isFailing))
      sequence += 1
      return {
        submission: `${kind}-${sequence}`,
        entry: random.below(options.entries),
        customer: random.below(options.customers),
        items
      }
    }
  }
}
