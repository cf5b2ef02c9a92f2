/** `GET /v1/submissions/KEY/explanation`: what happened to a submission, step by step, as its owner recorded it. */
import type { Route } from '../http/route.js'
import { customerOf, runOperation, type CoreRouteOptions } from './run-operation.js'
import { readSubmissionKey, SUBMISSION_PATH } from './submission-path.js'

const WAIT_MILLISECONDS = 5_000

export function createExplainSubmissionRoute (options: CoreRouteOptions): Route {
  return {
    method: 'GET',
    path: `${SUBMISSION_PATH}/explanation`,
    access: 'caller',
    about: 'Explains what happened to a submission, step by step',
    handle (exchange) {
      const submission = readSubmissionKey(exchange)
      const waitUntil = exchange.arrivedAt + WAIT_MILLISECONDS
      return runOperation(options, exchange, {
        submission, customer: customerOf(exchange), operation: { kind: 'explain' }, waitUntil
      })
    }
  }
}
