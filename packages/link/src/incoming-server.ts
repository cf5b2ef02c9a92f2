/** The incoming side of a link: an HTTP server that accepts only signed JSON-RPC batches. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { endAnswer, type ClientGuard, type GuardedRequest } from '@baobabpost/client-limits'
import type { Logger, ProcessIdentity } from '@baobabpost/common'
import { LINK_SCHEMAS, MAXIMUM_LINK_BYTES, type LinkMessage, type LinkMethod } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import { isJSONRPCRequests, JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0'
import { LINK_HEADERS, LINK_PATH, MISDIRECTED_STATUS } from './outgoing-peer.js'
import { verifyBatch, type SignedSender } from './signature.js'

const KEEP_ALIVE_MILLISECONDS = 60_000
const REQUEST_TIMEOUT_MILLISECONDS = 10_000

export interface IncomingOptions {
  /** Identity of this process; batches addressed to another identity are rejected. */
  readonly identity: ProcessIdentity
  readonly keys: readonly string[]
  readonly logger: Logger
  readonly guard: ClientGuard
  readonly onMessage: (sender: SignedSender, message: LinkMessage) => void
}

/** Creates the JSON-RPC server that has one method for each kind of link message. */
function createMethods (options: IncomingOptions): JSONRPCServer<SignedSender> {
  const methods = new JSONRPCServer<SignedSender>({
    errorListener: (message, data) => { options.logger.error('link method failed', { reason: message, data: String(data) }) }
  })
  for (const method of Object.keys(LINK_SCHEMAS) as LinkMethod[]) {
    const decode = Schema.decodeUnknownResult(LINK_SCHEMAS[method])
    methods.addMethod(method, (parameters: unknown, sender: SignedSender) => {
      const decoded = decode(parameters)
      if (Result.isSuccess(decoded)) {
        options.onMessage(sender, { method, parameters: decoded.success } as LinkMessage)
      } else {
        options.logger.warn('link message does not match the schema of its method', { method, from: sender.identity })
      }
    })
  }
  return methods
}

function parseBatch (body: Buffer): JSONRPCRequest[] | undefined {
  try {
    const batch: unknown = JSON.parse(body.toString('utf8'))
    return isJSONRPCRequests(batch) ? batch : undefined
  } catch {
    return undefined
  }
}

function readSender (request: IncomingMessage): SignedSender | undefined {
  const identity = request.headers[LINK_HEADERS.identity]
  const address = request.headers[LINK_HEADERS.address]
  const addressee = request.headers[LINK_HEADERS.addressee]
  if (typeof identity !== 'string' || typeof address !== 'string') return undefined
  return typeof addressee === 'string' ? { identity, address, addressee } : { identity, address }
}

/**
 * Creates the HTTP server of a link without listening yet.
 *
 * Status codes: 204 accepted, 400 not a JSON-RPC batch, 401 wrong or missing signature, 404 unknown route, 413 body too
 * large, 421 addressed to another process, 503 no room for the body.
 */
export function createIncomingServer (options: IncomingOptions): Server {
  const methods = createMethods(options)

  function handle (request: IncomingMessage, response: ServerResponse, body: GuardedRequest): void {
    const sender = readSender(request)
    const signature = request.headers[LINK_HEADERS.signature]
    if (request.method !== 'POST' || request.url !== LINK_PATH) return refuse(request, response, 404)
    if (sender === undefined || typeof signature !== 'string') return refuse(request, response, 401)
    request.on('error', () => { request.destroy() })
    body.readBody({
      maximumBytes: MAXIMUM_LINK_BYTES,
      onTooLarge: () => { refuse(request, response, 413) },
      onRefused: () => { refuse(request, response, 503) },
      onWhole: bytes => {
        handleBatch(bytes, sender, signature, request, response)
        body.releaseBody()
      }
    })
  }

  function handleBatch (
    body: Buffer, sender: SignedSender, signature: string, request: IncomingMessage, response: ServerResponse
  ): void {
    if (!verifyBatch(options.keys, signature, sender, body)) return refuse(request, response, 401)
    const { addressee = options.identity } = sender
    if (addressee !== options.identity) return refuse(request, response, MISDIRECTED_STATUS)
    const batch = parseBatch(body)
    if (batch === undefined) return refuse(request, response, 400)
    methods.receive(batch, sender).then(() => {}, reportFailure)
    response.writeHead(204)
    endAnswer(response)
  }

  function reportFailure (failure: unknown): void {
    options.logger.error('link batch failed', { reason: String(failure) })
  }

  function refuse (request: IncomingMessage, response: ServerResponse, status: number): void {
    options.logger.warn('link request refused', { status, from: request.socket.remoteAddress })
    if (response.headersSent) return
    response.writeHead(status, { connection: 'close', 'content-length': 0 })
    endAnswer(response)
  }

  const server = createServer({ requestTimeout: REQUEST_TIMEOUT_MILLISECONDS })
  options.guard.serve(server, handle)
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS
  return server
}

/** Returns the identity of a sender whose signature was verified. */
export function senderIdentity (sender: SignedSender): ProcessIdentity {
  return sender.identity as ProcessIdentity
}
