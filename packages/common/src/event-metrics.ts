/** Counters and histograms of the job path, counted from its events, as text for a scraper. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { LogEvent } from './log-events.js'
import type { LogFields } from './logger.js'

/** Bounds of the histograms in seconds: from a tenth of the shortest task to the longest deadline. */
const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10]

/** Every metric with its type and meaning, in one closed list; `docs/METRICS.md` lists them. */
export const EVENT_METRICS = {
  baobabpost_events_total: { type: 'counter', about: 'Events of the log, by event and outcome; lines that were dropped are counted too' },
  baobabpost_job_response_seconds: { type: 'histogram', about: 'Time from the arrival of a job to its final answer, by outcome' },
  baobabpost_run_seconds: { type: 'histogram', about: 'Time from the order to the end of a run, by outcome' },
  baobabpost_open: { type: 'gauge', about: 'Jobs without an answer at an entry; runs that run, wait or may yet start at an agent' },
  baobabpost_log_lines_dropped: { type: 'gauge', about: 'Log lines dropped since the start' }
} as const

/** Metrics of a process. */
export interface EventMetrics {
  observe: (event: LogEvent, fields: LogFields | undefined) => void
  /** The text for a scraper. */
  toPrometheusText: () => Promise<string>
}

/** Where gauges are read from when they are asked for. */
export interface EventMetricsOptions {
  readonly countOpen: () => number
  readonly countDroppedLines: () => number
}

/**
 * Makes the metrics of a process.
 *
 * @example
 * const metrics = createEventMetrics({ open: () => agent.runCount(), linesDropped: () => 0 })
 * metrics.observe('run ended', { outcome: 'done', milliseconds: 86 })
 */
export function createEventMetrics (options: EventMetricsOptions): EventMetrics {
  const registers = [new Registry()] as const
  const events = new Counter({
    name: 'baobabpost_events_total',
    help: EVENT_METRICS.baobabpost_events_total.about,
    labelNames: ['event', 'outcome'],
    registers: [...registers]
  })
  const responses = createHistogram('baobabpost_job_response_seconds')
  const runs = createHistogram('baobabpost_run_seconds')
  createGauge('baobabpost_open', options.countOpen)
  createGauge('baobabpost_log_lines_dropped', options.countDroppedLines)

  function createHistogram (name: 'baobabpost_job_response_seconds' | 'baobabpost_run_seconds'): Histogram<'outcome'> {
    return new Histogram({
      name, help: EVENT_METRICS[name].about, labelNames: ['outcome'], buckets: SECONDS_BUCKETS, registers: [...registers]
    })
  }

  function createGauge (name: 'baobabpost_open' | 'baobabpost_log_lines_dropped', read: () => number): void {
    const gauge = new Gauge({
      name, help: EVENT_METRICS[name].about, registers: [...registers], collect: () => { gauge.set(read()) }
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
    toPrometheusText: () => registers[0].metrics()
  }
}
