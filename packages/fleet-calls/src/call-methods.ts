/** Answers JSON-RPC requests with the handlers of a process, however they arrived. */
import type { EventLogger } from '@baobabpost/common'
import { Result, Schema } from 'effect'
import {
  createJSONRPCErrorResponse, createJSONRPCSuccessResponse, JSONRPCErrorCode, JSONRPCErrorException,
  type JSONRPCRequest, type JSONRPCResponse
} from 'json-rpc-2.0'
import { CALLS, type CallConnection, type CallHandlers, type CallName } from './calls.js'

/** Answers a request; a call whose handler answers at once is answered without a promise. */
export type AnswerRequest = (
  request: JSONRPCRequest, connection: CallConnection
) => JSONRPCResponse | Promise<JSONRPCResponse>

type Method = (parameters: unknown, connection: CallConnection) => unknown

function createMethod (name: CallName, handle: Method): Method {
  const decode = Schema.decodeUnknownResult(CALLS[name].parameters)
  return (parameters, connection) => {
    const decoded = decode(parameters)
    if (Result.isSuccess(decoded)) return handle(decoded.success, connection)
    throw new JSONRPCErrorException(`parameters of ${name} do not decode`, JSONRPCErrorCode.InvalidParams)
  }
}

/**
 * Creates the function that answers requests. It neither throws nor rejects: a failed handler is logged and answered
 * with a JSON-RPC error.
 *
 * @example
 * const answer = createCallMethods({ start: parameters => registry.answerStart(parameters, now()) }, logger)
 */
export function createCallMethods (handlers: CallHandlers, logger: EventLogger): AnswerRequest {
  const methods = new Map<string, Method>()
  for (const name of Object.keys(handlers) as CallName[]) {
    methods.set(name, createMethod(name, handlers[name] as Method))
  }

  function fail (request: JSONRPCRequest, failure: unknown): JSONRPCResponse {
    logger.warn('call failed', { reason: `${request.method}: ${String(failure)}` })
    const code = failure instanceof JSONRPCErrorException ? failure.code : JSONRPCErrorCode.InternalError
    const message = failure instanceof Error ? failure.message : String(failure)
    return createJSONRPCErrorResponse(request.id ?? null, code, message)
  }

  function succeed (request: JSONRPCRequest, result: unknown): JSONRPCResponse {
    return createJSONRPCSuccessResponse(request.id ?? null, result)
  }

  return (request, connection) => {
    const method = methods.get(request.method)
    if (method === undefined) {
      return createJSONRPCErrorResponse(request.id ?? null, JSONRPCErrorCode.MethodNotFound, 'Method not found')
    }
    try {
      const result = method(request.params, connection)
      if (!(result instanceof Promise)) return succeed(request, result)
      return result.then(value => succeed(request, value), (failure: unknown) => fail(request, failure))
    } catch (failure) {
      return fail(request, failure)
    }
  }
}
