/** `PUT /v1/submissions/KEY`: submits a job and waits for its complete answer. */
import { canonicalJson, digestOf, DispatchError } from '@baobabpost/common'
import { JobRequest, MAXIMUM_TASK_BYTES } from '@baobabpost/messages'
import { createDecoder } from '../http/decode.js'
import type { Route } from '../http/route.js'
import { runOperation, type CoreRouteOptions } from './run-operation.js'
import { readSubmissionKey, readWaitUntil, SUBMISSION_PATH } from './submission-path.js'

const DEFAULT_WAIT_MILLISECONDS = 30_000

const decodeJob = createDecoder(JobRequest, 'malformed-request')

function checkTaskSizes (request: JobRequest): void {
  for (const [index, input] of request.tasks.entries()) {
    if (Buffer.byteLength(JSON.stringify(input)) <= MAXIMUM_TASK_BYTES) continue
    throw new DispatchError({ kind: 'too-large', detail: `Task ${index} has more than ${MAXIMUM_TASK_BYTES} bytes` })
  }
}

export function createSubmitJobRoute (options: CoreRouteOptions): Route {
  return {
    method: 'PUT',
    path: SUBMISSION_PATH,
    access: 'caller',
    about: 'Submits a job under a key and waits for its complete answer',
    handle (exchange) {
      const submission = readSubmissionKey(exchange)
      const waitUntil = readWaitUntil(exchange, DEFAULT_WAIT_MILLISECONDS)
      const request = decodeJob(exchange.body)
      checkTaskSizes(request)
      const digest = digestOf(canonicalJson(request))
      return runOperation(options, exchange, {
        submission, customer: request.customer, operation: { kind: 'submit', request, digest }, waitUntil
      })
    }
  }
}
