/** The outgoing side of a link to one address: batches the messages of one turn of the event loop into one request. */
import { Agent, request, type ClientRequest, type RequestOptions } from 'node:http'
import type { Logger, ProcessIdentity } from '@baobabpost/common'
import { createJSONRPCNotification } from 'json-rpc-2.0'
import type { LinkMessage } from '@baobabpost/messages'
import { signBatch } from './signature.js'

/** Maximum number of concurrent requests to one peer. */
const MAXIMUM_REQUESTS_PER_PEER = 4
/** Limit per peer; further messages are dropped, which is safe because senders expect that any message may be lost. */
const MAXIMUM_QUEUED_MESSAGES = 20_000
const MAXIMUM_BATCH_MESSAGES = 500
const REQUEST_TIMEOUT_MILLISECONDS = 2_000

/** Status that rejects a batch addressed to another process, such as the previous process at the same address. */
export const MISDIRECTED_STATUS = 421
/** HTTP path that receives batches. */
export const LINK_PATH = '/link'
/** Headers that identify and authenticate the sender of a batch. */
export const LINK_HEADERS = {
  identity: 'x-baobabpost-identity',
  address: 'x-baobabpost-address',
  addressee: 'x-baobabpost-to',
  signature: 'x-baobabpost-signature'
} as const

export interface OutgoingPeerOptions {
  readonly identity: ProcessIdentity
  readonly ownAddress: string
  readonly peerAddress: string
  /** Identity that the messages are addressed to; undefined for whichever process listens at the address. */
  readonly addressee: ProcessIdentity | undefined
  readonly key: string
  readonly logger: Logger
  /** Called for each batch that is sent, with the number of its messages and the length of its body. */
  readonly onSent: (messages: number, bytes: number) => void
  /** Called with messages that certainly were not processed by the addressee. */
  readonly onUndelivered: (messages: readonly LinkMessage[]) => void
}

export interface OutgoingPeer {
  readonly addressee: ProcessIdentity | undefined
  send: (message: LinkMessage) => void
  /** Resolves once no message is queued and no request is active. */
  drained: () => Promise<void>
  close: () => void
}

export function createOutgoingPeer (options: OutgoingPeerOptions): OutgoingPeer {
  const agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_REQUESTS_PER_PEER, scheduling: 'lifo' })
  const separator = options.peerAddress.lastIndexOf(':')
  const host = options.peerAddress.slice(0, separator)
  const port = Number(options.peerAddress.slice(separator + 1))
  let queuedMessages: LinkMessage[] = []
  let activeRequests = 0
  let isFlushScheduled = false
  let idleCallbacks: Array<() => void> = []

  function send (message: LinkMessage): void {
    if (queuedMessages.length >= MAXIMUM_QUEUED_MESSAGES) return
    queuedMessages.push(message)
    scheduleFlush()
  }

  function scheduleFlush (): void {
    if (isFlushScheduled) return
    isFlushScheduled = true
    setImmediate(flush)
  }

  function flush (): void {
    isFlushScheduled = false
    while (queuedMessages.length > 0 && activeRequests < MAXIMUM_REQUESTS_PER_PEER) {
      const batch = queuedMessages.slice(0, MAXIMUM_BATCH_MESSAGES)
      queuedMessages = queuedMessages.slice(batch.length)
      post(batch)
    }
  }

  /** Formats messages as a batch, without those that can't be formatted. */
  function formatBatch (messages: readonly LinkMessage[]): string {
    const texts: string[] = []
    for (const { method, parameters } of messages) {
      try {
        texts.push(JSON.stringify(createJSONRPCNotification(method, parameters)))
      } catch (failure) {
        options.logger.error('link message dropped: it can not be formatted', { method, reason: String(failure) })
      }
    }
    return `[${texts.join()}]`
  }

  /** Creates a request, or returns undefined if its address can't be connected to, which throws at once. */
  function createRequest (settings: RequestOptions): ClientRequest | undefined {
    try {
      return request(settings)
    } catch (failure) {
      options.logger.warn('link batch failed', { peer: options.peerAddress, reason: String(failure) })
      return undefined
    }
  }

  function post (batch: readonly LinkMessage[]): void {
    const body = formatBatch(batch)
    const { addressee } = options
    const addresseeField = addressee === undefined ? {} : { addressee }
    const sender = { identity: options.identity, address: options.ownAddress, ...addresseeField }
    let isConnected = false
    let isSettled = false
    activeRequests += 1
    options.onSent(batch.length, body.length)

    const outgoingRequest = createRequest({
      host,
      port,
      agent,
      method: 'POST',
      path: LINK_PATH,
      timeout: REQUEST_TIMEOUT_MILLISECONDS,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        [LINK_HEADERS.identity]: sender.identity,
        [LINK_HEADERS.address]: sender.address,
        ...(addressee === undefined ? {} : { [LINK_HEADERS.addressee]: addressee }),
        [LINK_HEADERS.signature]: signBatch(options.key, sender, body)
      }
    })
    if (outgoingRequest === undefined) {
      setImmediate(() => {
        options.onUndelivered(batch)
        settle()
      })
      return
    }
    outgoingRequest.on('socket', socket => {
      if (!socket.connecting) isConnected = true
      else socket.once('connect', () => { isConnected = true })
    })
    outgoingRequest.on('timeout', () => { outgoingRequest.destroy(new Error('timeout')) })
    outgoingRequest.on('response', response => {
      response.resume()
      if (response.statusCode !== 204) {
        options.logger.warn('link batch refused', { peer: options.peerAddress, status: response.statusCode })
      }
      if (response.statusCode === MISDIRECTED_STATUS) options.onUndelivered(batch)
      response.on('close', settle)
    })
    outgoingRequest.on('error', (failure: NodeJS.ErrnoException) => {
      options.logger.debug('link batch failed', { peer: options.peerAddress, reason: failure.message })
      if (!isConnected && failure.code === 'ECONNREFUSED') options.onUndelivered(batch)
      settle()
    })
    outgoingRequest.end(body)

    function settle (): void {
      if (isSettled) return
      isSettled = true
      activeRequests -= 1
      if (queuedMessages.length > 0) scheduleFlush()
      else if (activeRequests === 0) notifyIdle()
    }
  }

  function notifyIdle (): void {
    const callbacks = idleCallbacks
    idleCallbacks = []
    for (const callback of callbacks) callback()
  }

  return {
    addressee: options.addressee,
    send,
    drained: () => new Promise(resolve => {
      if (queuedMessages.length === 0 && activeRequests === 0) resolve()
      else idleCallbacks.push(resolve)
    }),
    close: () => { agent.destroy() }
  }
}
