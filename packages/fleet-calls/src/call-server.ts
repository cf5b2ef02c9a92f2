/** Answers calls of other processes: JSON-RPC over HTTP. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { EventLogger } from '@baobabpost/common'
import { Result, Schema } from 'effect'
import { isJSONRPCRequest, JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0'
import { CALLS, type CallConnection, type CallHandlers, type CallName } from './calls.js'

/** Path of the calls. */
export const CALL_PATH = '/calls'
/** Largest body: a start of 2,000 tasks with the longest specification takes less. */
const MAXIMUM_BODY_BYTES = 1_048_576
/** Time after which an idle connection is closed; callers close theirs earlier. */
const KEEP_ALIVE_MILLISECONDS = 60_000

function createMethods (handlers: CallHandlers, logger: EventLogger): JSONRPCServer<CallConnection> {
  const methods = new JSONRPCServer<CallConnection>({
    errorListener: (reason, data) => { logger.warn('call failed', { reason, data: String(data) }) }
  })
  for (const name of Object.keys(handlers) as CallName[]) {
    const decode = Schema.decodeUnknownResult(CALLS[name].parameters)
    const handle = handlers[name] as (parameters: unknown, connection: CallConnection) => unknown
    methods.addMethod(name, (parameters: unknown, connection: CallConnection) => {
      const decoded = decode(parameters)
      if (Result.isSuccess(decoded)) return handle(decoded.success, connection)
      throw new JSONRPCErrorException(`parameters of ${name} do not decode`, JSONRPCErrorCode.InvalidParams)
    })
  }
  return methods
}

function connectionOf (outgoing: ServerResponse): CallConnection {
  return {
    onLost: callback => {
      outgoing.on('close', () => { if (!outgoing.writableFinished) callback() })
    }
  }
}

function parse (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch {
    return undefined
  }
}

/**
 * Makes the HTTP server that answers calls; it does not listen yet.
 *
 * Statuses: 200 with a JSON-RPC response, 400 for another body, 404 for another path, 413 for a body too large.
 *
 * @example
 * createCallServer({ announce: ({ member }) => ({ members: fleet.add(member) }) }, logger).listen(7720, '10.1.0.13')
 */
export function createCallServer (handlers: CallHandlers, logger: EventLogger): Server {
  const methods = createMethods(handlers, logger)

  async function take (body: string, outgoing: ServerResponse): Promise<void> {
    const call = parse(body)
    if (!isJSONRPCRequest(call)) return end(outgoing, 400, '')
    const response = await methods.receive(call, connectionOf(outgoing))
    end(outgoing, 200, JSON.stringify(response))
  }

  function handle (incoming: IncomingMessage, outgoing: ServerResponse): void {
    outgoing.sendDate = false
    if (incoming.method !== 'POST' || incoming.url !== CALL_PATH) {
      incoming.resume()
      return end(outgoing, 404, '')
    }
    let body = ''
    incoming.setEncoding('utf8')
    incoming.on('data', (chunk: string) => {
      body += chunk
      if (body.length <= MAXIMUM_BODY_BYTES) return
      incoming.removeAllListeners('data').resume()
      end(outgoing, 413, '')
    })
    incoming.on('end', () => {
      if (outgoing.writableEnded) return
      take(body, outgoing).catch((failure: unknown) => {
        logger.error('call failed', { reason: String(failure) })
        end(outgoing, 500, '')
      })
    })
  }

  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MILLISECONDS }, handle)
  server.on('clientError', (_failure, socket) => { socket.destroy() })
  return server
}

function end (outgoing: ServerResponse, status: number, body: string): void {
  if (outgoing.destroyed || outgoing.writableEnded) return
  outgoing.writeHead(status, { 'content-length': Buffer.byteLength(body) })
  outgoing.end(body)
}
