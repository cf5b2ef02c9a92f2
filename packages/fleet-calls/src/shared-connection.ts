/** The client's end of a shared connection: many calls to one process at once, each with its own timeout. */
import { request as sendHttpRequest, type ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'
import { isJSONRPCResponse } from 'json-rpc-2.0'
import { CallError, type CallFailure } from './call-error.js'
import { CALL_PATH, UPGRADE_PROTOCOL, type CallName } from './calls.js'
import { createFrameConnection, type ConnectionEnd, type FrameConnection } from './frame-connection.js'
import { FrameError } from './frames.js'

/** Time without a byte after which a connection without calls is closed; shorter than the server's. */
const IDLE_MILLISECONDS = 30_000

/** A call as it is sent. */
export interface CallRequest {
  readonly name: CallName
  readonly id: number
  /** JSON-RPC request with this id. */
  readonly text: string
  readonly timeoutMilliseconds: number
}

export interface SharedConnection {
  /**
   * Sends a request and resolves to the response.
   *
   * @throws CallError
   */
  call: (request: CallRequest) => Promise<unknown>
  /** Fails all calls in progress as `unanswered`. */
  close: () => void
}

export interface SharedConnectionOptions {
  /** `IP:PORT`. */
  readonly address: string
  /** Called once, when the connection can't be used any more. */
  readonly onClosed: (end: ConnectionEnd) => void
  /** Called instead of `onClosed` if the server does not upgrade; the calls in progress are handed over. */
  readonly onPlainServer: (calls: readonly UnsentCall[]) => void
}

/** A call in progress whose server takes only plain requests. */
export interface UnsentCall extends CallRequest {
  readonly settle: (response: Promise<unknown>) => void
}

interface CallInProgress {
  readonly request: CallRequest
  readonly sentAt: number
  readonly timer: ReturnType<typeof setTimeout>
  readonly resolve: (response: unknown) => void
  readonly reject: (failure: CallError) => void
}

function parseResponse (text: string): { readonly id: unknown } {
  let response: unknown
  try {
    response = JSON.parse(text)
  } catch {
    throw new FrameError('a message is not JSON')
  }
  if (!isJSONRPCResponse(response)) throw new FrameError('a message is not a JSON-RPC response')
  return response
}

/**
 * Opens a connection to a server; calls that are made meanwhile wait for it within their timeouts.
 *
 * @example
 * const connection = openSharedConnection({ address: '10.1.0.14:7720', onClosed, onPlainServer })
 * await connection.call({ name: 'watch', id: 1, text, timeoutMilliseconds: 500 })
 */
export function openSharedConnection (options: SharedConnectionOptions): SharedConnection {
  const calls = new Map<unknown, CallInProgress>()
  let frames: FrameConnection | undefined
  let isClosed = false
  let lastByteAt = -Infinity

  function takeCalls (): CallInProgress[] {
    const taken = [...calls.values()]
    calls.clear()
    for (const { timer } of taken) clearTimeout(timer)
    return taken
  }

  function fail (failure: CallFailure, end: ConnectionEnd): void {
    if (isClosed) return
    isClosed = true
    opening.destroy()
    options.onClosed(end)
    for (const { reject } of takeCalls()) reject(new CallError(failure, end.reason))
  }

  function close (end: ConnectionEnd): void {
    if (frames === undefined) fail('unanswered', end)
    else frames.close(end)
  }

  function handleMessage (text: string): void {
    const response = parseResponse(text)
    const call = calls.get(response.id)
    // The call has timed out.
    if (call === undefined) return
    calls.delete(response.id)
    clearTimeout(call.timer)
    call.resolve(response)
  }

  function handleTimeout (id: number, call: CallInProgress): void {
    if (calls.get(id) !== call) return
    const reason = `no answer within ${Math.round(call.request.timeoutMilliseconds)} ms`
    if (frames === undefined || lastByteAt <= call.sentAt) {
      return close({ reason: `silent: ${reason}`, isFault: frames !== undefined })
    }
    calls.delete(id)
    call.reject(new CallError('unanswered', reason))
  }

  function call (request: CallRequest): Promise<unknown> {
    const { id, text, timeoutMilliseconds } = request
    return new Promise((resolve, reject) => {
      if (isClosed) return reject(new CallError('unanswered', 'the connection is closed'))
      // What has arrived is read before the timeout is applied: this process may itself have been held up.
      const timer = setTimeout(() => { setImmediate(handleTimeout, id, entry) }, timeoutMilliseconds)
      const entry: CallInProgress = { request, sentAt: performance.now(), timer, resolve, reject }
      calls.set(id, entry)
      frames?.send(text)
    })
  }

  function handOver (): void {
    isClosed = true
    const now = performance.now()
    options.onPlainServer(takeCalls().map(({ request, sentAt, resolve, reject }) => ({
      ...request,
      timeoutMilliseconds: Math.max(1, sentAt + request.timeoutMilliseconds - now),
      settle: response => { response.then(resolve, reject) }
    })))
  }

  function handleUpgrade (socket: Duplex, head: Buffer): void {
    if (isClosed) {
      socket.on('error', () => {}).destroy()
      return
    }
    frames = createFrameConnection(socket, {
      head,
      idleMilliseconds: IDLE_MILLISECONDS,
      onBytes: () => { lastByteAt = performance.now() },
      onMessage: handleMessage,
      onIdle: () => { if (calls.size === 0) close({ reason: 'idle', isFault: false }) },
      onClosed: end => { fail('unanswered', end) }
    })
    for (const { request } of calls.values()) frames.send(request.text)
  }

  function open (): ClientRequest {
    const separator = options.address.lastIndexOf(':')
    const outgoing = sendHttpRequest({
      agent: false,
      host: options.address.slice(0, separator),
      port: Number(options.address.slice(separator + 1)),
      path: CALL_PATH,
      headers: { connection: 'Upgrade', upgrade: UPGRADE_PROTOCOL }
    })
    outgoing.on('upgrade', (_incoming, socket, head) => { handleUpgrade(socket, head) })
    outgoing.on('response', incoming => {
      incoming.on('error', () => {})
      incoming.resume()
      if (isClosed) return
      handOver()
      outgoing.destroy()
    })
    outgoing.on('error', (failure: NodeJS.ErrnoException) => {
      fail(failure.code === 'ECONNREFUSED' ? 'refused' : 'unanswered', { reason: failure.message, isFault: false })
    })
    outgoing.end()
    return outgoing
  }

  const opening = open()
  return { call, close: () => { close({ reason: 'the client closes', isFault: false }) } }
}
