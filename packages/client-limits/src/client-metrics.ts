/** StatsD metrics and log lines of the clients of a process. */
import type { ClientReadings, LogFields, Logger, Metrics } from '@baobabpost/common'

/** Logs the closings of a server that one line tells, and adds them to the metric of that server and reason. */
export function reportClosings (logger: Logger, metrics: Metrics, closings: LogFields): void {
  logger.warn('clients closed', closings)
  const { server, reason, clients } = closings
  metrics.count('clients.closed.count', Number(clients), `${String(server)}-${String(reason)}`)
}

/** Sends what the clients make the process hold. */
export function reportReadings (metrics: Metrics, { connections, bytes }: ClientReadings): void {
  metrics.gauge('clients.connections.count', connections)
  metrics.gauge('clients.held.bytes', bytes)
}
