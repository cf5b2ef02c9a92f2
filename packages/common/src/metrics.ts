/** Metrics, sent as StatsD datagrams. Each name ends with its unit; `docs/METRICS.md` lists them. */
import { StatsD } from 'hot-shots'

/** Closed list of the metrics with type and meaning. */
export const METRICS = {
  'tasks.started.count': { type: 'counter', about: 'Tasks started at the upstream by this agent' },
  'tasks.finished.count': { type: 'counter', about: 'Tasks whose outcome reached this entry' },
  'tasks.refused.count': { type: 'counter', about: 'Tasks that this agent refused to start' },
  'submissions.accepted.count': { type: 'counter', about: 'Submissions accepted by this owner' },
  'submissions.joined.count': { type: 'counter', about: 'Resubmissions that joined a known submission' },
  'submissions.answered.count': { type: 'counter', about: 'Submissions whose complete answer was given' },
  'requests.answered.count': { type: 'counter', about: 'Single requests answered' },
  'requests.retried.count': { type: 'counter', about: 'Retries and hedged sends of single requests' },
  'errors.count': { type: 'counter', about: 'Errors answered to callers; tagged with the kind' },
  'queue.length.tasks': { type: 'gauge', about: 'Tasks waiting at this entry' },
  'agents.active.count': { type: 'gauge', about: 'Agents that this entry may dispatch to' },
  'agents.ejected.count': { type: 'gauge', about: 'Agents ejected by this entry' },
  'partitions.owned.count': { type: 'gauge', about: 'Partitions owned by this entry' },
  'response.milliseconds': { type: 'timing', about: 'Time from the arrival of a call to its answer' },
  'link.messages.count': { type: 'counter', about: 'Messages sent over links; tagged with the method' },
  'link.bytes.count': { type: 'counter', about: 'Bytes sent over links' },
  'log.behind.records': { type: 'gauge', about: 'Records of the platform log not yet applied' },
  'log.outage.milliseconds': { type: 'gauge', about: 'Time since the platform log last answered' },
  'configuration.version.offset': { type: 'gauge', about: 'Log offset up to which configuration is applied' },
  'configuration.bad-record.count': { type: 'counter', about: 'Log records skipped because they do not decode' },
  'invariants.violated.count': { type: 'counter', about: 'Violations of asserted invariants; tagged with the name' },
  'clients.connections.count': { type: 'gauge', about: 'Connections of clients to all servers of the process' },
  'clients.held.bytes': { type: 'gauge', about: 'Bytes that clients are charged for: those of requests that are read or wait, and a flat charge for each connection' },
  'clients.closed.count': { type: 'counter', about: 'Clients that were refused or closed to keep to a limit; tagged with the server and the reason' },
  'loop.lag.milliseconds': { type: 'timing', about: 'Delay of the event loop' }
} as const satisfies Record<string, { type: 'counter' | 'gauge' | 'timing', about: string }>

export type MetricName = keyof typeof METRICS

/** Client that sends metrics. */
export interface Metrics {
  /** Adds `amount`, 1 by default, to a counter; `tag` is sent as the tag `of`. */
  count: (name: MetricName, amount?: number, tag?: string) => void
  gauge: (name: MetricName, value: number) => void
  timing: (name: MetricName, milliseconds: number) => void
  close: () => void
}

/** Address of the StatsD collector, and tags. */
export interface MetricsOptions {
  /** Host of the StatsD collector; without it nothing is sent. */
  readonly host?: string
  readonly port?: number
  /** Role of the process; every metric carries it as a tag. */
  readonly role: 'entry' | 'agent'
}

/** Client that sends nothing. */
export const silentMetrics: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
  close: () => {}
}

/**
 * Creates a client that sends metrics. If the collector does not answer, datagrams are lost without an error.
 *
 * @example
 * const metrics = createMetrics({ host: '127.0.0.1', port: 8125, role: 'entry' })
 * metrics.count('errors.count', 1, 'not-run')
 */
export function createMetrics (options: MetricsOptions): Metrics {
  if (options.host === undefined) return silentMetrics
  const client = new StatsD({
    host: options.host,
    port: options.port ?? 8125,
    prefix: 'baobabpost.',
    globalTags: { role: options.role },
    cacheDns: true,
    maxBufferSize: 1400,
    errorHandler: () => {}
  })
  return {
    count: (name, amount = 1, tag) => { client.increment(name, amount, tag === undefined ? [] : [`of:${tag}`]) },
    gauge: (name, value) => { client.gauge(name, value) },
    timing: (name, milliseconds) => { client.timing(name, milliseconds) },
    close: () => { client.close(() => {}) }
  }
}
