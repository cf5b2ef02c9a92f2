import { once } from 'node:events'
import { createServer as createHttpServer } from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net'
import { describe, expect, it } from 'vitest'
import { connectRaw, frame, HOST, listenOnLoopback } from './raw-peer.js'
import { answer, pause, STATE, STOP, useSharedConnections, WATCH } from './use-shared-connections.js'

const test = useSharedConnections()

describe('calls on a shared connection', () => {
  it('sends the calls of one turn in one write, on one connection, and their answers too', async () => {
    const { address } = await test.callServer({ stop: () => STATE })
    const chunks: Buffer[] = []
    const raw = await connectRaw(address)
    raw.on('data', chunk => { chunks.push(chunk) })
    raw.write(Buffer.concat([1, 2, 3].map(id => frame(JSON.stringify({ jsonrpc: '2.0', id, method: 'stop', params: STOP })))))
    await once(raw, 'data')
    await pause(50)
    expect(chunks).toHaveLength(1)

    const received: number[] = []
    const peer = await test.rawServer(({ id }, socket) => { socket.write(answer(id)) })
    await test.client.call(peer.address, 'stop', STOP, 1_000)
    peer.sockets[0]?.on('data', (chunk: Buffer) => { received.push(chunk.length) })
    await Promise.all([1, 2, 3, 4, 5].map(() => test.client.call(peer.address, 'stop', STOP, 1_000)))
    expect(received).toHaveLength(1)
    // A call is its message and a length of 4 bytes: nothing else goes over the link.
    expect(received[0]).toBe(5 * frame(JSON.stringify({ jsonrpc: '2.0', id: 2, method: 'stop', params: STOP })).length)
    expect(peer.sockets).toHaveLength(1)
    raw.destroy()
  })

  it('leaves no other call unanswered while one waits: a watch does not hold up a stop', async () => {
    const { address } = await test.callServer({ watch: () => new Promise(() => {}), stop: () => STATE })
    const watch = test.client.call(address, 'watch', WATCH, 400).catch((failure: unknown) => failure)
    expect(await test.client.call(address, 'stop', STOP, 200)).toEqual(STATE)
    expect(await watch).toMatchObject({ failure: 'unanswered' })
  })

  it('rejects a call that fails at the server, and one whose parameters do not decode, and keeps the connection', async () => {
    const { address } = await test.callServer({ stop: () => { throw new Error('no such state') }, watch: () => ({ ...STATE, reports: [] }) })
    await expect(test.client.call(address, 'stop', STOP, 1_000)).rejects.toMatchObject({ failure: 'rejected' })
    const broken = { ...WATCH, waitMilliseconds: 'soon' } as unknown as typeof WATCH
    await expect(test.client.call(address, 'watch', broken, 1_000)).rejects.toMatchObject({ failure: 'rejected' })
    await expect(test.client.call(address, 'tellEvacuations', { evacuations: { position: 1, domains: [] } }, 1_000))
      .rejects.toMatchObject({ failure: 'rejected' })
    expect(await test.client.call(address, 'watch', WATCH, 1_000)).toMatchObject({ reports: [] })
  })

  it('rejects a call above the size limit without sending it', async () => {
    const { address } = await test.callServer({ stop: () => STATE })
    const large = { ...STOP, runs: [{ task: 'x'.repeat(1_100_000), run: 1 }] }
    await expect(test.client.call(address, 'stop', large, 1_000)).rejects.toMatchObject({ failure: 'rejected' })
    expect(await test.client.call(address, 'stop', STOP, 1_000)).toEqual(STATE)
  })
})

