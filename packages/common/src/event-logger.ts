/** Logger of the job path: writes events as JSON lines to a sink of bounded volume, and counts them as metrics. */
import type { EventMetrics } from './event-metrics.js'
import type { LineSink } from './line-sink.js'
import type { EventLogger, LogEvent } from './log-events.js'
import { createLogger, type LogFields, type LogLevel } from './logger.js'

/** Interval at which newly dropped lines are logged. */
const DROP_REPORT_INTERVAL_MILLISECONDS = 1_000
/** Outcomes of successful work, whose lines are ordinary. */
const SUCCESS_OUTCOMES: ReadonlySet<unknown> = new Set([undefined, 'completed', 'done'])
/** Events that every job or request causes. Their lines are ordinary unless the work failed or was late. */
const ORDINARY_EVENTS: ReadonlySet<LogEvent> = new Set([
  'job received', 'job sent', 'job answered', 'run ordered', 'run ended', 'task waits again', 'no such route'
])

export interface EventLoggerOptions {
  /** Fields that every line has. */
  readonly fields: LogFields
  readonly sink: LineSink
  readonly metrics: EventMetrics
}

/** Whether a line explains a failure, a late job or a change, rather than successful work. */
function isEssential (event: LogEvent, fields: LogFields | undefined): boolean {
  if (!ORDINARY_EVENTS.has(event) || !SUCCESS_OUTCOMES.has(fields?.['outcome'])) return true
  const objective = fields?.['objective']
  const milliseconds = fields?.['milliseconds']
  return typeof objective === 'number' && typeof milliseconds === 'number' && milliseconds > objective
}

/**
 * Creates an event logger. Lines that the sink dropped are counted as metrics all the same.
 *
 * @example
 * const logger = createEventLogger({ fields: { role: 'entry', vm: 'front-1' }, sink, metrics })
 * logger.info('job answered', { job, outcome: 'completed', milliseconds: 84 })
 */
export function createEventLogger (options: EventLoggerOptions): EventLogger {
  const { sink, metrics } = options
  let isCurrentLineEssential = true
  const logger = createLogger({
    level: 'info',
    fields: options.fields,
    write: line => { sink.write(line, isCurrentLineEssential) }
  })
  let reportedCount = 0

  function log (level: LogLevel, event: LogEvent, fields: LogFields | undefined): void {
    metrics.observe(event, fields)
    isCurrentLineEssential = isEssential(event, fields)
    logger[level](event, fields)
  }

  const timer = setInterval(() => {
    const dropped = sink.dropped()
    if (dropped.ordinary + dropped.essential === reportedCount) return
    reportedCount = dropped.ordinary + dropped.essential
    log('warn', 'log lines dropped', { ...dropped })
  }, DROP_REPORT_INTERVAL_MILLISECONDS)
  timer.unref()

  return {
    error: (event, fields) => { log('error', event, fields) },
    warn: (event, fields) => { log('warn', event, fields) },
    info: (event, fields) => { log('info', event, fields) },
    debug: (event, fields) => { log('debug', event, fields) }
  }
}
