/** The incoming side of a link: an HTTP server that takes signed JSON-RPC batches and nothing else. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Logger, ProcessIdentity } from '@baobabpost/common'
import { LINK_SCHEMAS, MAXIMUM_LINK_BYTES, type LinkMessage, type LinkMethod } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import { isJSONRPCRequests, JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0'
import { LINK_HEADERS, LINK_PATH, MISDIRECTED_STATUS } from './outgoing-peer.js'
import { verifyBatch, type SignedSender } from './signature.js'

const KEEP_ALIVE_MILLISECONDS = 60_000
const REQUEST_TIMEOUT_MILLISECONDS = 10_000

/** What the incoming side needs. */
export interface IncomingOptions {
  /** Identity of this process: a batch that is meant for another is refused. */
  readonly identity: ProcessIdentity
  readonly keys: readonly string[]
  readonly logger: Logger
  readonly onMessage: (sender: SignedSender, message: LinkMessage) => void
}

/** Makes the JSON-RPC server whose methods are the messages of a link. */
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
        options.logger.warn('link message does not decode', { method, from: sender.identity })
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

function readSender (incoming: IncomingMessage): SignedSender | undefined {
  const identity = incoming.headers[LINK_HEADERS.identity]
  const address = incoming.headers[LINK_HEADERS.address]
  const addressee = incoming.headers[LINK_HEADERS.addressee]
  if (typeof identity !== 'string' || typeof address !== 'string') return undefined
  return typeof addressee === 'string' ? { identity, address, addressee } : { identity, address }
}

/**
 * Makes the HTTP server of a link; it does not listen yet.
 *
 * Answers: 204 taken in, 400 no JSON-RPC batch, 401 wrong or no signature, 404 another route, 413 too large,
 * 421 meant for another process.
 */
export function createIncomingServer (options: IncomingOptions): Server {
  const methods = createMethods(options)

  function handle (incoming: IncomingMessage, outgoing: ServerResponse): void {
    const sender = readSender(incoming)
    const signature = incoming.headers[LINK_HEADERS.signature]
    if (incoming.method !== 'POST' || incoming.url !== LINK_PATH) return refuse(incoming, outgoing, 404)
    if (sender === undefined || typeof signature !== 'string') return refuse(incoming, outgoing, 401)
    const chunks: Buffer[] = []
    let length = 0
    incoming.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length > MAXIMUM_LINK_BYTES) {
        incoming.removeAllListeners('data')
        refuse(incoming, outgoing, 413)
      } else {
        chunks.push(chunk)
      }
    })
    incoming.on('error', () => { incoming.destroy() })
    incoming.on('end', () => {
      if (outgoing.writableEnded) return
      take(Buffer.concat(chunks), sender, signature, incoming, outgoing)
    })
  }

  function take (
    body: Buffer, sender: SignedSender, signature: string, incoming: IncomingMessage, outgoing: ServerResponse
  ): void {
    if (!verifyBatch(options.keys, signature, sender, body)) return refuse(incoming, outgoing, 401)
    const { addressee = options.identity } = sender
    if (addressee !== options.identity) return refuse(incoming, outgoing, MISDIRECTED_STATUS)
    const batch = parseBatch(body)
    if (batch === undefined) return refuse(incoming, outgoing, 400)
    methods.receive(batch, sender).then(() => {}, reportFailure)
    outgoing.writeHead(204).end()
  }

  function reportFailure (failure: unknown): void {
    options.logger.error('link batch failed', { reason: String(failure) })
  }

  function refuse (incoming: IncomingMessage, outgoing: ServerResponse, status: number): void {
    options.logger.warn('link request refused', { status, from: incoming.socket.remoteAddress })
    outgoing.writeHead(status, { connection: 'close' }).end()
    incoming.resume()
  }

  const server = createServer({ requestTimeout: REQUEST_TIMEOUT_MILLISECONDS }, handle)
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS
  return server
}

/** Type of the identities that a verified sender may have. */
export function senderIdentity (sender: SignedSender): ProcessIdentity {
  return sender.identity as ProcessIdentity
}
