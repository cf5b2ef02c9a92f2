/** Partitions of the space of submission keys: the unit of ownership. */
import { createHash } from 'node:crypto'
import type { SubmissionKey } from './identities.js'

/** Number of partitions; the same at every process of a fleet. */
export const PARTITION_COUNT = 256

const RANDOM_DIGITS = 4

/**
 * Tells the partition of a submission key, from 0 to `PARTITION_COUNT - 1`: the last bits of its random part.
 *
 * @example
 * partitionOf(createSubmissionKey()) // 17
 */
export function partitionOf (key: SubmissionKey): number {
  return Number.parseInt(key.slice(-RANDOM_DIGITS), 16) % PARTITION_COUNT
}

/**
 * Digest of a submission's body, by which a resubmission is told from a conflict.
 *
 * @param canonicalBody - The body as canonical JSON.
 * @returns 64 hexadecimal digits.
 */
export function digestOf (canonicalBody: string): string {
  return createHash('sha256').update(canonicalBody).digest('hex')
}

/**
 * Writes a JSON value with the members of each object sorted by name, so that equal values give equal text.
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
