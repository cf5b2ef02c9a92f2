/** `POST /v1/calls`: runs a single request and answers with its result. */
import { authorizeCustomer, type Principal } from '@baobabpost/access'
import { DispatchError } from '@baobabpost/common'
import { CallRequest, MAXIMUM_TASK_BYTES } from '@baobabpost/messages'
import type { RequestResult } from '@baobabpost/requests'
import { answerProblem } from '../http/caller-server.js'
import { createDecoder } from '../http/decode.js'
import type { HttpAnswer, Route } from '../http/route.js'
import type { CoreRouteOptions } from './run-operation.js'

const decodeCall = createDecoder(CallRequest, 'malformed-request')

function answerResult (result: RequestResult): HttpAnswer {
  if (result.kind === 'problem') return answerProblem(result.problem)
  return { status: 200, body: { answer: result.answer } }
}

export function createCallRoute (options: CoreRouteOptions): Route {
  return {
    method: 'POST',
    path: '/v1/calls',
    access: 'caller',
    about: 'Runs a single request',
    handle (exchange) {
      const request = decodeCall(exchange.body)
      const fault = authorizeCustomer(exchange.principal as Principal, request.customer)
      if (fault !== undefined) throw fault
      if (Buffer.byteLength(JSON.stringify(request.input)) > MAXIMUM_TASK_BYTES) {
        throw new DispatchError({ kind: 'too-large', detail: `The input has more than ${MAXIMUM_TASK_BYTES} bytes` })
      }
      return new Promise<HttpAnswer>(resolve => {
        const call = options.core.beginCall(
          { request, answer: result => { resolve(answerResult(result)) } }, options.now())
        exchange.signal.addEventListener('abort', () => { options.core.abandonCall(call, options.now()) }, { once: true })
      })
    }
  }
}
