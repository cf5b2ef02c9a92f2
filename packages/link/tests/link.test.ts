import { request } from 'node:http'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import {
  createAgentIdentity, createEntryIdentity, silentLogger, silentMetrics, type EntryIdentity, type ProcessIdentity
} from '@baobabpost/common'
import type { LinkMessage } from '@baobabpost/messages'
import { createLink, LINK_HEADERS, LINK_PATH, signBatch, type Link } from '@baobabpost/link'

interface Received { from: ProcessIdentity, message: LinkMessage }
interface ListeningLink { link: Link, identity: EntryIdentity, received: Received[], undelivered: LinkMessage[] }

const KEY = 'a shared secret'
const acknowledge: LinkMessage = { method: 'acknowledge', parameters: { sequences: [1, 2, 3] } }
const sender = { identity: createAgentIdentity('agent'), address: '127.0.0.1:1' }
const openLinks: Link[] = []

async function openLink (keys: readonly string[]): Promise<ListeningLink> {
  const identity = createEntryIdentity('entry')
  const received: Received[] = []
  const undelivered: LinkMessage[] = []
  const link = await createLink({
    identity,
    listenAddress: '127.0.0.1:0',
    keys,
    logger: silentLogger,
    metrics: silentMetrics,
    onMessage: (from, _address, message) => { received.push({ from, message }) },
    onUndelivered: (_to, message) => { undelivered.push(message) }
  })
  openLinks.push(link)
  return { link, identity, received, undelivered }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 2))
}

function post (address: string, body: string, signature?: string): Promise<number | undefined> {
  const [host, port] = address.split(':')
  const senderHeaders = { [LINK_HEADERS.identity]: sender.identity, [LINK_HEADERS.address]: sender.address }
  const headers = signature === undefined ? {} : { ...senderHeaders, [LINK_HEADERS.signature]: signature }
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, method: 'POST', path: LINK_PATH, headers }, response => {
      response.resume()
      resolve(response.statusCode)
    })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

afterEach(async () => {
  await Promise.all(openLinks.splice(0).map(link => link.close()))
})

