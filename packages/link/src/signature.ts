/** Authenticates link batches by an HMAC over sender, addressee and body, with a key shared by all processes. */
import { createHmac, timingSafeEqual } from 'node:crypto'

/** The fields that a signature covers besides the body. */
export interface SignedSender {
  readonly identity: string
  readonly address: string
  /** Identity that the batch is addressed to; absent for whichever process listens at the address. */
  readonly addressee?: string
}

function hmac (key: string, sender: SignedSender, body: string | Buffer): Buffer {
  return createHmac('sha256', key)
    .update(sender.identity)
    .update('\n')
    .update(sender.address)
    .update('\n')
    .update(sender.addressee ?? '')
    .update('\n')
    .update(body)
    .digest()
}

/**
 * Signs a batch with HMAC-SHA-256.
 *
 * @returns 64 hexadecimal digits.
 * @example
 * signBatch('shared secret', { identity, address: '10.0.0.4:7001' }, body)
 */
export function signBatch (key: string, sender: SignedSender, body: string | Buffer): string {
  return hmac(key, sender, body).toString('hex')
}

/**
 * Checks a signature against every accepted key, so that keys can rotate without rejected batches.
 *
 * @example
 * verifyBatch(['new secret', 'old secret'], signature, sender, body)
 */
export function verifyBatch (
  keys: readonly string[], signature: string, sender: SignedSender, body: string | Buffer
): boolean {
  const given = Buffer.from(signature, 'hex')
  for (const key of keys) {
    const expected = hmac(key, sender, body)
    if (given.length === expected.length && timingSafeEqual(given, expected)) return true
  }
  return false
}
