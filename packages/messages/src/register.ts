/**
 * Registers: named values that are agreed through the platform's log.
 *
 * A record holds writes. A write names the version that it replaces and holds if that is the register's version
 * when the log is read in order; the new version is the offset of the record. A restatement repeats what is in
 * force, so that it survives the log's retention; it never changes a value.
 */
import { Schema } from 'effect'
import { NonNegativeInt } from './json.js'

/** Version of a register that was never written. */
export const NEVER_WRITTEN_VERSION = 0

/** Sets a register, or removes it with `null`, if its version is `replaces`. */
export const RegisterWrite = Schema.Struct({
  kind: Schema.Literal('write'),
  register: Schema.String,
  replaces: NonNegativeInt,
  value: Schema.Unknown
})
export type RegisterWrite = typeof RegisterWrite.Type

/** Repeats the value and version that a register had once all offsets up to `asOf` were applied. */
export const RegisterRefresh = Schema.Struct({
  kind: Schema.Literal('restatement'),
  register: Schema.String,
  version: NonNegativeInt,
  value: Schema.Unknown,
  asOf: NonNegativeInt
})
export type RegisterRefresh = typeof RegisterRefresh.Type

/** One record of the platform's log. `nonce` tells an author whether its append took effect. */
export const LogRecord = Schema.Struct({
  author: Schema.String,
  nonce: Schema.String,
  changes: Schema.Array(Schema.Union([RegisterWrite, RegisterRefresh]))
})
export type LogRecord = typeof LogRecord.Type

/** A record with its place on the log; offsets start at 1. `record` is undefined where the data does not decode. */
export interface LogEntry {
  readonly offset: number
  readonly record: LogRecord | undefined
}

/** A register with its version and value, as one process hands it to another. */
export const RegisterValue = Schema.Struct({ register: Schema.String, version: NonNegativeInt, value: Schema.Unknown })
export type RegisterValue = typeof RegisterValue.Type
