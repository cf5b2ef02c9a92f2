/**
 * Registers: named, versioned values on which the processes agree through the platform's log.
 *
 * A record contains writes and refresh records. A write names the version that it replaces, and takes effect if that is
 * the register's version when the log is read in order; the new version is the offset of the record. A refresh record
 * (kind `restatement`) repeats the current value, so that it outlives the log's retention; it never changes a value.
 */
import { Schema } from 'effect'
import { NonNegativeInt } from './json.js'

/** Version of a register before its first write. */
export const NEVER_WRITTEN_VERSION = 0

/** Sets a register, or removes it if `value` is `null`, provided that its version is `replaces`. */
export const RegisterWrite = Schema.Struct({
  kind: Schema.Literal('write'),
  register: Schema.String,
  replaces: NonNegativeInt,
  value: Schema.Unknown
})
export type RegisterWrite = typeof RegisterWrite.Type

/** Refresh record: repeats the value and version of a register after all records up to offset `asOf` were applied. */
export const RegisterRefresh = Schema.Struct({
  kind: Schema.Literal('restatement'),
  register: Schema.String,
  version: NonNegativeInt,
  value: Schema.Unknown,
  asOf: NonNegativeInt
})
export type RegisterRefresh = typeof RegisterRefresh.Type

/** One record of the platform's log. By `nonce` the author finds its own record when it reads the log. */
export const LogRecord = Schema.Struct({
  author: Schema.String,
  nonce: Schema.String,
  changes: Schema.Array(Schema.Union([RegisterWrite, RegisterRefresh]))
})
export type LogRecord = typeof LogRecord.Type

/** A record with its offset on the log, from 1. `record` is undefined if the data could not be decoded. */
export interface LogEntry {
  readonly offset: number
  readonly record: LogRecord | undefined
}

/** A register with its version and value, as sent between processes. */
export const RegisterValue = Schema.Struct({ register: Schema.String, version: NonNegativeInt, value: Schema.Unknown })
export type RegisterValue = typeof RegisterValue.Type
