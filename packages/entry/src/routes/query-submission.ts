/** `GET /v1/submissions/KEY`: returns the answer to a submission. */
import type { Route } from '../http/route.js'
import { customerOf, runOperation, type CoreRouteOptions } from './run-operation.js'
import { readSubmissionKey, readWaitUntil, SUBMISSION_PATH } from './submission-path.js'

export function createQuerySubmissionRoute (options: CoreRouteOptions): Route {
  return {
    method: 'GET',
    path: SUBMISSION_PATH,
    access: 'caller',
    about: 'Returns the answer to a submission, and waits for it if asked to',
    handle (exchange) {
      const submission = readSubmissionKey(exchange)
      const waitUntil = readWaitUntil(exchange, 0)
      return runOperation(options, exchange, {
        submission, customer: customerOf(exchange), operation: { kind: 'query' }, waitUntil
      })
    }
  }
}
