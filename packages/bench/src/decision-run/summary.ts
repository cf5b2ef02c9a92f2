/** Summary figures of a simulation run. */
import type { DecisionRunOptions, DecisionRunResult } from './decision-run.js'
import type { FinishedTask } from './model-entry.js'

/** Response times of urgent tasks or of tasks of jobs. */
export interface ResponseFigures {
  readonly tasks: number
  /** Response time divided by the run time at the upstream that ran the task. */
  readonly overOwnIdeal: Percentiles
  /** Response time divided by the run time at the fastest upstream. */
  readonly overFastestIdeal: Percentiles
  readonly responseMilliseconds: Percentiles
}

export interface Percentiles {
  readonly median: number
  readonly percentile99: number
  readonly percentile999: number
}

export interface RunSummary {
  readonly urgent: ResponseFigures
  readonly jobs: ResponseFigures
  readonly failed: number
  readonly refused: number
  readonly expired: number
  /** Work completed in the measured period, as a share of capacity. */
  readonly goodput: number
}

function calculatePercentiles (values: readonly number[]): Percentiles {
  const sorted = values.toSorted((left, right) => left - right)
  const percentile = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
  return { median: percentile(0.5), percentile99: percentile(0.99), percentile999: percentile(0.999) }
}

function summarizeTasks (tasks: readonly FinishedTask[]): ResponseFigures {
  const responses = tasks.map(task => task.endedAt - task.arrivedAt)
  return {
    tasks: tasks.length,
    overOwnIdeal: calculatePercentiles(tasks.map((task, index) => responses[index]! / task.runMilliseconds)),
    overFastestIdeal: calculatePercentiles(tasks.map((task, index) => responses[index]! / task.item.workMilliseconds)),
    responseMilliseconds: calculatePercentiles(responses)
  }
}

/** Calculates the figures of a run without its warm-up; `refused` and `expired` include the warm-up. */
export function summarize (options: DecisionRunOptions, result: DecisionRunResult): RunSummary {
  const from = result.start + options.warmUpMilliseconds
  const tasks = result.tasks.filter(task => task.arrivedAt >= from)
  const succeeded = tasks.filter(task => task.succeeded)
  let work = 0
  for (const task of result.tasks) {
    if (task.succeeded && task.endedAt >= from) work += task.item.workMilliseconds
  }
  return {
    urgent: summarizeTasks(succeeded.filter(task => task.item.urgent)),
    jobs: summarizeTasks(succeeded.filter(task => !task.item.urgent)),
    failed: tasks.length - succeeded.length,
    refused: result.refused,
    expired: result.expired,
    goodput: work / (result.capacity * (options.milliseconds - options.warmUpMilliseconds))
  }
}
