/** The submission key in a path, and how long a caller waits. */
import { DispatchError, SubmissionKey } from '@baobabpost/common'
import { Schema } from 'effect'
import type { Exchange } from '../http/route.js'

/** Path of a submission. */
export const SUBMISSION_PATH = '/v1/submissions/:submission'
/** Longest wait that a caller may ask for. */
export const MAXIMUM_WAIT_MILLISECONDS = 300_000

const isSubmissionKey = Schema.is(SubmissionKey)

/**
 * Reads the submission key of a path.
 *
 * @throws DispatchError of kind `malformed-request`.
 */
export function readSubmissionKey (exchange: Exchange): SubmissionKey {
  const key = exchange.parameters.submission
  if (isSubmissionKey(key)) return key
  const detail = 'A submission key is a UUID of version 7 in lower case'
  throw new DispatchError({ kind: 'malformed-request', detail })
}

/**
 * Reads the query parameter `waitMilliseconds`, and gives the Unix time until which the caller waits.
 *
 * @throws DispatchError of kind `malformed-request`.
 */
export function readWaitUntil (exchange: Exchange, fallbackMilliseconds: number): number {
  const given = exchange.query.get('waitMilliseconds')
  if (given === null) return exchange.arrivedAt + fallbackMilliseconds
  const milliseconds = /^\d{1,6}$/.test(given) ? Number(given) : Number.NaN
  if (milliseconds <= MAXIMUM_WAIT_MILLISECONDS) return exchange.arrivedAt + milliseconds
  const detail = `waitMilliseconds is a whole number from 0 to ${MAXIMUM_WAIT_MILLISECONDS}`
  throw new DispatchError({ kind: 'malformed-request', detail })
}
