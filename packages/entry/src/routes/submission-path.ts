/** Parses the submission key in a path and the wait that the caller asks for. */
import { DispatchError, SubmissionKey } from '@baobabpost/common'
import { Schema } from 'effect'
import type { Exchange } from '../http/route.js'

export const SUBMISSION_PATH = '/v1/submissions/:submission'
/** Longest wait that a caller may ask for. */
export const MAXIMUM_WAIT_MILLISECONDS = 300_000

const isSubmissionKey = Schema.is(SubmissionKey)

/**
 * Returns the submission key in the path.
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
 * Reads the query parameter `waitMilliseconds` and returns the Unix time in milliseconds until which the caller waits.
 *
 * @throws DispatchError of kind `malformed-request`.
 */
export function readWaitUntil (exchange: Exchange, defaultWaitMilliseconds: number): number {
  const requestedWait = exchange.query.get('waitMilliseconds')
  if (requestedWait === null) return exchange.arrivedAt + defaultWaitMilliseconds
  const milliseconds = /^\d{1,6}$/.test(requestedWait) ? Number(requestedWait) : Number.NaN
  if (milliseconds <= MAXIMUM_WAIT_MILLISECONDS) return exchange.arrivedAt + milliseconds
  const detail = `waitMilliseconds is a whole number from 0 to ${MAXIMUM_WAIT_MILLISECONDS}`
  throw new DispatchError({ kind: 'malformed-request', detail })
}
