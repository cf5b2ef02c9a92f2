/** Answers the calls that arrive on shared connections: HTTP connections that were upgraded to frames. */
import type { IncomingMessage, Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { ClientGuard } from '@baobabpost/client-limits'
import type { EventLogger } from '@baobabpost/common'
import {
  createJSONRPCErrorResponse, isJSONRPCRequest, JSONRPCErrorCode, type JSONRPCRequest, type JSONRPCResponse
} from 'json-rpc-2.0'
import type { AnswerRequest } from './call-methods.js'
import { CALL_PATH, UPGRADE_PROTOCOL, type CallConnection } from './calls.js'
import { createFrameConnection, type ConnectionEnd, type FrameConnection } from './frame-connection.js'
import { FrameError, MAXIMUM_MESSAGE_BYTES } from './frames.js'

/** Time without a byte after which a connection is closed; clients without calls close theirs earlier. */
const IDLE_MILLISECONDS = 60_000
/** Largest number of calls in progress on a connection, to bound a faulty client; an entry has one watch. */
const MAXIMUM_CALLS_IN_PROGRESS = 1_000
/** Charge for a call in progress: its parameters and callbacks. */
const CALL_BYTES = 2_048

const UPGRADE_ACCEPTED = [
  'HTTP/1.1 101 Switching Protocols', 'Connection: Upgrade', `Upgrade: ${UPGRADE_PROTOCOL}`, '', ''
].join('\r\n')
const UPGRADE_REFUSED = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/** Parses a message of the client. */
function parseRequest (text: string): JSONRPCRequest {
  let request: unknown
  try {
    request = JSON.parse(text)
  } catch {
    throw new FrameError('a message is not JSON')
  }
  if (isJSONRPCRequest(request) && request.id !== undefined) return request
  throw new FrameError('a message is not a JSON-RPC request')
}

function formatResponse (response: JSONRPCResponse): string {
  const text = JSON.stringify(response)
  if (Buffer.byteLength(text) <= MAXIMUM_MESSAGE_BYTES) return text
  return JSON.stringify(createJSONRPCErrorResponse(
    response.id, JSONRPCErrorCode.InternalError, `the answer is larger than ${MAXIMUM_MESSAGE_BYTES} bytes`))
}

/**
 * Makes a server accept shared connections. `closeAllConnections` of the server closes them too.
 *
 * @example
 * acceptSharedConnections(server, createCallMethods(handlers, logger), logger, guard)
 */
export function acceptSharedConnections (
  server: Server, answer: AnswerRequest, logger: EventLogger, guard: ClientGuard
): void {
  const connections = new Set<FrameConnection>()

  function serve (socket: Duplex, head: Buffer, address: string): void {
    /** Callbacks of the calls in progress for the loss of the connection. */
    const callsInProgress = new Set<Set<() => void>>()
    const client = guard.findConnection(socket as Socket)
    let incompleteBytes = 0
    let unsentBytes = 0
    let chargedBytes = 0

    function updateClient (): void {
      const working = callsInProgress.size
      client?.setPhases({ reading: incompleteBytes > 0 ? 1 : 0, working, unread: unsentBytes > 0 ? 1 : 0 })
      const change = incompleteBytes + unsentBytes + CALL_BYTES * working - chargedBytes
      chargedBytes += change
      if (change !== 0) client?.addHeldBytes(change)
    }

    function handleRequest (request: JSONRPCRequest): void {
      if (callsInProgress.size >= MAXIMUM_CALLS_IN_PROGRESS) throw new FrameError('too many calls in progress')
      const lossCallbacks = new Set<() => void>()
      const callConnection: CallConnection = { onLost: callback => { lossCallbacks.add(callback) } }
      const response = answer(request, callConnection)
      if (!(response instanceof Promise)) return connection.send(formatResponse(response))
      callsInProgress.add(lossCallbacks)
      updateClient()
      response.then(value => {
        callsInProgress.delete(lossCallbacks)
        updateClient()
        connection.send(formatResponse(value))
      }).catch((failure: unknown) => { logger.error('call failed', { reason: String(failure) }) })
    }

    function handleClosed (end: ConnectionEnd): void {
      connections.delete(connection)
      if (end.isFault) logger.warn('call connection closed', { address, reason: end.reason })
      const calls = [...callsInProgress]
      callsInProgress.clear()
      try {
        for (const callbacks of calls) for (const callback of callbacks) callback()
      } catch (failure) {
        logger.error('call failed', { reason: String(failure) })
      }
    }

    const connection = createFrameConnection(socket, {
      head,
      idleMilliseconds: IDLE_MILLISECONDS,
      onMessage: text => { handleRequest(parseRequest(text)) },
      onIdle: () => { connection.close({ reason: 'idle', isFault: false }) },
      onHeldBytes: (incomplete, unsent) => {
        incompleteBytes = incomplete
        unsentBytes = unsent
        updateClient()
      },
      onClosed: handleClosed
    })
    connections.add(connection)
    updateClient()
  }

  server.on('upgrade', (incoming: IncomingMessage, socket: Duplex, head: Buffer) => {
    // The HTTP server's own handler of errors is removed from a socket with its upgrade.
    socket.on('error', () => { socket.destroy() })
    if (incoming.url !== CALL_PATH || incoming.headers.upgrade !== UPGRADE_PROTOCOL) {
      socket.end(UPGRADE_REFUSED, () => { socket.destroy() })
      return
    }
    socket.write(UPGRADE_ACCEPTED)
    serve(socket, head, incoming.socket.remoteAddress ?? '')
  })
  const closeHttpConnections = server.closeAllConnections.bind(server)
  server.closeAllConnections = () => {
    closeHttpConnections()
    for (const connection of [...connections]) connection.close({ reason: 'the server closes', isFault: false })
  }
}
