/** Logger of the job path: JSON lines of the closed list of events, bounded, and counted as metrics. */
import type { EventMetrics } from './event-metrics.js'
import type { LineSink } from './line-sink.js'
import type { EventLogger, LogEvent } from './log-events.js'
import { createLogger, type LogFields, type LogLevel } from './logger.js'

/** Interval at which dropped lines are told. */
const REPORT_MILLISECONDS = 1_000
/** Outcomes of work that went well: their lines are ordinary. */
const GOOD_OUTCOMES: ReadonlySet<unknown> = new Set([undefined, 'completed', 'done'])
/** Events of ordinary work. */
const ORDINARY_EVENTS: ReadonlySet<LogEvent> = new Set([
  'job received', 'job sent', 'job answered', 'run ordered', 'run ended', 'task waits again', 'no such route'
])

/** What an event logger is made from. */
export interface EventLoggerOptions {
  /** Fields of every line. */
  readonly fields: LogFields
  readonly sink: LineSink
  readonly metrics: EventMetrics
}

/** Whether a line explains a failure or a change, rather than work that goes well. */
function isEssential (event: LogEvent, fields: LogFields | undefined): boolean {
  if (!ORDINARY_EVENTS.has(event) || !GOOD_OUTCOMES.has(fields?.['outcome'])) return true
  const objective = fields?.['objective']
  const milliseconds = fields?.['milliseconds']
  return typeof objective === 'number' && typeof milliseconds === 'number' && milliseconds > objective
}

/**
 * Makes an event logger.
 *
 * @example
 * const logger = createEventLogger({ fields: { role: 'entry', vm: 'front-1' }, sink, metrics })
 * logger.info('job answered', { job, outcome: 'completed', milliseconds: 84 })
 */
export function createEventLogger (options: EventLoggerOptions): EventLogger {
  const { sink, metrics } = options
  let essential = true
  const lines = createLogger({
    level: 'info',
    fields: options.fields,
    write: line => { sink.take(line, essential) }
  })
  let told = 0

  function log (level: LogLevel, event: LogEvent, fields: LogFields | undefined): void {
    metrics.observe(event, fields)
    essential = isEssential(event, fields)
    lines[level](event, fields)
  }

  const timer = setInterval(() => {
    const dropped = sink.dropped()
    if (dropped.ordinary + dropped.essential === told) return
    told = dropped.ordinary + dropped.essential
    log('warn', 'log lines dropped', { ...dropped })
  }, REPORT_MILLISECONDS)
  timer.unref()

  return {
    error: (event, fields) => { log('error', event, fields) },
    warn: (event, fields) => { log('warn', event, fields) },
    info: (event, fields) => { log('info', event, fields) },
    debug: (event, fields) => { log('debug', event, fields) }
  }
}
