/** Structured logs: one JSON object a line on standard error, through consola. */
import { createConsola, LogLevels, type LogObject } from 'consola'
import { Schema } from 'effect'

/** Levels of the logs, from the most severe to the most talkative. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const
export const LogLevel = Schema.Literals(LOG_LEVELS)
export type LogLevel = typeof LogLevel.Type

/** Fields that a log line may carry besides its message. */
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

/** Settings of a logger. */
export interface LoggerOptions {
  readonly level: LogLevel
  /** Fields of every line, such as the identity of the process. */
  readonly fields: LogFields
  /** Receives each line without its line end; standard error by default. */
  readonly write?: (line: string) => void
}

function formatLine (entry: LogObject, fields: LogFields): string {
  const [message, extra] = entry.args as [string, LogFields | undefined]
  return JSON.stringify({ time: entry.date.toISOString(), level: entry.type, message, ...fields, ...extra })
}

/**
 * Makes a logger.
 *
 * @example
 * const logger = createLogger({ level: 'info', fields: { entry: 'entry-1' } })
 * logger.info('submission accepted', { submission: key, customer: 'medina' })
 */
export function createLogger (options: LoggerOptions): Logger {
  const write = options.write ?? (line => { process.stderr.write(line + '\n') })
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

/** A logger that drops every line, for decision code under test. */
export const silentLogger: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {}
}
