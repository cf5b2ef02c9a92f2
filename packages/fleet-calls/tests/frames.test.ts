import { createServer, connect, type AddressInfo } from 'node:net'
import { once } from 'node:events'
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { createFrameConnection } from '../src/frame-connection.js'
import { createFrameReader, encodeFrames, FrameError } from '../src/frames.js'

it('reads the same messages however the bytes are cut: a character or a length may arrive in parts', () => {
  const messages = fc.array(fc.string({ unit: 'binary', minLength: 1 }), { maxLength: 12 })
  fc.assert(fc.property(messages, fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (texts, sizes) => {
    const bytes = encodeFrames(texts.map(text => ({ text, bytes: Buffer.byteLength(text) })))
    const reader = createFrameReader()
    const received: string[] = []
    let position = 0
    for (let cut = 0; position < bytes.length; cut += 1) {
      const size = sizes[cut % sizes.length] ?? 1
      received.push(...reader.read(bytes.subarray(position, position + size)))
      position += size
    }
    expect(received).toEqual(texts.map(text => Buffer.from(text).toString()))
  }))
})

it('reads or refuses any bytes, and holds no more of them than one message', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 64 })), chunks => {
    const reader = createFrameReader()
    try {
      for (const chunk of chunks) reader.read(Buffer.from(chunk))
    } catch (failure) {
      expect(failure).toBeInstanceOf(FrameError)
    }
  }))
})

it('reports a connection on which nothing passes, so that it is not kept for ever', async () => {
  const server = createServer(socket => { socket.on('error', () => {}) })
  server.listen(0, '127.61.3.2')
  await once(server, 'listening')
  const socket = connect((server.address() as AddressInfo).port, '127.61.3.2')
  await once(socket, 'connect')
  const end = await new Promise(resolve => {
    const connection = createFrameConnection(socket, {
      head: Buffer.alloc(0),
      idleMilliseconds: 60,
      onMessage: () => {},
      onIdle: () => { connection.close({ reason: 'idle', isFault: false }) },
      onClosed: resolve
    })
  })
  expect(end).toEqual({ reason: 'idle', isFault: false })
  server.close()
})
