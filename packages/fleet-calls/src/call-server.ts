/** Server for calls of other processes: JSON-RPC over shared connections, and over plain HTTP requests. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createDefaultGuard, endAnswer, type GuardedRequest } from '@baobabpost/client-limits'
import type { EventLogger } from '@baobabpost/common'
import { isJSONRPCRequest } from 'json-rpc-2.0'
import { createCallMethods } from './call-methods.js'
import { CALL_PATH, type CallConnection, type CallHandlers } from './calls.js'
import { acceptSharedConnections } from './shared-call-server.js'

/** Maximum body size; a start of 2,000 tasks with the longest specification is smaller. */
const MAXIMUM_BODY_BYTES = 1_048_576
/** Idle time after which a connection is closed; clients close theirs earlier. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 60_000

function createConnection (outgoing: ServerResponse): CallConnection {
  return {
    onLost: callback => {
      outgoing.on('close', () => { if (!outgoing.writableFinished) callback() })
    }
  }
}

function parseJson (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch {
    return undefined
  }
}

/**
 * Creates the HTTP server that answers calls; it does not listen yet. Clients may upgrade a connection to a shared one.
 *
 * Statuses: 200 with a JSON-RPC response, 400 if the body is not a JSON-RPC request, 404 for another method or path,
 * 413 if the body is too large, 500 for a fault in the server, 503 if there is no room for the body.
 *
 * @param guard - Limits on what its clients may make the process hold.
 * @example
 * createCallServer({ announce: parameters => directory.handleAnnounce(parameters) }, logger).listen(7720, '10.1.0.13')
 */
export function createCallServer (
  handlers: CallHandlers, logger: EventLogger, guard = createDefaultGuard('calls')
): Server {
  const answer = createCallMethods(handlers, logger)

  async function answerCall (body: string, outgoing: ServerResponse): Promise<void> {
    const call = parseJson(body)
    if (typeof call !== 'object' || call === null || !isJSONRPCRequest(call)) return sendResponse(outgoing, 400, '')
    const response = await answer(call, createConnection(outgoing))
    sendResponse(outgoing, 200, JSON.stringify(response))
  }

  function handleRequest (incoming: IncomingMessage, outgoing: ServerResponse, request: GuardedRequest): void {
    outgoing.sendDate = false
    if (incoming.method !== 'POST' || incoming.url !== CALL_PATH) return sendResponse(outgoing, 404, '')
    request.readBody({
      maximumBytes: MAXIMUM_BODY_BYTES,
      onTooLarge: () => { sendResponse(outgoing, 413, '') },
      onRefused: () => { sendResponse(outgoing, 503, '') },
      onWhole: body => {
        const text = body.toString('utf8')
        request.releaseBody()
        answerCall(text, outgoing).catch((failure: unknown) => {
          logger.error('call failed', { reason: String(failure) })
          sendResponse(outgoing, 500, '')
        })
      }
    })
  }

  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS })
  guard.serve(server, handleRequest)
  server.on('clientError', (_failure, socket) => { socket.destroy() })
  acceptSharedConnections(server, answer, logger, guard)
  return server
}

function sendResponse (outgoing: ServerResponse, status: number, body: string): void {
  if (outgoing.destroyed || outgoing.headersSent) return
  outgoing.writeHead(status, { 'content-length': Buffer.byteLength(body) })
  endAnswer(outgoing, body)
}
