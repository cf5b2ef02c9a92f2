/** Partitions of the submission keys, which are the unit of ownership, and digests of submissions. */
import { createHash } from 'node:crypto'
import type { SubmissionKey } from './identities.js'

/** Number of partitions; all processes of a fleet must use the same number. */
export const PARTITION_COUNT = 256

/** Hexadecimal digits at the end of a key that select its partition; they are random in a UUID of version 7. */
const PARTITION_DIGITS = 4

/**
 * Returns the partition of a submission key, from 0 to `PARTITION_COUNT - 1`.
 *
 * @example
 * partitionOf(createSubmissionKey()) // 17
 */
export function partitionOf (key: SubmissionKey): number {
  return Number.parseInt(key.slice(-PARTITION_DIGITS), 16) % PARTITION_COUNT
}

/**
 * Returns the digest of the body of a submission. A resubmission has the digest of the first body; another digest under
 * the same key is a conflict.
 *
 * @param canonicalBody - The body as canonical JSON.
 * @returns 64 hexadecimal digits.
 */
export function digestOf (canonicalBody: string): string {
  return createHash('sha256').update(canonicalBody).digest('hex')
}

/**
 * Returns the JSON text of a value with the members of each object sorted by name, so that equal values have equal
 * text.
 *
 * @example
 * canonicalJson({ b: 1, a: [2] }) // '{"a":[2],"b":1}'
 */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_name, member: unknown) => {
    if (member === null || typeof member !== 'object' || Array.isArray(member)) return member
    return Object.fromEntries(Object.entries(member).sort(([left], [right]) => left < right ? -1 : 1))
  })
}
