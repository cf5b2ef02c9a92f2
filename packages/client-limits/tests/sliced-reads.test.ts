import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createRandom } from '@baobabpost/common'
import { sliceReads } from '../src/sliced-reads.js'

const SLICE_BYTES = 4_096
/** Most bytes that Node.js reads from a socket at once. */
const READ_BYTES = 65_536
const CHUNK = '1\r\nx\r\n'
const CHUNKED_HEAD = 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'

let server: Server
/** Sockets that the server has accepted. */
let accepted: Socket[]
/** Lengths of the bodies in the order in which they ended, and the chunks of each turn of the event loop. */
let bodies: number[]
let chunksByTurn: number[]
let unparsed: number[]

beforeEach(async () => {
  accepted = []
  bodies = []
  chunksByTurn = [0]
  unparsed = []
  server = createServer((incoming, outgoing) => {
    let length = 0
    incoming.on('data', (chunk: Buffer) => {
      if (chunksByTurn.at(-1) === 0) setImmediate(() => { chunksByTurn.push(0) })
      chunksByTurn[chunksByTurn.length - 1]! += 1
      length += chunk.length
    })
    incoming.on('end', () => {
      bodies.push(length)
      outgoing.end(String(length))
    })
  })
  server.on('connection', (socket: Socket) => { accepted.push(socket) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
})
afterEach(() => {
  server.closeAllConnections()
  server.close()
})

function slice (socket: Socket | undefined): boolean {
  if (socket === undefined) throw new Error('expected a connection')
  return sliceReads(socket, { onUnparsed: bytes => { unparsed.push(bytes) }, defer: setImmediate })
}

function open (): Socket {
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  client.on('error', () => {})
  client.resume()
  return client
}

describe('sliced reads', () => {
  // Without slices, the parser went through 10,900 chunks in a turn.
  it('give the parser one slice of each read a turn, and the whole body in the end', async () => {
    server.on('connection', slice)
    open().write(CHUNKED_HEAD + CHUNK.repeat(60_000) + '0\r\n\r\n')
    await expect.poll(() => bodies, { timeout: 10_000 }).toEqual([60_000])
    // A turn may have the end of one read and the beginning of the next.
    expect(Math.max(...chunksByTurn)).toBeLessThanOrEqual(2 * Math.ceil(SLICE_BYTES / CHUNK.length))
    expect(unparsed.at(-1)).toBe(0)
  })

  // The parser reads beside the stream: a connection that was paused meanwhile was never read again.
  it('go on with a kept connection that was paused before it was sliced', async () => {
    const client = open()
    client.write(`${CHUNKED_HEAD}${CHUNK}0\r\n\r\n`)
    await expect.poll(() => bodies).toEqual([1])
    accepted[0]?.pause()
    expect(slice(accepted[0])).toBe(true)
    client.write(`${CHUNKED_HEAD}${CHUNK.repeat(2)}0\r\n\r\n`)
    await new Promise(resolve => { setTimeout(resolve, 50) })
    expect(bodies).toEqual([1])
    accepted[0]?.resume()
    await expect.poll(() => bodies).toEqual([1, 2])
  })

  it('parse nothing more of a connection that is paused, or closed', async () => {
    server.on('connection', slice)
    open().write(CHUNKED_HEAD + CHUNK.repeat(60_000))
    await expect.poll(() => chunksByTurn.length).toBeGreaterThan(1)
    accepted[0]?.pause()
    const pausedAt = chunksByTurn.reduce((sum, count) => sum + count)
    await new Promise(resolve => { setTimeout(resolve, 50) })
    expect(chunksByTurn.reduce((sum, count) => sum + count)).toBe(pausedAt)
    accepted[0]?.resume()
    accepted[0]?.destroy()
    await new Promise(resolve => { setTimeout(resolve, 50) })
    expect(chunksByTurn.reduce((sum, count) => sum + count)).toBe(pausedAt)
  })

  // Each time that all connections were resumed and paused again, 64 KiB more were read from those not yet parsed.
  it('keep at most one read of a connection that is paused again before it is parsed, and tell it', async () => {
    server.on('connection', slice)
    const client = open()
    await expect.poll(() => accepted.length).toBe(1)
    const [socket] = accepted as [Socket]
    socket.pause()
    client.write(CHUNKED_HEAD + CHUNK.repeat(200_000) + '0\r\n\r\n')
    for (let turn = 0; turn < 20; turn += 1) {
      socket.resume()
      socket.pause()
      await new Promise(resolve => { setTimeout(resolve, 5) })
    }
    expect(socket.readableLength).toBeLessThanOrEqual(READ_BYTES)
    expect(unparsed.at(-1) ?? 0).toBe(socket.readableLength)
    socket.resume()
    await expect.poll(() => bodies, { timeout: 10_000 }).toEqual([200_000])
  })

  it('leave a connection without a parser as it is', () => {
    expect(slice(connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {}))).toBe(false)
  })

  it.each([1, 2, 3, 4, 5])('hand on every request in its order, however it is cut, begun at any time, seed %i', async seed => {
    const random = createRandom(seed)
    const client = open()
    const expected: number[] = []
    for (let number = 0; number < 40; number += 1) {
      const length = random.below(4) === 0 ? random.below(200_000) : random.below(2_000)
      const chunks = random.below(2_000)
      const isChunked = random.below(2) === 0
      expected.push(isChunked ? chunks : length)
      const text = isChunked
        ? `${CHUNKED_HEAD}${CHUNK.repeat(chunks)}0\r\n\r\n`
        : `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${'y'.repeat(length)}`
      const cut = random.below(text.length)
      client.write(text.slice(0, cut))
      if (random.below(2) === 0) await new Promise(resolve => { setImmediate(resolve) })
      if (random.below(4) === 0) accepted[0]?.pause()
      if (random.below(2) === 0) accepted[0]?.resume()
      client.write(text.slice(cut))
      if (number === 3 * seed) await expect.poll(() => accepted.length).toBe(1).then(() => slice(accepted[0]))
    }
    accepted[0]?.resume()
    await expect.poll(() => bodies, { timeout: 10_000 }).toEqual(expected)
  })
})
