import { once } from 'node:events'
import { createServer, request, type IncomingMessage, type Server } from 'node:http'
import { describe, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import {
  CALL_PATH, createCallMethods, createFleetDirectory, readAnswer, type CallName, type Member
} from '@baobabpost/fleet-calls'
import { connectRaw, frame, listenOnLoopback } from './raw-peer.js'
import { STATE, STOP, useSharedConnections, WATCH } from './use-shared-connections.js'

const NESTED = '['.repeat(30_000) + ']'.repeat(30_000)
const SELF: Member = { name: 'front-1', role: 'entry', address: '127.61.3.1:7720' }
const ODD_ADDRESSES = [
  '127.61.3.2:99999', '127.61.3.2:65536', '127.61.3.2:-1', '127.61.3.2:1e3', '127.61.3.2:', '127.61.3.2', '', '127.61.3.2:80\r\nX: 1',
  '127.61.3.2 :80', '\u0000:80', ':80'
]

const context = useSharedConnections()

/** Starts a server that answers calls with these results in turn, given as JSON, the last one for ever. */
async function startCallee (...results: string[]): Promise<string> {
  const server: Server = createServer((incoming, outgoing) => {
    incoming.resume()
    outgoing.end(`{"jsonrpc":"2.0","id":1,"result":${results.length > 1 ? results.shift() : results[0]}}`)
  })
  context.closers.push(() => {
    server.close()
    server.closeAllConnections()
  })
  return listenOnLoopback(server)
}

/** Sends a plain call as JSON, and returns the status and body of the answer. */
async function sendPlain (address: string, text: string): Promise<{ status: number | undefined, body: string }> {
  const [host, port] = address.split(':')
  const outgoing = request({ host, port, method: 'POST', path: CALL_PATH, agent: false })
  outgoing.end(text)
  const [incoming] = await once(outgoing, 'response') as [IncomingMessage]
  let body = ''
  for await (const chunk of incoming) body += String(chunk)
  return { status: incoming.statusCode, body }
}

describe('a call', () => {
  // The connection threw at once, and not as the failure of a call that its callers handle.
  it.each(ODD_ADDRESSES)('to the address %j fails as one without an answer', async address => {
    for (const name of ['stop', 'announce'] as const) {
      const parameters = name === 'stop' ? STOP : { member: SELF, digest: 0 }
      await expect(context.client.call(address, name, parameters, 500)).rejects.toMatchObject({ name: 'CallError' })
    }
  })

  it.each(['null', '[]', '7', '{"jsonrpc":"2.0","id":1,"error":null}', '{"jsonrpc":"2.0","id":1,"error":7}'])(
    'whose response is %s fails as rejected', response => {
      expect(() => readAnswer('stop', JSON.parse(response))).toThrow(expect.objectContaining({ failure: 'rejected' }))
    })
})

describe('an answer without an end', () => {
  // Each byte extended the time limit of the call, and its text grew until the process had no memory left.
  it('fails its call as rejected, and its connection is closed', { timeout: 20_000 }, async () => {
    const chunk = Buffer.alloc(1_048_576, ' ')
    let sentBytes = 0
    const server: Server = createServer((incoming, outgoing) => {
      incoming.resume()
      const sendMore = (): void => {
        while (sentBytes < 100 * chunk.length && !outgoing.destroyed) {
          sentBytes += chunk.length
          if (outgoing.write(chunk)) continue
          outgoing.once('drain', sendMore)
          return
        }
      }
      sendMore()
    })
    context.closers.push(() => {
      server.close()
      server.closeAllConnections()
    })
    const address = await listenOnLoopback(server)
    await expect(context.client.call(address, 'askConfiguration', {}, 2_000)).rejects.toMatchObject({ failure: 'rejected' })
    expect(sentBytes).toBeLessThan(100 * chunk.length)
    await vi.waitFor(async () => {
      expect(await new Promise(resolve => { server.getConnections((_failure, count) => { resolve(count) }) })).toBe(0)
    })
  })
})

describe('the members of an answer', () => {
  it('hold beside odd ones, and are followed after an odd answer', async () => {
    const odd = [NESTED, 'null', '7', '{"__proto__":{}}', `{"name":${NESTED},"role":"agent","address":"127.61.3.3:1"}`]
    for (const address of ODD_ADDRESSES) odd.push(JSON.stringify({ name: 'odd', role: 'entry', address }))
    for (const name of ['', 'x'.repeat(300)]) odd.push(JSON.stringify({ name, role: 'entry', address: '127.61.3.3:1' }))
    odd.push(JSON.stringify({ name: 'odd', role: 'elsewhere', address: '127.61.3.3:1' }))
    const good: Member = { name: 'side-1', role: 'agent', address: '127.61.3.9:7720' }
    const later: Member = { name: 'side-2', role: 'agent', address: '127.61.3.10:7720' }
    const membersOf = (revision: string, member: Member): string =>
      `{"directory":"d","revision":${revision},"members":[${odd.join()},${JSON.stringify(member)}]}`
    const seed = await startCallee(membersOf('1', good), membersOf('1e999', good), membersOf('2', later))
    const found: Member[] = []
    const directory = createFleetDirectory({
      self: SELF,
      incarnation: '1',
      seeds: [seed],
      client: context.client,
      logger: silentLogger,
      now: () => performance.now(),
      onMember: member => { found.push(member) },
      hasRecentContact: () => false
    })
    context.closers.push(() => { directory.close() })
    await vi.waitFor(() => { expect(found).toEqual([good, later]) }, 10_000)
    expect(directory.entryAddresses()).toEqual([seed])
  })
})

/** Returns the parameters of a watch as JSON, with a field replaced. */
function watchWith (field: string, value: string): string {
  return JSON.stringify({ ...WATCH, caller: { ...WATCH.caller, [field]: '?' } }).replace('"?"', value)
}

describe('a number that no process counts to', () => {
  const answer = createCallMethods({ watch: () => ({ ...STATE, reports: [] }), announce: () => ({ directory: '', revision: 0, members: [] }) }, silentLogger)

  // A position that rises once beyond all others hid every later evacuation from the whole fleet.
  it.each(['1e999', '1e300', '9e15', '-1', '1.5', '"7"', NESTED])('is refused in parameters', value => {
    const parameters: Array<[CallName, string]> = [
      ['watch', watchWith('evacuations', `{"position":${value},"domains":[]}`)],
      ['watch', JSON.stringify(WATCH).replace('"acknowledged":0', `"acknowledged":${value}`)],
      ['announce', `{"member":${JSON.stringify(SELF)},"digest":${value}}`]
    ]
    for (const [method, text] of parameters) {
      const response = answer({ jsonrpc: '2.0', id: 1, method, params: JSON.parse(text) as object }, { onLost: () => {} })
      expect(response).toMatchObject({ error: { code: -32602 } })
    }
  })

  it.each(['1e999', '1e300', '9e15', '-1', '"7"', NESTED])('is refused in an answer', value => {
    const report = { sequence: '?', task: 't', run: 1, outcome: 'done', reason: '', milliseconds: 1 }
    const answers: Array<[CallName, string]> = [
      ['watch', JSON.stringify({ ...STATE, clock: '?', reports: [] })],
      ['watch', JSON.stringify({ ...STATE, reports: [report] })],
      ['watch', JSON.stringify({ ...STATE, reports: [], evacuations: { position: '?', domains: [] } })],
      ['askConfiguration', '{"evacuations":{"position":"?","domains":[]}}'],
      ['announce', '{"directory":"d","revision":"?","members":[]}']
    ]
    for (const [name, text] of answers) {
      const result = JSON.parse(text.replace('"?"', value)) as unknown
      expect(() => readAnswer(name, { jsonrpc: '2.0', id: 1, result })).toThrow(expect.objectContaining({ failure: 'rejected' }))
    }
  })
})

describe('a server of calls', () => {
  it('outlives requests that are deeply nested', async () => {
    const { address } = await context.callServer({ stop: () => STATE })
    const texts = [NESTED, `{"jsonrpc":"2.0","id":${NESTED},"method":"stop","params":${JSON.stringify(STOP)}}`,
      `{"jsonrpc":"2.0","id":1,"method":${NESTED}}`, `{"jsonrpc":"2.0","id":1,"method":"stop","params":${NESTED}}`]
    for (const text of texts) {
      await sendPlain(address, text)
      const socket = await connectRaw(address)
      socket.write(frame(text))
      await Promise.race([once(socket, 'data'), once(socket, 'close')])
      socket.destroy()
    }
    expect((await context.client.call(address, 'stop', STOP, 1_000)).incarnation).toBe(STATE.incarnation)
  })
})
