/** Identities, keys and nonces from a seeded random source, so that a run can be repeated. */
import type { AgentIdentity, EntryIdentity, Random, SubmissionKey } from '@baobabpost/common'

const HEX_DIGITS = 16

function hexDigits (random: Random, count: number): string {
  let text = ''
  for (let index = 0; index < count; index += 1) text += random.below(HEX_DIGITS).toString(HEX_DIGITS)
  return text
}

function uuidAt (random: Random, time: number): string {
  const hexTime = time.toString(HEX_DIGITS).padStart(12, '0')
  return `${hexTime.slice(0, 8)}-${hexTime.slice(8)}-7${hexDigits(random, 3)}-8${hexDigits(random, 3)}-` +
    hexDigits(random, 12)
}

/** Creates a submission key with a time in Unix milliseconds. */
export function seededKey (random: Random, time: number): SubmissionKey {
  return uuidAt(random, time) as SubmissionKey
}

/** Creates the nonce of a log record. */
export function seededNonce (random: Random, time: number): string {
  return uuidAt(random, time)
}

/** Creates the identity of an entry process started at a time in Unix milliseconds. */
export function seededEntry (random: Random, name: string, time: number): EntryIdentity {
  return `${name}@${uuidAt(random, time)}` as EntryIdentity
}

/** Creates the identity of an agent process started at a time in Unix milliseconds. */
export function seededAgent (random: Random, name: string, time: number): AgentIdentity {
  return `${name}@${uuidAt(random, time)}` as AgentIdentity
}
