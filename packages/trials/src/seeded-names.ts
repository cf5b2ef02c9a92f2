/** Identities, keys and nonces from a seeded source, so that a run repeats itself. */
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

/** Makes a submission key of the given time. */
export function seededKey (random: Random, time: number): SubmissionKey {
  return uuidAt(random, time) as SubmissionKey
}

/** Makes the nonce of a record of the log. */
export function seededNonce (random: Random, time: number): string {
  return uuidAt(random, time)
}

/** Makes the identity of one run of an entry. */
export function seededEntry (random: Random, name: string, time: number): EntryIdentity {
  return `${name}@${uuidAt(random, time)}` as EntryIdentity
}

/** Makes the identity of one run of an agent. */
export function seededAgent (random: Random, name: string, time: number): AgentIdentity {
  return `${name}@${uuidAt(random, time)}` as AgentIdentity
}
