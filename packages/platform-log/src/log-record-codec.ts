/** Text of records on the log. */
import { LogRecord } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import { v7 as createUuid } from 'uuid'

const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/
const decode = Schema.decodeUnknownResult(LogRecord)

/**
 * Writes a record as the data of an append.
 *
 * @example
 * encodeLogRecord({ author: 'entry-1', nonce: createNonce(Date.now()), changes: [] })
 */
export function encodeLogRecord (record: LogRecord): string {
  return JSON.stringify(record)
}

/** Reads a record, or gives undefined where the data is not one. */
export function decodeLogRecord (data: string): LogRecord | undefined {
  try {
    const decoded = decode(JSON.parse(data))
    return Result.isSuccess(decoded) ? decoded.success : undefined
  } catch {
    return undefined
  }
}

/**
 * Makes the nonce of a record: a UUID of version 7, which carries the time of making.
 *
 * @param now - Unix time in milliseconds.
 */
export function createNonce (now: number): string {
  return createUuid({ msecs: now })
}

/** Reads the Unix time in milliseconds that a nonce carries, or undefined where it carries none. */
export function nonceCreatedAt (nonce: string): number | undefined {
  if (!UUID_VERSION_7.test(nonce)) return undefined
  return Number.parseInt(nonce.slice(0, 8) + nonce.slice(9, 13), 16)
}