describe('link', () => {
  test('delivers messages with their sender, which can then be answered by identity alone', async () => {
    const left = await openLink([KEY])
    const right = await openLink([KEY])
    left.link.sendToAddress(right.link.address, acknowledge)
    await waitUntil(() => right.received.length === 1)
    expect(right.received[0]).toEqual({ from: left.identity, message: acknowledge })
    right.link.send(left.identity, acknowledge)
    await waitUntil(() => left.received.length === 1)
    expect(left.received[0]?.from).toBe(right.identity)
  })

  test('accepts batches signed with any of its keys, and no others', async () => {
    const receiver = await openLink(['new secret', 'old secret'])
    const oldKeySender = await openLink(['old secret'])
    const unacceptedSender = await openLink(['foreign secret'])
    unacceptedSender.link.sendToAddress(receiver.link.address, acknowledge)
    await unacceptedSender.link.close()
    oldKeySender.link.sendToAddress(receiver.link.address, acknowledge)
    await waitUntil(() => receiver.received.length > 0)
    expect(receiver.received.map(item => item.from)).toEqual([oldKeySender.identity])
  })

  test('rejects a batch without a signature or with a wrong one, and a body that is not a batch', async () => {
    const { link, received } = await openLink([KEY])
    expect(await post(link.address, '[]')).toBe(401)
    expect(await post(link.address, '[]', 'ab')).toBe(401)
    expect(await post(link.address, '[]', signBatch('another key', sender, '[]'))).toBe(401)
    expect(await post(link.address, 'no json', signBatch(KEY, sender, 'no json'))).toBe(400)
    expect(received).toHaveLength(0)
  })

  test('a message that does not match its schema is dropped and the rest of its batch is processed', async () => {
    const { link, received } = await openLink([KEY])
    const body = JSON.stringify([
      { jsonrpc: '2.0', method: 'acknowledge', params: { sequences: 'none' } },
      { jsonrpc: '2.0', method: 'nothing', params: {} },
      { jsonrpc: '2.0', method: 'acknowledge', params: acknowledge.parameters }
    ])
    expect(await post(link.address, body, signBatch(KEY, sender, body))).toBe(204)
    expect(received.map(item => item.message)).toEqual([acknowledge])
  })

  // An entry that takes a submission over keeps a state for each of its tasks: the process ended at 100 million.
  test('a submission with more tasks than a job may have is dropped, and one with as many is not', async () => {
    const { link, received } = await openLink([KEY])
    const dispatchOf = (taskCount: number) => {
      const header = { submission: 'key', digest: 'digest', taskCount, customer: 'customer', template: 'template' }
      const group = {
        header, path: '/', timeoutMilliseconds: 1_000, parameters: {}, urgent: false, startBefore: 2_000, tasks: []
      }
      return { jsonrpc: '2.0', method: 'dispatch', params: { groups: [group], backlog: 0 } }
    }
    const body = JSON.stringify([dispatchOf(Number.MAX_SAFE_INTEGER), dispatchOf(2_001), dispatchOf(2_000)])
    expect(await post(link.address, body, signBatch(KEY, sender, body))).toBe(204)
    const largest = { parameters: { groups: [{ header: { taskCount: 2_000 } }] } }
    expect(received.map(item => item.message)).toMatchObject([largest])
  })

  test('messages are reported as undelivered when the connection is refused', async () => {
    const { link, undelivered } = await openLink([KEY])
    const closedPeer = await openLink([KEY])
    link.setPeer(closedPeer.identity, closedPeer.link.address)
    await closedPeer.link.close()
    link.send(closedPeer.identity, acknowledge)
    await waitUntil(() => undelivered.length === 1)
    expect(undelivered).toEqual([acknowledge])
  })

  test('a message for one process is rejected by its successor at the same address', async () => {
    const { link, undelivered } = await openLink([KEY])
    const first = await openLink([KEY])
    link.setPeer(first.identity, first.link.address)
    link.send(first.identity, acknowledge)
    await waitUntil(() => first.received.length === 1)
    await first.link.close()
    const received: LinkMessage[] = []
    const second = await createLink({
      identity: createEntryIdentity('entry'),
      listenAddress: first.link.address,
      keys: [KEY],
      logger: silentLogger,
      metrics: silentMetrics,
      onMessage: (_from, _address, message) => { received.push(message) }
    })
    openLinks.push(second)
    // A message on the connection that the first process closed may be lost without a report, so it is sent again.
    await waitUntil(() => {
      if (undelivered.length === 0) link.send(first.identity, acknowledge)
      return undelivered.length > 0
    })
    link.sendToAddress(second.address, acknowledge)
    await waitUntil(() => received.length > 0)
    expect(received).toEqual([acknowledge])
  })
})

describe('link beside an odd address or message', () => {
  const uncaught: unknown[] = []
  const record = (failure: unknown): void => { uncaught.push(failure) }
  beforeEach(() => { process.on('uncaughtException', record) })
  afterEach(() => {
    process.off('uncaughtException', record)
    expect(uncaught.splice(0)).toEqual([])
  })

  // The connection threw in a callback of the event loop, which ended the process, and again after each of its starts.
  test.each(['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:x', 'a b\r\n:80', ''])(
    'goes on after sending to the address %j', async address => {
      const { link, undelivered } = await openLink([KEY])
      const receiver = await openLink([KEY])
      const odd = createEntryIdentity('odd')
      link.setPeer(odd, address)
      link.send(odd, acknowledge)
      link.sendToAddress(address, acknowledge)
      link.sendToAddress(receiver.link.address, acknowledge)
      await waitUntil(() => receiver.received.length === 1 && undelivered.length + uncaught.length > 0)
      expect(undelivered).toEqual([acknowledge])
    })

  test('drops a message that is nested too deeply to be formatted, and delivers the rest of its batch', async () => {
    const { link } = await openLink([KEY])
    const receiver = await openLink([KEY])
    const value = JSON.parse('['.repeat(30_000) + ']'.repeat(30_000)) as unknown
    link.sendToAddress(receiver.link.address, {
      method: 'entryHeartbeatAnswer', parameters: { sequence: 1, position: 1, registers: [{ register: 'drain/a', version: 1, value }] }
    })
    link.sendToAddress(receiver.link.address, acknowledge)
    await waitUntil(() => receiver.received.length + uncaught.length > 0)
    expect(receiver.received.map(item => item.message)).toEqual([acknowledge])
  })
})
