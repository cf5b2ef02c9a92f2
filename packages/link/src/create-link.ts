/** Creates links: one HTTP server for incoming batches, and one outgoing side per address and addressee. */
import type { AddressInfo } from 'node:net'
import { createDefaultGuard } from '@baobabpost/client-limits'
import type { ProcessIdentity } from '@baobabpost/common'
import type { LinkMessage } from '@baobabpost/messages'
import { createIncomingServer, senderIdentity } from './incoming-server.js'
import type { Link, LinkOptions } from './link.js'
import { createOutgoingPeer, type OutgoingPeer } from './outgoing-peer.js'

/** Maximum wait for queued messages and active requests when a link closes. */
const CLOSE_TIMEOUT_MILLISECONDS = 1_000

/**
 * Opens a link that listens and is ready to send.
 *
 * @throws Error if it can't listen on the address, or no key is given.
 * @example
 * const link = await createLink({ identity, listenAddress: '127.0.0.1:0', keys, logger, metrics, onMessage })
 * link.sendToAddress('10.0.0.4:7001', { method: 'announce', parameters })
 */
export async function createLink (options: LinkOptions): Promise<Link> {
  const [signingKey] = options.keys
  if (signingKey === undefined) throw new Error('cannot open a link: expected at least one link key, got none')
  const addresses = new Map<ProcessIdentity, string>()
  const peers = new Map<string, OutgoingPeer>()
  const sent = { messages: 0, batches: 0, bytes: 0 }

  const server = createIncomingServer({
    identity: options.identity,
    keys: options.keys,
    logger: options.logger,
    guard: options.guard ?? createDefaultGuard('links'),
    onMessage: (sender, message) => {
      const identity = senderIdentity(sender)
      setPeer(identity, sender.address)
      options.onMessage(identity, sender.address, message)
    }
  })
  const separator = options.listenAddress.lastIndexOf(':')
  const host = options.listenAddress.slice(0, separator)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(options.listenAddress.slice(separator + 1)), host, resolve)
  })
  const address = options.advertisedAddress ?? `${host}:${(server.address() as AddressInfo).port}`

  function setPeer (identity: ProcessIdentity, peerAddress: string): void {
    addresses.set(identity, peerAddress)
  }

  function forgetPeer (identity: ProcessIdentity): void {
    addresses.delete(identity)
    for (const [key, peer] of peers) {
      if (peer.addressee !== identity) continue
      peer.close()
      peers.delete(key)
    }
  }

  function findOrCreatePeer (peerAddress: string, addressee: ProcessIdentity | undefined): OutgoingPeer {
    const key = addressee === undefined ? peerAddress : `${peerAddress} ${addressee}`
    const existingPeer = peers.get(key)
    if (existingPeer !== undefined) return existingPeer
    const peer = createOutgoingPeer({
      identity: options.identity,
      ownAddress: address,
      peerAddress,
      addressee,
      key: signingKey as string,
      logger: options.logger,
      onSent: (messages, bytes) => { countSent(messages, bytes) },
      onUndelivered: messages => { reportUndelivered(addressee, messages) }
    })
    peers.set(key, peer)
    return peer
  }

  function countSent (messages: number, bytes: number): void {
    sent.messages += messages
    sent.batches += 1
    sent.bytes += bytes
    options.metrics.count('link.messages.count', messages)
    options.metrics.count('link.bytes.count', bytes)
  }

  function reportUndelivered (addressee: ProcessIdentity | undefined, messages: readonly LinkMessage[]): void {
    if (options.onUndelivered === undefined || addressee === undefined) return
    for (const message of messages) options.onUndelivered(addressee, message)
  }

  function send (to: ProcessIdentity, message: LinkMessage): void {
    const peerAddress = addresses.get(to)
    if (peerAddress === undefined) {
      options.logger.debug('message dropped: the address of the peer is not known', { peer: to, method: message.method })
      return
    }
    findOrCreatePeer(peerAddress, to).send(message)
  }

  async function close (): Promise<void> {
    const drained = Promise.all([...peers.values()].map(peer => peer.drained()))
    const timeout = new Promise<void>(resolve => { setTimeout(resolve, CLOSE_TIMEOUT_MILLISECONDS).unref() })
    await Promise.race([drained, timeout])
    for (const peer of peers.values()) peer.close()
    server.closeAllConnections()
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  }

  return {
    address,
    send,
    sendToAddress: (peerAddress, message) => { findOrCreatePeer(peerAddress, undefined).send(message) },
    setPeer,
    forgetPeer,
    statistics: () => ({ ...sent }),
    close
  }
}