describe('failures that the client meets', () => {
  it('closes a silent connection with all its calls, and opens a new one for the next call', async () => {
    const server = await test.rawServer(({ id, connection }, socket) => {
      if (connection === 2) socket.write(answer(id))
    })
    const watch = test.client.call(server.address, 'watch', WATCH, 5_000).catch((failure: unknown) => failure)
    const startedAt = performance.now()
    await expect(test.client.call(server.address, 'stop', STOP, 100)).rejects.toMatchObject({ failure: 'unanswered' })
    expect(await watch).toMatchObject({ failure: 'unanswered' })
    expect(performance.now() - startedAt).toBeLessThan(2_000)
    expect(test.faults.join()).toContain('silent')
    expect(await test.client.call(server.address, 'stop', STOP, 1_000)).toEqual(STATE)
    expect(server.sockets).toHaveLength(2)
  })

  it('keeps a connection on which other answers arrive, and ignores an answer after its timeout', async () => {
    const late: number[] = []
    const server = await test.rawServer(({ id, method }, socket) => {
      if (method === 'watch') late.push(id)
      else socket.write(answer(id))
    })
    const watch = test.client.call(server.address, 'watch', WATCH, 150).catch((failure: unknown) => failure)
    await pause(50)
    await test.client.call(server.address, 'stop', STOP, 1_000)
    expect(await watch).toMatchObject({ failure: 'unanswered' })
    for (const id of late) server.sockets[0]?.write(answer(id))
    expect(await test.client.call(server.address, 'stop', STOP, 1_000)).toEqual(STATE)
    expect(server.sockets).toHaveLength(1)
    expect(test.faults).toEqual([])
  })

  it('takes an answer that arrived in time although this process was held up past the timeout', async () => {
    const server = await test.rawServer(({ id }, socket) => {
      socket.write(answer(id))
      const until = performance.now() + 250
      while (performance.now() < until) { /* Holds up the whole process. */ }
    })
    expect(await test.client.call(server.address, 'stop', STOP, 150)).toEqual(STATE)
  })

  it('fails a call as unanswered if the connection does not open in time', async () => {
    const accepted: Socket[] = []
    const server = createTcpServer(socket => { accepted.push(socket.on('error', () => {})) })
    server.listen(0, HOST)
    await once(server, 'listening')
    test.closers.push(() => {
      server.close()
      for (const socket of accepted) socket.destroy()
    })
    const { port } = server.address() as AddressInfo
    await expect(test.client.call(`${HOST}:${port}`, 'stop', STOP, 100)).rejects.toMatchObject({ failure: 'unanswered' })
  })

  it('fails calls as refused only if nothing listens', async () => {
    const server = await test.rawServer(({ id }, socket) => { socket.write(answer(id)) })
    await test.client.call(server.address, 'stop', STOP, 1_000)
    server.close()
    await pause(50)
    await expect(test.client.call(server.address, 'stop', STOP, 1_000)).rejects.toMatchObject({ failure: 'refused' })
  })

  it.each([
    ['reset', (socket: Socket) => { socket.resetAndDestroy() }],
    ['closed on one side', (socket: Socket) => { socket.end() }],
    ['broken by a malformed frame', (socket: Socket) => { socket.write(Buffer.from([0, 0, 0, 0])) }],
    ['broken by an oversized frame', (socket: Socket) => { socket.write(Buffer.from([0x7F, 0, 0, 0])) }],
    ['broken by a message that is not JSON', (socket: Socket) => { socket.write(frame('{"jsonrpc"')) }],
    ['broken by a message that is no response', (socket: Socket) => { socket.write(frame('[1]')) }]
  ])('fails all calls of a connection that is %s, and opens a new one', async (_name, breakConnection) => {
    const server = await test.rawServer(({ id, connection }, socket) => {
      if (connection === 1) breakConnection(socket)
      else socket.write(answer(id))
    })
    const calls = [
      test.client.call(server.address, 'watch', WATCH, 5_000), test.client.call(server.address, 'stop', STOP, 5_000)
    ]
    for (const result of await Promise.allSettled(calls)) {
      expect(result).toMatchObject({ status: 'rejected', reason: { failure: 'unanswered' } })
    }
    expect(await test.client.call(server.address, 'stop', STOP, 1_000)).toEqual(STATE)
    expect(server.sockets).toHaveLength(2)
  })

  it('closes the connection to a peer that does not read, instead of keeping more and more calls', async () => {
    const server = await test.rawServer((_request, socket) => { socket.pause() })
    const large = { ...STOP, runs: [{ task: 'x'.repeat(500_000), run: 1 }] }
    const calls: Array<Promise<unknown>> = []
    for (let count = 0; count < 40; count += 1) {
      calls.push(test.client.call(server.address, 'stop', large, 20_000).catch((failure: unknown) => failure))
      await pause(2)
      if (test.faults.length > 0) break
    }
    expect(test.faults.join()).toContain('does not read')
    server.close()
    for (const result of await Promise.all(calls)) expect(result).toMatchObject({ failure: 'unanswered' })
  })

  it('fails the calls in progress when the client closes, and makes no further ones', async () => {
    const server = await test.rawServer(() => {})
    const watch = test.client.call(server.address, 'watch', WATCH, 5_000).catch((failure: unknown) => failure)
    await pause(50)
    test.client.close()
    expect(await watch).toMatchObject({ failure: 'unanswered' })
    await expect(test.client.call(server.address, 'stop', STOP, 1_000)).rejects.toMatchObject({ failure: 'unanswered' })
  })

  it('sends plain requests to a server that does not upgrade, as an older process does not', async () => {
    const { server, address } = await test.callServer({ stop: () => STATE, watch: () => ({ ...STATE, reports: [] }) })
    server.removeAllListeners('upgrade')
    const calls = [test.client.call(address, 'stop', STOP, 1_000), test.client.call(address, 'watch', WATCH, 1_000)]
    expect(await Promise.all(calls)).toMatchObject([STATE, { reports: [] }])
    expect(await test.client.call(address, 'stop', STOP, 1_000)).toEqual(STATE)
  })

  it('fails a call to a server that is none of this fleet, without an exception', async () => {
    const server = createHttpServer((_incoming, outgoing) => { outgoing.writeHead(200, { 'content-length': 0 }).end() })
    test.closers.push(() => { server.close() })
    const address = await listenOnLoopback(server)
    await expect(test.client.call(address, 'stop', STOP, 1_000)).rejects.toMatchObject({ failure: 'rejected' })
  })
})
