/** Parses access keys. Secrets leave this module only as digests. */
import { createHash } from 'node:crypto'
import { Name } from '@baobabpost/common'
import { Schema } from 'effect'

/** Role of the holder of a key: a `caller` acts for one customer, an `operator` operates the fleet. */
export const AccessRole = Schema.Literals(['caller', 'operator'])
export type AccessRole = typeof AccessRole.Type

/** The authenticated sender of a request. */
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

/** Result of parsing keys. A fault gives the number of an invalid key and never its text. */
export interface ParsedKeys {
  readonly keys: readonly AccessKey[]
  readonly faults: readonly string[]
}

export const MINIMUM_SECRET_CHARACTERS = 16

const isRole = Schema.is(AccessRole)
const isName = Schema.is(Name)

/** Returns the SHA-256 digest of a secret. */
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
 * Parses keys of the form `role:subject:secret`, separated by commas or line breaks. Skips empty items and items that
 * start with `#`.
 *
 * @example
 * parseKeys('caller:medina:0123456789abcdef,operator:awa:fedcba9876543210').keys.length // 2
 */
export function parseKeys (text: string): ParsedKeys {
  const keys: AccessKey[] = []
  const faults: string[] = []
  let keyNumber = 0
  for (const item of text.split(/[,\n]/)) {
    const trimmed = item.trim()
    if (trimmed === '' || trimmed.startsWith('#')) continue
    keyNumber += 1
    const key = readKey(trimmed)
    if (typeof key === 'string') faults.push(`access key ${keyNumber}: ${key}`)
    else keys.push(key)
  }
  return { keys, faults }
}
