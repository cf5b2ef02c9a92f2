/** Figures of a run with injected time. */
import type { DecisionRunOptions, DecisionRunResult } from './decision-run.js'
import type { FinishedTask } from './model-entry.js'

/** Figures of a kind of task. */
export interface ResponseFigures {
  readonly tasks: number
  /** Response over the run time at the upstream that ran it. */
  readonly overOwnIdeal: Percentiles
  /** Response over the run time at the fastest upstream. */
  readonly overFastestIdeal: Percentiles
  readonly responseMilliseconds: Percentiles
}

/** Three points of a distribution. */
export interface Percentiles {
  readonly median: number
  readonly percentile99: number
  readonly percentile999: number
}

/** Figures of a run. */
export interface RunSummary {
  readonly urgent: ResponseFigures
  readonly jobs: ResponseFigures
  readonly failed: number
  readonly refused: number
  readonly expired: number
  /** Work done in the measured time, as a share of capacity. */
  readonly goodput: number
}

function percentilesOf (values: readonly number[]): Percentiles {
  const sorted = values.toSorted((left, right) => left - right)
  const at = (share: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
  return { median: at(0.5), percentile99: at(0.99), percentile999: at(0.999) }
}

function figuresOf (tasks: readonly FinishedTask[]): ResponseFigures {
  const responses = tasks.map(task => task.endedAt - task.arrivedAt)
  return {
    tasks: tasks.length,
    overOwnIdeal: percentilesOf(tasks.map((task, place) => responses[place]! / task.runMilliseconds)),
    overFastestIdeal: percentilesOf(tasks.map((task, place) => responses[place]! / task.item.workMilliseconds)),
    responseMilliseconds: percentilesOf(responses)
  }
}

/** Works out the figures of a run, its warm-up left out. */
export function summarize (options: DecisionRunOptions, result: DecisionRunResult): RunSummary {
  const from = result.start + options.warmUpMilliseconds
  const tasks = result.tasks.filter(task => task.arrivedAt >= from)
  const succeeded = tasks.filter(task => task.succeeded)
  let work = 0
  for (const task of result.tasks) {
    if (task.succeeded && task.endedAt >= from) work += task.item.workMilliseconds
  }
  return {
    urgent: figuresOf(succeeded.filter(task => task.item.urgent)),
    jobs: figuresOf(succeeded.filter(task => !task.item.urgent)),
    failed: tasks.length - succeeded.length,
    refused: result.refused,
    expired: result.expired,
    goodput: work / (result.capacity * (options.milliseconds - options.warmUpMilliseconds))
  }
}
