/** Structured logs: one JSON object per line on standard error. */
import { createConsola, LogLevels, type LogObject } from 'consola/core'
import { Schema } from 'effect'

/** Log levels, from the most severe to the most verbose. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const
export const LogLevel = Schema.Literals(LOG_LEVELS)
export type LogLevel = typeof LogLevel.Type

/** Fields of a log line besides time, level and message. */
export interface LogFields {
  readonly submission?: string
  readonly customer?: string
  readonly agent?: string
  readonly entry?: string
  readonly partition?: number
  readonly epoch?: number
  readonly kind?: string
  readonly [field: string]: string | number | boolean | undefined
}

/** Writes structured log lines. */
export interface Logger {
  error: (message: string, fields?: LogFields) => void
  warn: (message: string, fields?: LogFields) => void
  info: (message: string, fields?: LogFields) => void
  debug: (message: string, fields?: LogFields) => void
}

export interface LoggerOptions {
  readonly level: LogLevel
  /** Fields that every line has, such as the identity of the process. */
  readonly fields: LogFields
  /** Writes a line, given without its line end; to standard error by default. */
  readonly write?: (line: string) => void
}

/** Writes a line to standard error. A closed pipe or a full disk loses lines, but must not end the process. */
function writeToStandardError (line: string): void {
  if (process.stderr.listenerCount('error') === 0) process.stderr.on('error', () => {})
  process.stderr.write(line + '\n')
}

function formatLine (logObject: LogObject, fields: LogFields): string {
  const [message, extra] = logObject.args as [string, LogFields | undefined]
  return JSON.stringify({ time: logObject.date.toISOString(), level: logObject.type, message, ...fields, ...extra })
}

/**
 * Creates a logger of JSON lines.
 *
 * @example
 * const logger = createLogger({ level: 'info', fields: { entry: 'entry-1' } })
 * logger.info('submission accepted', { submission: key, customer: 'medina' })
 */
export function createLogger (options: LoggerOptions): Logger {
  const write = options.write ?? writeToStandardError
  const consola = createConsola({
    level: LogLevels[options.level],
    throttle: 0,
    reporters: [{ log: entry => { write(formatLine(entry, options.fields)) } }]
  })
  return {
    error: (message, fields) => { consola.error(message, fields) },
    warn: (message, fields) => { consola.warn(message, fields) },
    info: (message, fields) => { consola.info(message, fields) },
    debug: (message, fields) => { consola.debug(message, fields) }
  }
}

/** Logger that drops every line, for tests and simulations. */
export const silentLogger: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {}
}
