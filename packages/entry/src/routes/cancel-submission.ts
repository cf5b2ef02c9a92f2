/** `DELETE /v1/submissions/KEY`: cancels the tasks of a submission that have not started. */
import type { Route } from '../http/route.js'
import { customerOf, runOperation, type CoreRouteOptions } from './run-operation.js'
import { readSubmissionKey, readWaitUntil, SUBMISSION_PATH } from './submission-path.js'

const DEFAULT_WAIT_MILLISECONDS = 5_000

export function createCancelSubmissionRoute (options: CoreRouteOptions): Route {
  return {
    method: 'DELETE',
    path: SUBMISSION_PATH,
    access: 'caller',
    about: 'Cancels the tasks that have not started, and waits for those that have',
    handle (exchange) {
      const submission = readSubmissionKey(exchange)
      const waitUntil = readWaitUntil(exchange, DEFAULT_WAIT_MILLISECONDS)
      return runOperation(options, exchange, {
        submission, customer: customerOf(exchange), operation: { kind: 'cancel' }, waitUntil
      })
    }
  }
}
