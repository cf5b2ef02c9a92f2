/** Seeded arrivals: urgent calls and jobs, at a share of the fleet's capacity. */
import type { Random } from '@baobabpost/common'

/** One task of the workload. */
export interface WorkItem {
  readonly template: string
  readonly urgent: boolean
  /** Run time at the fastest upstream, milliseconds. */
  readonly workMilliseconds: number
  readonly fails: boolean
}

/** Tasks that arrive together under one submission. */
export interface Arrival {
  readonly submission: string
  readonly entry: number
  readonly customer: number
  readonly items: readonly WorkItem[]
}

/** What arrives. */
export interface WorkloadOptions {
  readonly random: Random
  readonly entries: number
  readonly customers: number
  /** Work that the fleet can do, in milliseconds of the fastest upstream per millisecond. */
  readonly capacity: number
  /** Offered work as a share of the capacity. */
  readonly load: number
  /** Share of the offered work that is urgent calls. */
  readonly urgentShare: number
  readonly tasksPerJob: { readonly least: number, readonly most: number }
  /** Share of the jobs that can never run. */
  readonly failingJobs: number
}

/** A stream of arrivals. */
export interface Workload {
  /** Milliseconds until the next urgent call, or the next job. */
  gap: (kind: 'call' | 'job') => number
  next: (kind: 'call' | 'job') => Arrival
}

const CALL_MILLISECONDS = { least: 50, most: 300 }
const TASK_MILLISECONDS = { least: 50, most: 1_000 }
const LONG_TASK_MILLISECONDS = { least: 2_000, most: 5_000 }
const LONG_TASK_SHARE = 0.01
// The first numbers of the generator are extreme for small seeds.
const DISCARDED_NUMBERS = 64

interface Bounds {
  readonly least: number
  readonly most: number
}

function logUniform (random: Random, { least, most }: Bounds): number {
  return least * Math.exp(random.fraction() * Math.log(most / least))
}

function meanOfLogUniform ({ least, most }: Bounds): number {
  return (most - least) / Math.log(most / least)
}

/**
 * Makes a stream of arrivals.
 *
 * @example
 * const workload = createWorkload({ ...options, load: 0.7 })
 * const arrival = workload.next('job')
 */
export function createWorkload (options: WorkloadOptions): Workload {
  const { random } = options
  for (let number = 0; number < DISCARDED_NUMBERS; number += 1) random.fraction()
  let sequence = 0
  const meanTask = meanOfLogUniform(TASK_MILLISECONDS) * (1 - LONG_TASK_SHARE) +
    meanOfLogUniform(LONG_TASK_MILLISECONDS) * LONG_TASK_SHARE
  const offered = options.capacity * options.load
  const callGap = meanOfLogUniform(CALL_MILLISECONDS) / (offered * options.urgentShare)
  const jobWork = meanOfLogUniform(options.tasksPerJob) * meanTask
  const jobGap = jobWork / (offered * (1 - options.urgentShare))

  function createCall (): WorkItem {
    return {
      template: 'checkout',
      urgent: true,
      workMilliseconds: logUniform(random, CALL_MILLISECONDS),
      fails: false
    }
  }

  function createTask (fails: boolean): WorkItem {
    const bounds = random.fraction() < LONG_TASK_SHARE ? LONG_TASK_MILLISECONDS : TASK_MILLISECONDS
    const template = fails ? 'impossible' : 'statement'
    return { template, urgent: false, workMilliseconds: logUniform(random, bounds), fails }
  }

  return {
    gap: kind => -Math.log(1 - random.fraction()) * (kind === 'call' ? callGap : jobGap),
    next: kind => {
      const size = kind === 'call' ? 1 : Math.round(logUniform(random, options.tasksPerJob))
      const fails = kind === 'job' && random.fraction() < options.failingJobs
      const items = Array.from({ length: size }, () => kind === 'call' ? createCall() : createTask(fails))
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
