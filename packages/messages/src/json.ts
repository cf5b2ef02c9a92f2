/** Schemas of JSON objects of any content, and of the integers in messages. */
import { Schema } from 'effect'

/** A JSON object: the input of a task, or parameters. */
export const JsonRecord = Schema.Record(Schema.String, Schema.Unknown)
export type JsonRecord = typeof JsonRecord.Type

/** Most levels of a JSON value; formatting one of 4,000 overflows the default stack. */
const MAXIMUM_JSON_DEPTH = 100

/**
 * Whether a value has few enough levels to be formatted and passed on.
 *
 * @example
 * isShallow({ tool: 'drill' }) // true
 */
export function isShallow (value: unknown, depth: number = MAXIMUM_JSON_DEPTH): boolean {
  if (typeof value !== 'object' || value === null) return true
  if (depth === 0) return false
  for (const item of Object.values(value)) if (!isShallow(item, depth - 1)) return false
  return true
}

/** A JSON object from outside of the system. */
export const ForeignJsonRecord = JsonRecord.check(Schema.makeFilter(value => isShallow(value)))

/** Whole milliseconds, or a Unix time in milliseconds. */
export const Milliseconds = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }))

/** A count, an index, a partition or a log offset. */
export const NonNegativeInt = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }))
