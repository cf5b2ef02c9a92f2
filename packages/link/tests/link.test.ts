import { request } from 'node:http'
import { afterEach, describe, expect, test } from 'vitest'
import {
  createAgentIdentity, createEntryIdentity, silentLogger, silentMetrics, type EntryIdentity, type ProcessIdentity
} from '@baobabpost/common'
import type { LinkMessage } from '@baobabpost/messages'
import { createLink, LINK_HEADERS, LINK_PATH, signBatch, type Link } from '@baobabpost/link'

interface Received { from: ProcessIdentity, message: LinkMessage }
interface Listening { link: Link, identity: EntryIdentity, received: Received[], undelivered: LinkMessage[] }

const KEY = 'a shared secret'
const acknowledge: LinkMessage = { method: 'acknowledge', parameters: { sequences: [1, 2, 3] } }
const sender = { identity: createAgentIdentity('agent'), address: '127.0.0.1:1' }
const open: Link[] = []

async function createListening (keys: readonly string[]): Promise<Listening> {
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
  open.push(link)
  return { link, identity, received, undelivered }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 2))
}

function post (address: string, body: string, signature?: string): Promise<number | undefined> {
  const [host, port] = address.split(':')
  const named = { [LINK_HEADERS.identity]: sender.identity, [LINK_HEADERS.address]: sender.address }
  const headers = signature === undefined ? {} : { ...named, [LINK_HEADERS.signature]: signature }
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
  await Promise.all(open.splice(0).map(link => link.close()))
})

describe('link', () => {
  test('delivers typed messages with the sender, and answers go back without further addresses', async () => {
    const left = await createListening([KEY])
    const right = await createListening([KEY])
    left.link.sendToAddress(right.link.address, acknowledge)
    await until(() => right.received.length === 1)
    expect(right.received[0]).toEqual({ from: left.identity, message: acknowledge })
    right.link.send(left.identity, acknowledge)
    await until(() => left.received.length === 1)
    expect(left.received[0]?.from).toBe(right.identity)
  })

  test('keys rotate: the second accepted key is taken, a foreign key is not', async () => {
    const receiver = await createListening(['new secret', 'old secret'])
    const old = await createListening(['old secret'])
    const foreign = await createListening(['foreign secret'])
    foreign.link.sendToAddress(receiver.link.address, acknowledge)
    await foreign.link.close()
    old.link.sendToAddress(receiver.link.address, acknowledge)
    await until(() => receiver.received.length > 0)
    expect(receiver.received.map(item => item.from)).toEqual([old.identity])
  })

  test('refuses a batch without signature, with a wrong one, and a body that is no batch', async () => {
    const { link, received } = await createListening([KEY])
    expect(await post(link.address, '[]')).toBe(401)
    expect(await post(link.address, '[]', 'ab')).toBe(401)
    expect(await post(link.address, '[]', signBatch('another key', sender, '[]'))).toBe(401)
    expect(await post(link.address, 'no json', signBatch(KEY, sender, 'no json'))).toBe(400)
    expect(received).toHaveLength(0)
  })

  test('a message that does not decode is dropped and the rest of its batch taken in', async () => {
    const { link, received } = await createListening([KEY])
    const body = JSON.stringify([
      { jsonrpc: '2.0', method: 'acknowledge', params: { sequences: 'none' } },
      { jsonrpc: '2.0', method: 'nothing', params: {} },
      { jsonrpc: '2.0', method: 'acknowledge', params: acknowledge.parameters }
    ])
    expect(await post(link.address, body, signBatch(KEY, sender, body))).toBe(204)
    expect(received.map(item => item.message)).toEqual([acknowledge])
  })

  test('a refused connection is told as proof that nothing was delivered', async () => {
    const { link, undelivered } = await createListening([KEY])
    const gone = await createListening([KEY])
    link.setPeer(gone.identity, gone.link.address)
    await gone.link.close()
    link.send(gone.identity, acknowledge)
    await until(() => undelivered.length === 1)
    expect(undelivered).toEqual([acknowledge])
  })

  test('what is meant for one run is not taken in by the next run at the same address', async () => {
    const { link, undelivered } = await createListening([KEY])
    const first = await createListening([KEY])
    link.setPeer(first.identity, first.link.address)
    link.send(first.identity, acknowledge)
    await until(() => first.received.length === 1)
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
    open.push(second)
    // What goes over the connection that the first run closed may be lost without a word, so it is sent again.
    await until(() => {
      if (undelivered.length === 0) link.send(first.identity, acknowledge)
      return undelivered.length > 0
    })
    link.sendToAddress(second.address, acknowledge)
    await until(() => received.length > 0)
    expect(received).toEqual([acknowledge])
  })
})
