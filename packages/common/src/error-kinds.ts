/**
 * The closed list of error kinds, and how each kind is answered.
 *
 * Every error that is answered to a caller has one of these kinds. `ran` says whether the requested work ran; `no` is
 * answered only if it is proven that nothing ran.
 */
import { Schema } from 'effect'

/** Whether the requested work ran, as far as the system knows. */
export type ExecutionStatus = 'no' | 'yes' | 'unknown'

/** HTTP status and texts with which an error kind is answered. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number
  /** Short text that every error of the kind has. */
  readonly title: string
  readonly ran: ExecutionStatus
  /** What the caller may do next. */
  readonly next: string
}

const ERROR_ANSWERS = {
  'malformed-request': {
    status: 400,
    title: 'The request is malformed',
    ran: 'no',
    next: 'Correct the request and send it again.'
  },
  unauthenticated: {
    status: 401,
    title: 'No valid key was given',
    ran: 'no',
    next: 'Send a valid key in the Authorization header.'
  },
  forbidden: {
    status: 403,
    title: 'The key does not allow this',
    ran: 'no',
    next: 'Use a key of the customer or role that the request belongs to.'
  },
  'unknown-route': {
    status: 404,
    title: 'There is no such route',
    ran: 'no',
    next: 'See docs/INTERFACE.md for the routes.'
  },
  'unknown-submission': {
    status: 404,
    title: 'No submission with this key is known',
    ran: 'no',
    next: 'Submit it; nothing of it has run.'
  },
  'request-timeout': {
    status: 408,
    title: 'The request did not arrive whole in time',
    ran: 'no',
    next: 'Send the request again, whole.'
  },
  'key-conflict': {
    status: 409,
    title: 'The key was used for a different body',
    ran: 'no',
    next: 'Use a new key for a new submission, or send the first body again.'
  },
  'version-conflict': {
    status: 409,
    title: 'The configuration changed since the version that was named',
    ran: 'no',
    next: 'Read the current version, decide again and publish against it.'
  },
  'key-expired': {
    status: 410,
    title: 'The key is older than the time for which keys are remembered',
    ran: 'unknown',
    next: 'Find out at the upstream whether the work was done; submit it under a new key only if it was not.'
  },
  'too-large': {
    status: 413,
    title: 'The request is larger than the limit',
    ran: 'no',
    next: 'Split the request and send the parts under keys of their own.'
  },
  'not-run-invalid': {
    status: 422,
    title: 'The request was not run: it can not be run as it stands',
    ran: 'no',
    next: 'Correct what the detail names and send it again.'
  },
  'not-run': {
    status: 503,
    title: 'The request was not run',
    ran: 'no',
    next: 'Send it again after the given time.'
  },
  'upstream-failed': {
    status: 502,
    title: 'The upstream ran the request and failed',
    ran: 'yes',
    next: 'Look at the detail; a repetition runs the work again.'
  },
  'outcome-unknown': {
    status: 504,
    title: 'It can not be told whether the request ran',
    ran: 'unknown',
    next: 'Ask again under the same key after the given time; do not use a new key before the outcome is known.'
  },
  internal: {
    status: 500,
    title: 'A fault inside the system',
    ran: 'unknown',
    next: 'Ask again under the same key; report the fault to the operators.'
  }
} as const satisfies Record<string, ErrorAnswer>

export type ErrorKind = keyof typeof ERROR_ANSWERS

/** All error kinds, in the order of `ERROR_ANSWERS`. */
export const ERROR_KINDS = Object.keys(ERROR_ANSWERS) as readonly ErrorKind[]

export const ErrorKindSchema = Schema.Literals(ERROR_KINDS)

/**
 * Returns the HTTP status and texts with which an error kind is answered.
 *
 * @example
 * errorAnswer('not-run').status // 503
 */
export function errorAnswer (kind: ErrorKind): ErrorAnswer {
  return ERROR_ANSWERS[kind]
}
