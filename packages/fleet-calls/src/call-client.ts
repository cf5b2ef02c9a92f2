/** Client for calls to other processes: JSON-RPC over shared connections and HTTP, with a timeout for each call. */
import { Agent, request, type ClientRequest } from 'node:http'
import { silentLogger, type EventLogger } from '@baobabpost/common'
import { Result, Schema } from 'effect'
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0'
import { CallError } from './call-error.js'
import { CALL_PATH, CALLS, idleTimeoutOf, isShared, type CallAnswer, type CallName, type CallParameters } from './calls.js'
import { MAXIMUM_MESSAGE_BYTES } from './frames.js'
import { openSharedConnection, type CallRequest, type SharedConnection } from './shared-connection.js'

/** Idle time after which a connection is closed; shorter than the server's, which could close it during a call. */
const IDLE_TIMEOUT_MILLISECONDS = 30_000
/** Maximum size of an answer over plain HTTP, the same as of a read of the product's own log. */
const MAXIMUM_ANSWER_BYTES = 33_554_432
/** Time for which a server that did not upgrade is not asked again; its process may be replaced by a newer one. */
const PLAIN_SERVER_MILLISECONDS = 10_000

export interface CallClient {
  /**
   * Calls a process.
   *
   * @param address - `IP:PORT`.
   * @param timeoutMilliseconds - Time after which the call fails as `unanswered`. Its connection is closed too if it is
   * not shared, or if no byte has arrived on it since the call.
   * @param connectTimeoutMilliseconds - Time after which it fails if it needs a new connection that is not open; the
   * timeout of the call by default. For calls that are not shared.
   * @throws CallError
   * @example
   * await client.call('10.1.0.14:7720', 'watch', parameters, 500)
   */
  call: <Name extends CallName>(
    address: string, name: Name, parameters: CallParameters<Name>, timeoutMilliseconds: number,
    connectTimeoutMilliseconds?: number
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

/** Returns the message of an error, which a faulty server may leave out. */
function describeError (error: unknown): string {
  const message = typeof error === 'object' && error !== null && 'message' in error ? error.message : undefined
  return typeof message === 'string' ? message : 'an error without a message'
}

/**
 * Decodes the response to a call.
 *
 * @throws CallError
 * @example
 * const { verdicts } = readAnswer('start', response) as StartAnswer
 */
export function readAnswer (name: CallName, response: unknown): unknown {
  const isResponse = typeof response === 'object' && response !== null && isJSONRPCResponse(response)
  if (!isResponse) throw new CallError('rejected', `${name}: the answer is not a JSON-RPC response`)
  if (response.error !== undefined) throw new CallError('rejected', `${name}: ${describeError(response.error)}`)
  const decoded = decodeAnswer(name, response.result)
  if (Result.isFailure(decoded)) throw new CallError('rejected', `${name}: the result does not match the schema of the answer`)
  return decoded.success
}

/**
 * Creates a client that reuses its connections.
 *
 * @example
 * const client = createCallClient(logger)
 */
export function createCallClient (logger: EventLogger = silentLogger): CallClient {
  const agent = new Agent({ keepAlive: true, scheduling: 'lifo', timeout: IDLE_TIMEOUT_MILLISECONDS })
  const connections = new Map<string, SharedConnection>()
  /** Time up to which a server that did not upgrade gets plain requests, by address. */
  const plainUntil = new Map<string, number>()
  let lastId = 0
  let isClosed = false

  /** Destroys a request whose new connection is not open within a time. */
  function limitConnecting (outgoing: ClientRequest, milliseconds: number): void {
    outgoing.on('socket', socket => {
      if (!socket.connecting) return
      const timer = setTimeout(() => {
        outgoing.destroy(new CallError('unanswered', `no connection within ${milliseconds} ms`))
      }, milliseconds)
      socket.once('connect', () => { clearTimeout(timer) })
      socket.once('close', () => { clearTimeout(timer) })
    })
  }

  function post (
    address: string, { name, text: body, timeoutMilliseconds }: CallRequest, connectTimeoutMilliseconds?: number
  ): Promise<{ status: number, body: string }> {
    const idleTimeoutMilliseconds = idleTimeoutOf(name)
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
      if (connectTimeoutMilliseconds !== undefined) limitConnecting(outgoing, connectTimeoutMilliseconds)
      outgoing.on('error', (failure: NodeJS.ErrnoException) => {
        clearTimeout(timer)
        if (failure instanceof CallError) return reject(failure)
        reject(new CallError(failure.code === 'ECONNREFUSED' ? 'refused' : 'unanswered', failure.message))
      })
      outgoing.on('response', incoming => {
        let text = ''
        let bytes = 0
        incoming.setEncoding('utf8')
        incoming.on('data', (chunk: string) => {
          text += chunk
          bytes += Buffer.byteLength(chunk)
          if (bytes > MAXIMUM_ANSWER_BYTES) {
            outgoing.destroy(new CallError('rejected', `${name}: the answer is larger than ${MAXIMUM_ANSWER_BYTES} bytes`))
            return
          }
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
          reject(failure instanceof CallError ? failure : new CallError('unanswered', failure.message))
        })
      })
      outgoing.end(body)
    })
  }

