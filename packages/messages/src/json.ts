/** Free JSON values that pass through the system unchanged. */
import { Schema } from 'effect'

/** A JSON object: the input of a task, or parameters. */
export const JsonRecord = Schema.Record(Schema.String, Schema.Unknown)
export type JsonRecord = typeof JsonRecord.Type

/** Whole milliseconds, or a Unix time in milliseconds. */
export const Milliseconds = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }))

/** A count, an index, a partition or a log offset. */
export const NonNegativeInt = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }))
