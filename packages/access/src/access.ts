/** Authenticates callers and operators by bearer keys, and authorizes them for customers. */
import { timingSafeEqual } from 'node:crypto'
import { DispatchError } from '@baobabpost/common'
import { digestSecret, type AccessKey, type Principal } from './access-key.js'

export interface AccessOptions {
  readonly keys: readonly AccessKey[]
}

/** Authenticates requests against the current set of keys. */
export interface Access {
  /**
   * Authenticates the sender of a request by its `Authorization` header.
   *
   * @returns The sender, or an error of kind `unauthenticated`.
   */
  authenticate: (header: string | undefined) => Principal | DispatchError
  /** Replaces all keys, for example after the key file changed. Takes effect with the next request. */
  setKeys: (keys: readonly AccessKey[]) => void
  keyCount: () => number
}

const BEARER = /^Bearer +([\x21-\x7e]+) *$/i

function unauthenticated (detail: string): DispatchError {
  return new DispatchError({ kind: 'unauthenticated', detail })
}

/** Compares the digest with every key even after a match, so that response times reveal nothing about the keys. */
function findPrincipal (keys: readonly AccessKey[], digest: Buffer): Principal | undefined {
  let principal: Principal | undefined
  for (const key of keys) {
    if (timingSafeEqual(key.digest, digest)) principal = key.principal
  }
  return principal
}

/**
 * Creates an authenticator that accepts the given keys.
 *
 * @example
 * const access = createAccess({ keys: parseKeys('caller:medina:0123456789abcdef').keys })
 * access.authenticate('Bearer 0123456789abcdef') // { role: 'caller', subject: 'medina' }
 */
export function createAccess (options: AccessOptions): Access {
  let keys = options.keys
  return {
    authenticate (header) {
      if (header === undefined) return unauthenticated('No key was given')
      const secret = BEARER.exec(header)?.[1]
      if (secret === undefined) return unauthenticated('The Authorization header is not of the form: Bearer KEY')
      return findPrincipal(keys, digestSecret(secret)) ?? unauthenticated('The key is not valid')
    },
    setKeys (newKeys) { keys = newKeys },
    keyCount: () => keys.length
  }
}

/**
 * Checks that a sender may act for a customer: a caller of that customer and every operator may.
 *
 * @returns An error of kind `forbidden`, or undefined if permitted.
 * @example
 * authorizeCustomer({ role: 'caller', subject: 'medina' }, 'pikine')?.kind // 'forbidden'
 */
export function authorizeCustomer (principal: Principal, customer: string): DispatchError | undefined {
  if (principal.role === 'operator' || principal.subject === customer) return undefined
  return new DispatchError({ kind: 'forbidden', detail: 'The key belongs to another customer' })
}

/**
 * Checks that a sender is an operator.
 *
 * @returns An error of kind `forbidden`, or undefined if permitted.
 */
export function authorizeOperator (principal: Principal): DispatchError | undefined {
  if (principal.role === 'operator') return undefined
  return new DispatchError({ kind: 'forbidden', detail: 'Only an operator may do this' })
}
