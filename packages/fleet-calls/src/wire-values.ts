/**
 * Schemas of values that other processes write, with bounds beyond which a value comes from a faulty one. They are
 * declared by their checks, which takes a third of the time of a schema with the same checks attached.
 */
import { isIP } from 'node:net'
import { Schema } from 'effect'

/** A counter or clock that rises by 1,000 a second takes 31 years to get there. */
const MAXIMUM_COUNT = 1e12
/** Largest time that `Date` represents, in Unix milliseconds. */
const MAXIMUM_UNIX_MILLISECONDS = 8.64e15
const MAXIMUM_PORT = 65_535
const PORT = /^\d{1,5}$/
/** Characters that may stand in the value of a header: visible ASCII, of which a space is none. */
const TOKEN = /^[\x21-\x7e]{1,256}$/

/** Whether a value is a number within bounds, which neither `Infinity` nor a number of another type is. */
export function isBetween (value: unknown, minimum: number, maximum: number): value is number {
  return typeof value === 'number' && value >= minimum && value <= maximum
}

/** Whether a value is the number of an item in a sequence, such as an offset, a revision or a run number. */
export function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && isBetween(value, 0, MAXIMUM_COUNT)
}

function isAddress (value: unknown): value is string {
  if (typeof value !== 'string') return false
  const separator = value.lastIndexOf(':')
  const port = value.slice(separator + 1)
  return isIP(value.slice(0, separator)) !== 0 && PORT.test(port) && isBetween(Number(port), 1, MAXIMUM_PORT)
}

/** `IP:PORT`, to which a connection can be opened. */
export const Address = Schema.declare(isAddress)

/** Name of a process or of an upstream, short and without characters that a header can't hold. */
export const Token = Schema.declare((value): value is string => typeof value === 'string' && TOKEN.test(value))

/** Number of an item in a sequence, such as an offset, a revision or a run number. */
export const Count = Schema.declare(isCount)

/** Reading of a steady clock, in milliseconds since the start of its process or machine. */
export const SteadyTime = Schema.declare((value): value is number => isBetween(value, 0, MAXIMUM_COUNT))

/** Time in Unix milliseconds. */
export const UnixTime = Schema.declare((value): value is number =>
  Number.isInteger(value) && isBetween(value, 0, MAXIMUM_UNIX_MILLISECONDS))

/** Any other number, such as an amount of a resource, a length of time or a factor; it may be negative. */
export const Amount = Schema.declare((value): value is number => isBetween(value, -MAXIMUM_COUNT, MAXIMUM_COUNT))
