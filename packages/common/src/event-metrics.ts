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
  baobabpost_refused_upstream_seconds: { type: 'histogram', about: 'Time for which runs at an upstream that refused connections waited until it was proven that they had ended or go on, by outcome' },
  baobabpost_open: { type: 'gauge', about: 'Jobs without an answer at an entry; runs that run, wait or may yet start at an agent' },
  baobabpost_offered_share: { type: 'gauge', about: 'Share of its upstream’s capacity that an agent offers for new runs, 0 to 1; below 1 while the upstream is cold' },
  baobabpost_evacuated_domains: { type: 'gauge', about: 'Number of failure domains that the process knows to be evacuated; absent while it knows no position of the operators’ log' },
  baobabpost_evacuations_position: { type: 'gauge', about: 'Position of the operators’ log up to which the process knows the evacuations' },
  baobabpost_evacuations_age_seconds: { type: 'gauge', about: 'Time since the store, or a process that knows at least as much, last confirmed this knowledge' },
  baobabpost_evacuation_returned_runs_total: { type: 'counter', about: 'Waiting runs that an agent gave back to their entries because its failure domain was evacuated' },
  baobabpost_entries_skipped_total: { type: 'counter', about: 'Entries of lists that could not be decoded and were skipped, by list' },
  baobabpost_client_connections: { type: 'gauge', about: 'Connections of clients to all servers of the process' },
  baobabpost_client_connections_limit: { type: 'gauge', about: 'Largest number of such connections' },
  baobabpost_client_bytes: { type: 'gauge', about: 'Bytes that clients are charged for: those of requests that are read or wait, and a flat charge for each connection' },
  baobabpost_client_bytes_limit: { type: 'gauge', about: 'Largest number of such bytes' },
  baobabpost_clients_closed_total: { type: 'counter', about: 'Clients that were refused or closed to keep to a limit, by server and reason' },
  baobabpost_log_lines_dropped: { type: 'gauge', about: 'Log lines dropped since the start' }
} as const

/** Prometheus metrics of a process. */
export interface EventMetrics {
  /** Counts an event, and records its duration if it has the field `milliseconds`. */
  observe: (event: LogEvent, fields: LogFields | undefined) => void
  /** Returns all metrics in the Prometheus text format. */
  toPrometheusText: () => Promise<string>
}

type NameOf<Type extends string> = {
  [Name in keyof typeof EVENT_METRICS]: (typeof EVENT_METRICS)[Name]['type'] extends Type ? Name : never
}[keyof typeof EVENT_METRICS]
type GaugeName = NameOf<'gauge'>
type HistogramName = NameOf<'histogram'>

/** What a process knows of evacuated failure domains. */
export interface EvacuationReadings {
  /** Number of evacuated failure domains. */
  readonly domainCount: number
  /** Position of the operators' log up to which they are known. */
  readonly position: number
  /** Time since this knowledge was last confirmed. */
  readonly ageMilliseconds: number
}

/** What the clients of a process make it hold, and what they may. */
export interface ClientReadings {
  readonly connections: number
  readonly bytes: number
  readonly maximumConnections: number
  readonly maximumBytes: number
}

/** Functions that return the values of the gauges at each scrape. */
export interface EventMetricsOptions {
  /** Number of open jobs of an entry, or of open runs of an agent. */
  readonly countOpen: () => number
  /** Share of the upstream's capacity that is offered for new runs; absent at an entry. */
  readonly offeredShare?: () => number
  /** What is known of evacuated failure domains, or undefined; absent where evacuations are not enabled. */
  readonly evacuations?: () => EvacuationReadings | undefined
  /** What clients make the process hold; absent where no server has limits. */
  readonly clients?: () => ClientReadings
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
  const refusedUpstreams = createHistogram('baobabpost_refused_upstream_seconds')
  const returnedRuns = new Counter({
    name: 'baobabpost_evacuation_returned_runs_total',
    help: EVENT_METRICS.baobabpost_evacuation_returned_runs_total.about,
    registers: [...registries]
  })
  const skippedEntries = new Counter({
    name: 'baobabpost_entries_skipped_total',
    help: EVENT_METRICS.baobabpost_entries_skipped_total.about,
    labelNames: ['list'],
    registers: [...registries]
  })
  const closedClients = new Counter({
    name: 'baobabpost_clients_closed_total',
    help: EVENT_METRICS.baobabpost_clients_closed_total.about,
    labelNames: ['server', 'reason'],
    registers: [...registries]
  })
  createGauge('baobabpost_open', options.countOpen)
  if (options.clients !== undefined) createClientGauges(options.clients)
  if (options.offeredShare !== undefined) createGauge('baobabpost_offered_share', options.offeredShare)
  if (options.evacuations !== undefined) createEvacuationGauges(options.evacuations)
  createGauge('baobabpost_log_lines_dropped', options.countDroppedLines)

  function createHistogram (name: HistogramName): Histogram<'outcome'> {
    return new Histogram({
      name, help: EVENT_METRICS[name].about, labelNames: ['outcome'], buckets: BUCKET_BOUNDS_SECONDS, registers: [...registries]
    })
  }

  /** Creates a gauge, which has no value while `read` returns undefined. */
  function createGauge (name: GaugeName, read: () => number | undefined): void {
    const gauge = new Gauge({
      name,
      help: EVENT_METRICS[name].about,
      registers: [...registries],
      collect: () => {
        const value = read()
        if (value === undefined) gauge.remove()
        else gauge.set(value)
      }
    })
  }

  function createEvacuationGauges (read: () => EvacuationReadings | undefined): void {
    createGauge('baobabpost_evacuated_domains', () => read()?.domainCount)
    createGauge('baobabpost_evacuations_position', () => read()?.position)
    createGauge('baobabpost_evacuations_age_seconds', () => {
      const readings = read()
      return readings === undefined ? undefined : readings.ageMilliseconds / 1_000
    })
  }

  function createClientGauges (read: () => ClientReadings): void {
    createGauge('baobabpost_client_connections', () => read().connections)
    createGauge('baobabpost_client_connections_limit', () => read().maximumConnections)
    createGauge('baobabpost_client_bytes', () => read().bytes)
    createGauge('baobabpost_client_bytes_limit', () => read().maximumBytes)
  }

  /** Counts what a line says happened several times. */
  function countAmounts (event: LogEvent, fields: LogFields): void {
    const returned = fields['returned']
    if (event === 'evacuations changed' && typeof returned === 'number') returnedRuns.inc(returned)
    const skipped = fields['skipped']
    if (typeof skipped === 'number') skippedEntries.inc({ list: String(fields['list'] ?? '') }, skipped)
    const clients = fields['clients']
    if (event !== 'clients closed' || typeof clients !== 'number') return
    closedClients.inc({ server: String(fields['server']), reason: String(fields['reason']) }, clients)
  }

  return {
    observe: (event, fields) => {
      const outcome = String(fields?.['outcome'] ?? '')
      events.inc({ event, outcome })
      if (fields !== undefined) countAmounts(event, fields)
      const milliseconds = fields?.['milliseconds']
      if (typeof milliseconds !== 'number') return
      if (event === 'job answered') responses.observe({ outcome }, milliseconds / 1_000)
      if (event === 'run ended') runs.observe({ outcome }, milliseconds / 1_000)
      const isRefusalOver = event === 'upstream life ended' || event === 'upstream answers again'
      if (isRefusalOver && Number(fields?.['runs']) > 0) refusedUpstreams.observe({ outcome }, milliseconds / 1_000)
    },
    toPrometheusText: () => registries[0].metrics()
  }
}
