/** `GET /v1/submissions/KEY`: asks for the answer of a submission. */
import type { Route } from '../http/route.js'
import { customerOf, runOperation, type SubmissionRouteOptions } from './run-operation.js'
import { readSubmissionKey, readWaitUntil, SUBMISSION_PATH } from './submission-path.js'

/** Makes the route. */
export function createQuerySubmissionRoute (options: SubmissionRouteOptions): Route {
  return {
    method: 'GET',
    path: SUBMISSION_PATH,
    access: 'caller',
    about: 'Asks for the answer of a submission, and waits for it if told to',
    handle (exchange) {
      const submission = readSubmissionKey(exchange)
      const waitUntil = readWaitUntil(exchange, 0)
      return runOperation(options, exchange, {
        submission, customer: customerOf(exchange), operation: { kind: 'query' }, waitUntil
      })
    }
  }
}
