/** The figures of one run of the bench. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LoadRecord, MeasuredTask } from './load.js'
import type { ProcessRole } from './child-process.js'

const RATIO_SCALE = 1_000
const HIGHEST_SCALED_RATIO = 1_000_000_000

/** Three points of a distribution. */
export interface Points {
  readonly median: number
  readonly percentile99: number
  readonly percentile999: number
}

/** Use of a role's processes. */
export interface RoleUse {
  readonly microsecondsPerTask: number
  /** Greatest resident memory of one process, MiB. */
  readonly peakMebibytes: number
}

/** Figures of a run. */
export interface RunFigures {
  readonly scenario: string
  readonly policy: string
  readonly tasks: number
  readonly urgentOverOwn: Points
  readonly urgentOverFastest: Points
  /** Response of a whole job over the longest task on the fastest upstream, or its work over all slots. */
  readonly jobsOverIdeal: Points
  /** Work answered as done within the time of the load, over what the fleet can do. */
  readonly goodput: number
  readonly calls: Readonly<Record<MeasuredTask['outcome'], number>>
  readonly jobs: Readonly<Record<string, number>>
  /** Messages over links for each task, heartbeats included. */
  readonly messagesPerTask: number
  readonly startsPerTask: number
  /** Tasks of submissions that started more than once. */
  readonly doubledTasks: number
  readonly invariantsViolated: number
  readonly use: Readonly<Partial<Record<ProcessRole | 'bench', RoleUse>>>
}

function createRatioHistogram (): Histogram {
  return build({ highestTrackableValue: HIGHEST_SCALED_RATIO, numberOfSignificantValueDigits: 3 })
}

/** Points of the distribution of some ratios. */
export function pointsOf (ratios: Iterable<number>): Points {
  const histogram = createRatioHistogram()
  for (const ratio of ratios) {
    histogram.recordValue(Math.min(Math.max(1, Math.round(ratio * RATIO_SCALE)), HIGHEST_SCALED_RATIO))
  }
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / RATIO_SCALE
  return { median: at(50), percentile99: at(99), percentile999: at(99.9) }
}

/** Figures that the records of a load give. */
export type LoadFigures = Pick<
  RunFigures, 'urgentOverOwn' | 'urgentOverFastest' | 'jobsOverIdeal' | 'goodput' | 'calls' | 'jobs'
>

/** The time and the capacity that a load ran with. */
export interface LoadBounds {
  /** Unix times in milliseconds. */
  readonly from: number
  readonly to: number
  /** Milliseconds of the fastest upstream per millisecond. */
  readonly capacity: number
}

/** Works out the figures of a load. */
export function figuresOf (record: LoadRecord, bounds: LoadBounds): LoadFigures {
  const succeeded = record.calls.filter(call => call.outcome === 'succeeded')
  const complete = record.jobs.filter(job => job.state === 'complete')
  const calls = { succeeded: 0, failed: 0, 'not-run': 0, 'outcome-unknown': 0, broken: 0 }
  for (const { outcome } of record.calls) calls[outcome] += 1
  const jobs: Record<string, number> = {}
  for (const { state } of record.jobs) jobs[state] = (jobs[state] ?? 0) + 1
  let work = 0
  for (const { at, milliseconds } of record.doneWork) if (at <= bounds.to) work += milliseconds
  return {
    urgentOverOwn: pointsOf(succeeded.map(call => call.responseMilliseconds / call.ownMilliseconds)),
    urgentOverFastest: pointsOf(succeeded.map(call => call.responseMilliseconds / call.fastestMilliseconds)),
    jobsOverIdeal: pointsOf(complete.map(job => job.responseMilliseconds / job.idealMilliseconds)),
    goodput: work / (bounds.capacity * (bounds.to - bounds.from)),
    calls,
    jobs
  }
}
