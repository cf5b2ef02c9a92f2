/** Access keys: their text form and their digests. Secrets leave this module as digests only. */
import { createHash } from 'node:crypto'
import { Name } from '@baobabpost/common'
import { Schema } from 'effect'

/** What the holder of a key may do: `caller` works for one customer, `operator` operates the fleet. */
export const AccessRole = Schema.Literals(['caller', 'operator'])
export type AccessRole = typeof AccessRole.Type

/** Who sent a request. */
export interface Principal {
  readonly role: AccessRole
  /** The customer of a caller, or the name of an operator. */
  readonly subject: string
}

/** A key without its secret. */
export interface AccessKey {
  readonly principal: Principal
  /** SHA-256 of the secret, 32 bytes. */
  readonly digest: Buffer
}

/** Outcome of reading keys. Faults name the place of a wrong key and never its text. */
export interface ParsedKeys {
  readonly keys: readonly AccessKey[]
  readonly faults: readonly string[]
}

/** Shortest secret that is accepted, in characters. */
export const MINIMUM_SECRET_CHARACTERS = 16

const isRole = Schema.is(AccessRole)
const isName = Schema.is(Name)

/** Digest of a secret. */
export function digestSecret (secret: string): Buffer {
  return createHash('sha256').update(secret).digest()
}

function readKey (text: string): AccessKey | string {
  const [role, subject, ...rest] = text.split(':')
  const secret = rest.join(':')
  if (!isRole(role)) return "the role is neither 'caller' nor 'operator'"
  if (!isName(subject)) return 'the subject is not a name'
  if (secret.length < MINIMUM_SECRET_CHARACTERS) {
    return `the secret is shorter than ${MINIMUM_SECRET_CHARACTERS} characters`
  }
  return { principal: { role, subject }, digest: digestSecret(secret) }
}

/**
 * Reads keys `role:subject:secret`, split by commas or line ends. Empty lines and lines that start with `#` are
 * skipped.
 *
 * @example
 * readKeys('caller:medina:0123456789abcdef,operator:awa:fedcba9876543210').keys.length // 2
 */
export function parseKeys (text: string): ParsedKeys {
  const keys: AccessKey[] = []
  const faults: string[] = []
  let place = 0
  for (const part of text.split(/[,\n]/)) {
    const trimmed = part.trim()
    if (trimmed === '' || trimmed.startsWith('#')) continue
    place += 1
    const key = readKey(trimmed)
    if (typeof key === 'string') faults.push(`access key ${place}: ${key}`)
    else keys.push(key)
  }
  return { keys, faults }
}
