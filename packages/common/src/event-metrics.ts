/** Prometheus metrics of the job path, counted from its log events. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { LogEvent } from './log-events.js'
import type { LogFields } from './logger.js'

/** Bucket bounds of the histograms: from a tenth of the shortest task to the longest deadline. */
const BUCKET_BOUNDS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10]

/** Closed list of the metrics with type and meaning; `docs/METRICS.md` lists them. */
export const EVENT_METRICS = {
  baobabpost_events_total: { type: 'counter', about: 'Events of the log, by event and outcome; lines that were dropped are counted too' },
  baobabpost_job_response_seconds: { type: 'histogram', about: 'Time from the arrival of a job to its final answer, by outcome' },
  baobabpost_run_seconds: { type: 'histogram', about: 'Time from the order to the end of a run, by outcome' },
  baobabpost_open: { type: 'gauge', about: 'Jobs without an answer at an entry; runs that run, wait or may yet start at an agent' },
  baobabpost_log_lines_dropped: { type: 'gauge', about: 'Log lines dropped since the start' }
} as const

/** Prometheus metrics of a process. */
export interface EventMetrics {
  /** Counts an event, and records its duration if it has the field `milliseconds`. */
  observe: (event: LogEvent, fields: LogFields | undefined) => void
  /** Returns all metrics in the Prometheus text format. */
  toPrometheusText: () => Promise<string>
}

/** Functions that return the values of the gauges at each scrape. */
export interface EventMetricsOptions {
  /** Number of open jobs of an entry, or of open runs of an agent. */
  readonly countOpen: () => number
  /** Number of log lines dropped since the start. */
  readonly countDroppedLines: () => number
}

/**
 * Creates the Prometheus metrics of a process.
 *
 * @example
 * const metrics = createEventMetrics({ countOpen: () => agent.runCount(), countDroppedLines: () => 0 })
 * metrics.observe('run ended', { outcome: 'done', milliseconds: 86 })
 */
export function createEventMetrics (options: EventMetricsOptions): EventMetrics {
  const registries = [new Registry()] as const
  const events = new Counter({
    name: 'baobabpost_events_total',
    help: EVENT_METRICS.baobabpost_events_total.about,
    labelNames: ['event', 'outcome'],
    registers: [...registries]
  })
  const responses = createHistogram('baobabpost_job_response_seconds')
  const runs = createHistogram('baobabpost_run_seconds')
  createGauge('baobabpost_open', options.countOpen)
  createGauge('baobabpost_log_lines_dropped', options.countDroppedLines)

  function createHistogram (name: 'baobabpost_job_response_seconds' | 'baobabpost_run_seconds'): Histogram<'outcome'> {
    return new Histogram({
      name, help: EVENT_METRICS[name].about, labelNames: ['outcome'], buckets: BUCKET_BOUNDS_SECONDS, registers: [...registries]
    })
  }

  function createGauge (name: 'baobabpost_open' | 'baobabpost_log_lines_dropped', read: () => number): void {
    const gauge = new Gauge({
      name, help: EVENT_METRICS[name].about, registers: [...registries], collect: () => { gauge.set(read()) }
    })
  }

  return {
    observe: (event, fields) => {
      const outcome = String(fields?.['outcome'] ?? '')
      events.inc({ event, outcome })
      const milliseconds = fields?.['milliseconds']
      if (typeof milliseconds !== 'number') return
      if (event === 'job answered') responses.observe({ outcome }, milliseconds / 1_000)
      if (event === 'run ended') runs.observe({ outcome }, milliseconds / 1_000)
    },
    toPrometheusText: () => registries[0].metrics()
  }
}