  async function callPlain (
    address: string, call: CallRequest, connectTimeoutMilliseconds?: number
  ): Promise<unknown> {
    const { name } = call
    const { status, body: text } = await post(address, call, connectTimeoutMilliseconds)
    if (status !== 200) throw new CallError('rejected', `${name}: expected HTTP status 200, got ${status}`)
    try {
      return JSON.parse(text)
    } catch {
      throw new CallError('rejected', `${name}: the answer is not JSON`)
    }
  }

  function connectionTo (address: string): SharedConnection {
    const known = connections.get(address)
    if (known !== undefined) return known
    const forget = (): void => { if (connections.get(address) === connection) connections.delete(address) }
    const connection = openSharedConnection({
      address,
      onClosed: ({ reason, isFault }) => {
        forget()
        if (isFault) logger.warn('call connection closed', { address, reason })
      },
      onPlainServer: calls => {
        forget()
        plainUntil.set(address, performance.now() + PLAIN_SERVER_MILLISECONDS)
        for (const call of calls) call.settle(callPlain(address, call))
      }
    })
    connections.set(address, connection)
    return connection
  }

  function isPlainServer (address: string): boolean {
    const until = plainUntil.get(address)
    if (until === undefined) return false
    if (performance.now() < until) return true
    plainUntil.delete(address)
    return false
  }

  /** Sends a call. An address to which no connection can be opened, such as one with an odd port, does not answer. */
  async function exchange (
    address: string, call: CallRequest, connectTimeoutMilliseconds: number | undefined
  ): Promise<unknown> {
    try {
      return await send(address, call, connectTimeoutMilliseconds)
    } catch (failure) {
      throw failure instanceof CallError ? failure : new CallError('unanswered', String(failure))
    }
  }

  async function send (
    address: string, call: CallRequest, connectTimeoutMilliseconds: number | undefined
  ): Promise<unknown> {
    if (isClosed) throw new CallError('unanswered', 'the client is closed')
    if (!isShared(call.name) || isPlainServer(address)) return callPlain(address, call, connectTimeoutMilliseconds)
    if (Buffer.byteLength(call.text) > MAXIMUM_MESSAGE_BYTES) {
      throw new CallError('rejected', `${call.name}: the call is larger than ${MAXIMUM_MESSAGE_BYTES} bytes`)
    }
    return connectionTo(address).call(call)
  }

  return {
    call: async <Name extends CallName>(
      address: string, name: Name, parameters: CallParameters<Name>, timeoutMilliseconds: number,
      connectTimeoutMilliseconds?: number
    ) => {
      lastId += 1
      const text = JSON.stringify(createJSONRPCRequest(lastId, name, parameters))
      const response = await exchange(
        address, { name, id: lastId, text, timeoutMilliseconds }, connectTimeoutMilliseconds)
      return readAnswer(name, response) as CallAnswer<Name>
    },
    close: () => {
      isClosed = true
      for (const connection of [...connections.values()]) connection.close()
      agent.destroy()
    }
  }
}
