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
/** Above a Unix time in nanoseconds, which a version may be. */
const MAXIMUM_VERSION = 1e21
const MAXIMUM_PORT = 65_535
const PORT = /^\d{1,5}$/
const MAXIMUM_NAME_CHARACTERS = 256
/** Visible ASCII: characters that may stand in the value of a header. */
const TOKEN = /^[\x21-\x7e]+$/

/** Whether a value is a number within bounds, which neither `Infinity` nor a number of another type is. */
export function isBetween (value: unknown, minimum: number, maximum: number): value is number {
  return typeof value === 'number' && value >= minimum && value <= maximum
}

/** Whether a value is the number of an item in a sequence, such as an offset, a revision or a run number. */
export function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && isBetween(value, 0, MAXIMUM_COUNT)
}

/** Whether a value is a number of an ordinary magnitude. */
export function isAmount (value: unknown): value is number {
  return isBetween(value, -MAXIMUM_COUNT, MAXIMUM_COUNT)
}

function isAddress (value: unknown): value is string {
  if (typeof value !== 'string') return false
  const separator = value.lastIndexOf(':')
  const port = value.slice(separator + 1)
  return isIP(value.slice(0, separator)) !== 0 && PORT.test(port) && isBetween(Number(port), 1, MAXIMUM_PORT)
}

/** `IP:PORT`, to which a connection can be opened. */
export const Address = Schema.declare(isAddress)

function isName (value: unknown): value is string {
  return typeof value === 'string' && value.length >= 1 && value.length <= MAXIMUM_NAME_CHARACTERS
}

/** Name of a process. */
export const Name = Schema.declare(isName)

/** Identity that is sent in a header. */
export const Token = Schema.declare((value): value is string => isName(value) && TOKEN.test(value))

/** Number of an item in a sequence, such as an offset, a revision or a run number. */
export const Count = Schema.declare(isCount)

/** Reading of a steady clock, in milliseconds since the start of its process or machine. */
export const SteadyTime = Schema.declare((value): value is number => isBetween(value, 0, MAXIMUM_COUNT))

/** Time in Unix milliseconds. */
export const UnixTime = Schema.declare((value): value is number =>
  Number.isInteger(value) && isBetween(value, 0, MAXIMUM_UNIX_MILLISECONDS))

/** Token of an agent's orders to its upstream: the start of the agent in Unix milliseconds, or above. */
export const FencingToken = UnixTime

/** Amount of what can't be negative. */
export const Quantity = Schema.declare((value): value is number => isBetween(value, 0, MAXIMUM_COUNT))

/** Version of the configuration; versions rise in steps of any size. */
export const Version = Schema.declare((value): value is number => isBetween(value, 0, MAXIMUM_VERSION))

/** Any other number, such as an amount of a resource, a length of time or a factor; it may be negative. */
export const Amount = Schema.declare(isAmount)
