/** Client for calls to other processes: JSON-RPC over HTTP keep-alive connections, with a timeout for each call. */
import { Agent, request } from 'node:http'
import { Result, Schema } from 'effect'
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0'
import { CallError } from './call-error.js'
import { CALL_PATH } from './call-server.js'
import { CALLS, idleTimeoutOf, type CallAnswer, type CallName, type CallParameters } from './calls.js'

/** Idle time after which a connection is closed; shorter than the server's, which could close it during a call. */
const IDLE_TIMEOUT_MILLISECONDS = 30_000

export interface CallClient {
  /**
   * Calls a process.
   *
   * @param address - `IP:PORT`.
   * @param timeoutMilliseconds - Time after which the connection is closed and the call fails as `unanswered`.
   * @throws CallError
   * @example
   * await client.call('10.1.0.14:7720', 'watch', parameters, 500)
   */
  call: <Name extends CallName>(
    address: string, name: Name, parameters: CallParameters<Name>, timeoutMilliseconds: number
  ) => Promise<CallAnswer<Name>>
  close: () => void
}

const ANSWER_DECODERS = new Map<CallName, (value: unknown) => Result.Result<unknown, unknown>>()

function decodeAnswer (name: CallName, value: unknown): Result.Result<unknown, unknown> {
  let decode = ANSWER_DECODERS.get(name)
  if (decode === undefined) {
    decode = Schema.decodeUnknownResult(CALLS[name].answer)
    ANSWER_DECODERS.set(name, decode)
  }
  return decode(value)
}

function readAnswer (name: CallName, status: number, body: string): unknown {
  if (status !== 200) throw new CallError('rejected', `${name}: expected HTTP status 200, got ${status}`)
  let response: unknown
  try {
    response = JSON.parse(body)
  } catch {
    throw new CallError('rejected', `${name}: the answer is not JSON`)
  }
  if (!isJSONRPCResponse(response)) throw new CallError('rejected', `${name}: the answer is not a JSON-RPC response`)
  if (response.error !== undefined) throw new CallError('rejected', `${name}: ${response.error.message}`)
  const decoded = decodeAnswer(name, response.result)
  if (Result.isFailure(decoded)) throw new CallError('rejected', `${name}: the result does not match the schema of the answer`)
  return decoded.success
}

/**
 * Creates a client that reuses its connections.
 *
 * @example
 * const client = createCallClient()
 */
export function createCallClient (): CallClient {
  const agent = new Agent({ keepAlive: true, scheduling: 'lifo', timeout: IDLE_TIMEOUT_MILLISECONDS })
  let lastId = 0

  function post (
    address: string, body: string, timeoutMilliseconds: number, idleTimeoutMilliseconds: number | undefined
  ): Promise<{ status: number, body: string }> {
    const separator = address.lastIndexOf(':')
    return new Promise((resolve, reject) => {
      const outgoing = request({
        agent,
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        method: 'POST',
        path: CALL_PATH,
        headers: { 'content-length': Buffer.byteLength(body) }
      })
      const timeOutAfter = (milliseconds: number): ReturnType<typeof setTimeout> => setTimeout(() => {
        outgoing.destroy(new CallError('unanswered', `no answer within ${milliseconds} ms`))
      }, milliseconds)
      let timer = timeOutAfter(timeoutMilliseconds)
      outgoing.on('error', (failure: NodeJS.ErrnoException) => {
        clearTimeout(timer)
        if (failure instanceof CallError) return reject(failure)
        reject(new CallError(failure.code === 'ECONNREFUSED' ? 'refused' : 'unanswered', failure.message))
      })
      outgoing.on('response', incoming => {
        let text = ''
        incoming.setEncoding('utf8')
        incoming.on('data', (chunk: string) => {
          text += chunk
          if (idleTimeoutMilliseconds === undefined) return
          clearTimeout(timer)
          timer = timeOutAfter(idleTimeoutMilliseconds)
        })
        incoming.on('end', () => {
          clearTimeout(timer)
          resolve({ status: incoming.statusCode ?? 0, body: text })
        })
        incoming.on('error', failure => {
          clearTimeout(timer)
          reject(new CallError('unanswered', failure.message))
        })
      })
      outgoing.end(body)
    })
  }

  return {
    call: async <Name extends CallName>(
      address: string, name: Name, parameters: CallParameters<Name>, timeoutMilliseconds: number
    ) => {
      lastId += 1
      const body = JSON.stringify(createJSONRPCRequest(lastId, name, parameters))
      const answer = await post(address, body, timeoutMilliseconds, idleTimeoutOf(name))
      return readAnswer(name, answer.status, answer.body) as CallAnswer<Name>
    },
    close: () => { agent.destroy() }
  }
}
