/** The outgoing side of a link to one address: coalesces what is ready in a turn of the loop into one request. */
import { Agent, request } from 'node:http'
import type { Logger, ProcessIdentity } from '@baobabpost/common'
import { createJSONRPCNotification } from 'json-rpc-2.0'
import type { LinkMessage } from '@baobabpost/messages'
import { signBatch } from './signature.js'

/** Requests that may be under way to one peer at a time. */
const MAXIMUM_REQUESTS_PER_PEER = 4
/** Messages that may wait for one peer; a message beyond them is dropped, as any message may be lost. */
const MAXIMUM_WAITING_MESSAGES = 20_000
/** Messages of one batch. */
const MAXIMUM_BATCH_MESSAGES = 500
const REQUEST_TIMEOUT_MILLISECONDS = 2_000

/** Status by which a process refuses a batch that is meant for another, such as the one that ran there before it. */
export const MISDIRECTED_STATUS = 421
/** Path at which links listen. */
export const LINK_PATH = '/link'
/** Headers by which a batch names and proves its sender. */
export const LINK_HEADERS = {
  identity: 'x-baobabpost-identity',
  address: 'x-baobabpost-address',
  addressee: 'x-baobabpost-to',
  signature: 'x-baobabpost-signature'
} as const

/** What the outgoing side needs. */
export interface OutgoingPeerOptions {
  readonly identity: ProcessIdentity
  readonly ownAddress: string
  readonly peerAddress: string
  /** Identity that the messages are meant for; undefined for whichever process listens there. */
  readonly addressee: ProcessIdentity | undefined
  readonly key: string
  readonly logger: Logger
  /** Told of each batch that is sent, with its bytes. */
  readonly onSent: (messages: number, bytes: number) => void
  /** Told of messages that provably were not taken in. */
  readonly onUndelivered: (messages: readonly LinkMessage[]) => void
}

/** The outgoing side of a link to one address. */
export interface OutgoingPeer {
  readonly addressee: ProcessIdentity | undefined
  send: (message: LinkMessage) => void
  /** Resolves once nothing waits or is under way. */
  drained: () => Promise<void>
  close: () => void
}

/** Makes the outgoing side of a link to one address. */
export function createOutgoingPeer (options: OutgoingPeerOptions): OutgoingPeer {
  const agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_REQUESTS_PER_PEER, scheduling: 'lifo' })
  const separator = options.peerAddress.lastIndexOf(':')
  const host = options.peerAddress.slice(0, separator)
  const port = Number(options.peerAddress.slice(separator + 1))
  let waiting: LinkMessage[] = []
  let requests = 0
  let flushPlanned = false
  let idleCallbacks: Array<() => void> = []

  function send (message: LinkMessage): void {
    if (waiting.length >= MAXIMUM_WAITING_MESSAGES) return
    waiting.push(message)
    planFlush()
  }

  function planFlush (): void {
    if (flushPlanned) return
    flushPlanned = true
    setImmediate(flush)
  }

  function flush (): void {
    flushPlanned = false
    while (waiting.length > 0 && requests < MAXIMUM_REQUESTS_PER_PEER) {
      const batch = waiting.slice(0, MAXIMUM_BATCH_MESSAGES)
      waiting = waiting.slice(batch.length)
      post(batch)
    }
  }

  function post (batch: readonly LinkMessage[]): void {
    const body = JSON.stringify(batch.map(message => createJSONRPCNotification(message.method, message.parameters)))
    const { addressee } = options
    const named = addressee === undefined ? {} : { addressee }
    const sender = { identity: options.identity, address: options.ownAddress, ...named }
    let connected = false
    let settled = false
    requests += 1
    options.onSent(batch.length, body.length)

    const outgoing = request({
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
    outgoing.on('socket', socket => {
      if (!socket.connecting) connected = true
      else socket.once('connect', () => { connected = true })
    })
    outgoing.on('timeout', () => { outgoing.destroy(new Error('timeout')) })
    outgoing.on('response', response => {
      response.resume()
      if (response.statusCode !== 204) {
        options.logger.warn('link batch refused', { peer: options.peerAddress, status: response.statusCode })
      }
      if (response.statusCode === MISDIRECTED_STATUS) options.onUndelivered(batch)
      response.on('close', settle)
    })
    outgoing.on('error', (failure: NodeJS.ErrnoException) => {
      options.logger.debug('link batch failed', { peer: options.peerAddress, reason: failure.message })
      if (!connected && failure.code === 'ECONNREFUSED') options.onUndelivered(batch)
      settle()
    })
    outgoing.end(body)

    function settle (): void {
      if (settled) return
      settled = true
      requests -= 1
      if (waiting.length > 0) planFlush()
      else if (requests === 0) tellIdle()
    }
  }

  function tellIdle (): void {
    const callbacks = idleCallbacks
    idleCallbacks = []
    for (const callback of callbacks) callback()
  }

  return {
    addressee: options.addressee,
    send,
    drained: () => new Promise(resolve => {
      if (waiting.length === 0 && requests === 0) resolve()
      else idleCallbacks.push(resolve)
    }),
    close: () => { agent.destroy() }
  }
}
