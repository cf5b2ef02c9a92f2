import { once } from 'node:events'
import type { Socket } from 'node:net'
import { describe, expect, it } from 'vitest'
import { connectRaw, frame } from './raw-peer.js'
import { pause, STATE, STOP, useSharedConnections, WATCH } from './use-shared-connections.js'

const test = useSharedConnections()

describe('failures that the server meets', () => {
  it.each([
    ['reset', (socket: Socket) => { socket.resetAndDestroy() }],
    ['closed on one side', (socket: Socket) => { socket.end() }],
    ['broken by a malformed frame', (socket: Socket) => { socket.write(Buffer.from([0, 0, 0, 0])) }]
  ])('tells waiting watches once that their connection is lost when it is %s', async (_name, breakConnection) => {
    let lossCount = 0
    const { address } = await test.callServer({
      watch: (_parameters, connection) => new Promise(() => { connection.onLost(() => { lossCount += 1 }) }),
      stop: (_parameters, connection) => {
        connection.onLost(() => { lossCount += 100 })
        return STATE
      }
    })
    const raw = await connectRaw(address)
    for (const [position, method] of ['watch', 'stop', 'watch'].entries()) {
      raw.write(frame(JSON.stringify({ jsonrpc: '2.0', id: position, method, params: method === 'stop' ? STOP : WATCH })))
    }
    await once(raw, 'data')
    breakConnection(raw)
    await pause(100)
    expect(lossCount).toBe(2)
    raw.destroy()
  })

  it.each([
    ['a frame above the limit', Buffer.from([0xFF, 0xFF, 0xFF, 0xFF])],
    ['a message that is not JSON', frame('start me')],
    ['a message that is no request', frame('{"jsonrpc":"2.0","id":1,"result":{}}')],
    ['a notification, which nobody could be told the failure of', frame('{"jsonrpc":"2.0","method":"stop"}')],
    ['a batch', frame('[]')],
    ['an HTTP request', Buffer.from('POST /calls HTTP/1.1\r\n\r\n')]
  ])('logs %s, closes its connection and serves others', async (_name, bytes) => {
    const { address } = await test.callServer({ stop: () => STATE })
    const raw = await connectRaw(address)
    const closed = once(raw, 'close')
    raw.on('data', () => {}).write(bytes)
    await closed
    expect(test.faults).toHaveLength(1)
    expect(await test.client.call(address, 'stop', STOP, 1_000)).toEqual(STATE)
  })

  it('reads a request that arrives with the upgrade, and in single bytes', async () => {
    const { address } = await test.callServer({ stop: () => STATE })
    const raw = await connectRaw(address)
    const received: Buffer[] = []
    raw.on('data', chunk => { received.push(chunk) })
    const task = { task: 'tâche-é', run: 1 }
    for (const byte of frame(JSON.stringify({ jsonrpc: '2.0', id: 7, method: 'stop', params: { ...STOP, runs: [task] } }))) {
      raw.write(Buffer.from([byte]))
    }
    await once(raw, 'data')
    expect(Buffer.concat(received).toString()).toContain('"id":7')
    raw.destroy()
  })

  it('closes the connection of a client that does not read its answers, instead of keeping more and more', async () => {
    const { address } = await test.callServer({ stop: () => ({ ...STATE, incarnation: 'x'.repeat(900_000) }) })
    const raw = await connectRaw(address)
    raw.pause()
    const request = frame(JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'stop', params: STOP }))
    for (let count = 0; count < 40 && test.faults.length === 0; count += 1) {
      raw.write(request)
      await pause(5)
    }
    expect(test.faults.join()).toContain('does not read')
    raw.destroy()
  })

  it('answers with an error instead of an answer above the limit', async () => {
    const { address } = await test.callServer({ stop: () => ({ ...STATE, incarnation: 'x'.repeat(1_100_000) }) })
    await expect(test.client.call(address, 'stop', STOP, 1_000)).rejects.toMatchObject({ failure: 'rejected' })
  })

  it('closes its shared connections with the server, so that a process that stops leaves none open', async () => {
    const { server, address } = await test.callServer({ watch: () => new Promise(() => {}) })
    const watch = test.client.call(address, 'watch', WATCH, 5_000).catch((failure: unknown) => failure)
    await pause(100)
    const closed = once(server, 'close')
    server.close()
    server.closeAllConnections()
    await closed
    expect(await watch).toMatchObject({ failure: 'unanswered' })
  })
})
