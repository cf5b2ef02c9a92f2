/** `DELETE /v1/submissions/KEY`: cancels what has not started of a submission. */
import type { Route } from '../http/route.js'
import { customerOf, runOperation, type SubmissionRouteOptions } from './run-operation.js'
import { readSubmissionKey, readWaitUntil, SUBMISSION_PATH } from './submission-path.js'

const DEFAULT_WAIT_MILLISECONDS = 5_000

/** Makes the route. */
export function createCancelSubmissionRoute (options: SubmissionRouteOptions): Route {
  return {
    method: 'DELETE',
    path: SUBMISSION_PATH,
    access: 'caller',
    about: 'Cancels what has not started, and waits for what has',
    handle (exchange) {
      const submission = readSubmissionKey(exchange)
      const waitUntil = readWaitUntil(exchange, DEFAULT_WAIT_MILLISECONDS)
      return runOperation(options, exchange, {
        submission, customer: customerOf(exchange), operation: { kind: 'cancel' }, waitUntil
      })
    }
  }
}
