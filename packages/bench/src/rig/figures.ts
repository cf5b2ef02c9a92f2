/** Calculates the figures of one run of the bench. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LoadRecord, MeasuredCall } from './load-generator.js'
import type { ProcessRole } from './child-process.js'

const RATIO_SCALE = 1_000
const HIGHEST_SCALED_RATIO = 1_000_000_000

export interface Percentiles {
  readonly median: number
  readonly percentile99: number
  readonly percentile999: number
}

/** Processor time and memory used by the processes of a role. */
export interface RoleUse {
  readonly microsecondsPerTask: number
  /** Highest peak resident memory of any process of the role, in MiB. */
  readonly peakMebibytes: number
}

/** Figures of a run; the field names are the keys of the JSON file. */
export interface RunFigures {
  readonly scenario: string
  readonly policy: string
  readonly tasks: number
  readonly urgentOverOwn: Percentiles
  readonly urgentOverFastest: Percentiles
  /** Response time of a job divided by its ideal time. */
  readonly jobsOverIdeal: Percentiles
  /** Work reported as succeeded within the measured period, as a share of the fleet's capacity. */
  readonly goodput: number
  readonly calls: Readonly<Record<MeasuredCall['outcome'], number>>
  readonly jobs: Readonly<Record<string, number>>
  /** Link messages per task, including heartbeats. */
  readonly messagesPerTask: number
  readonly startsPerTask: number
  /** Number of tasks of submissions that were started more than once. */
  readonly doubledTasks: number
  readonly invariantsViolated: number
  readonly use: Readonly<Partial<Record<ProcessRole | 'bench', RoleUse>>>
}

function createRatioHistogram (): Histogram {
  return build({ highestTrackableValue: HIGHEST_SCALED_RATIO, numberOfSignificantValueDigits: 3 })
}

/** Returns percentiles of ratios, with three significant digits. */
export function calculatePercentiles (ratios: Iterable<number>): Percentiles {
  const histogram = createRatioHistogram()
  for (const ratio of ratios) {
    histogram.recordValue(Math.min(Math.max(1, Math.round(ratio * RATIO_SCALE)), HIGHEST_SCALED_RATIO))
  }
  const percentileOf = (percentile: number): number => histogram.getValueAtPercentile(percentile) / RATIO_SCALE
  return { median: percentileOf(50), percentile99: percentileOf(99), percentile999: percentileOf(99.9) }
}

/** Figures that are calculated from the load record alone. */
export type LoadFigures = Pick<
  RunFigures, 'urgentOverOwn' | 'urgentOverFastest' | 'jobsOverIdeal' | 'goodput' | 'calls' | 'jobs'
>

/** The measured period and the capacity of the fleet. */
export interface MeasurementPeriod {
  /** Unix time of the start, in milliseconds. */
  readonly from: number
  /** Unix time of the end, in milliseconds. */
  readonly to: number
  /** Work that the fleet can do per millisecond, as milliseconds of run time at the fastest upstream. */
  readonly capacity: number
}

export function calculateFigures (record: LoadRecord, period: MeasurementPeriod): LoadFigures {
  const succeeded = record.calls.filter(call => call.outcome === 'succeeded')
  const complete = record.jobs.filter(job => job.state === 'complete')
  const calls = { succeeded: 0, failed: 0, 'not-run': 0, 'outcome-unknown': 0, broken: 0 }
  for (const { outcome } of record.calls) calls[outcome] += 1
  const jobs: Record<string, number> = {}
  for (const { state } of record.jobs) jobs[state] = (jobs[state] ?? 0) + 1
  let work = 0
  for (const { at, milliseconds } of record.completedWork) if (at <= period.to) work += milliseconds
  return {
    urgentOverOwn: calculatePercentiles(succeeded.map(call => call.responseMilliseconds / call.ownMilliseconds)),
    urgentOverFastest: calculatePercentiles(
      succeeded.map(call => call.responseMilliseconds / call.fastestMilliseconds)
    ),
    jobsOverIdeal: calculatePercentiles(complete.map(job => job.responseMilliseconds / job.idealMilliseconds)),
    goodput: work / (period.capacity * (period.to - period.from)),
    calls,
    jobs
  }
}
