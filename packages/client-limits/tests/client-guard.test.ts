import { execFileSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { createServer as createSecureServer } from 'node:https'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { connect as connectSecurely } from 'node:tls'
import { afterEach, describe, expect, it } from 'vitest'
import { createClientGuard, endAnswer, type ClientGuard, type ClientLimits } from '@baobabpost/client-limits'

const HOST = '127.61.7.1'
const HEAD = 'POST / HTTP/1.1\r\nhost: x\r\n'
const LIMITS = { connections: 4, bytes: 4 * 16_384 + 40_000 }

let server: Server
let closings: string[]
let guard: ClientGuard

async function listen (limits: ClientLimits, plainServer: Server = createServer()): Promise<void> {
  server = plainServer
  closings = []
  guard = createClientGuard({
    name: 'test',
    limits,
    onClosing: (reason, bytes) => { closings.push(`${reason} ${bytes}`) },
    onCheck: () => {},
    now: () => performance.now()
  })
  guard.serve(server, (incoming, outgoing, request) => {
    const answer = (status: number, text: string): void => {
      outgoing.writeHead(status, { 'content-length': text.length, ...(status === 200 ? {} : { connection: 'close' }) })
      endAnswer(outgoing, text)
    }
    if (incoming.url === '/none') return answer(404, 'none')
    if (incoming.url === '/slow') {
      setTimeout(() => { answer(200, 'slow') }, 2_500)
      return
    }
    request.readBody({
      maximumBytes: 50_000,
      onTooLarge: () => { answer(413, 'too large') },
      onRefused: () => { answer(503, 'no room') },
      onWhole: body => { answer(200, body.toString('utf8', 0, 100)) }
    })
  })
  server.listen(0, HOST)
  await once(server, 'listening')
}

async function open (): Promise<{ socket: Socket, received: () => string, isClosed: () => boolean }> {
  const socket = connect((server.address() as AddressInfo).port, HOST)
  return follow(socket, 'connect')
}

async function follow (socket: Socket, event: string): ReturnType<typeof open> {
  let text = ''
  let isClosed = false
  socket.setEncoding('utf8').on('data', (chunk: string) => { text += chunk })
  socket.on('error', () => {})
  socket.on('close', () => { isClosed = true })
  await once(socket, event)
  return { socket, received: () => text, isClosed: () => isClosed }
}

afterEach(() => {
  server.close()
  server.closeAllConnections()
})

describe('a guarded server', () => {
  it('answers the oldest unfinished body with 503 when a later one needs its room, and closes it soon', async () => {
    await listen({ connections: 4, bytes: 2 * 16_384 + 50_000 })
    const first = await open()
    first.socket.write(`${HEAD}content-length: 40000\r\n\r\n${'a'.repeat(25_000)}`)
    await expect.poll(() => guard.bytes()).toBeGreaterThan(20_000)
    const second = await open()
    second.socket.write(`${HEAD}content-length: 30000\r\n\r\n${'b'.repeat(30_000)}`)
    await expect.poll(second.received).toContain('b'.repeat(100))
    expect(first.received()).toMatch(/^HTTP\/1.1 503 .*no room$/s)
    expect(closings).toEqual([expect.stringMatching(/^bytes \d{5}$/)])
    first.socket.write('a')
    await expect.poll(first.isClosed, { timeout: 5_000 }).toBe(true)
    second.socket.destroy()
    await expect.poll(() => [guard.connectionCount(), guard.bytes()]).toEqual([0, 0])
  })

  it('answers before the body has ended, and closes a client that sends on', async () => {
    await listen(LIMITS)
    const client = await open()
    client.socket.write(`POST /none HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000000\r\n\r\n${'x'.repeat(1_000)}`)
    await expect.poll(client.received).toMatch(/404 .*none$/s)
    const sending = setInterval(() => { client.socket.write('x'.repeat(1_000)) }, 20)
    await expect.poll(client.isClosed, { timeout: 5_000 }).toBe(true)
    clearInterval(sending)
  })

  it('keeps a connection whose refused request ends soon', async () => {
    await listen(LIMITS)
    const client = await open()
    client.socket.write(`${HEAD}content-length: 3\r\n\r\nabc${HEAD}content-length: 3\r\n\r\nd`)
    await expect.poll(client.received).toMatch(/abc$/)
    client.socket.write('ef')
    await expect.poll(client.received).toMatch(/def$/)
  })

  it('answers a request that is handled also if the one behind it is refused', async () => {
    await listen({ connections: 4, bytes: 2 * 16_384 + 50_000 })
    const first = await open()
    first.socket.write(`GET /slow HTTP/1.1\r\nhost: x\r\n\r\n${HEAD}content-length: 40000\r\n\r\n${'a'.repeat(25_000)}`)
    await expect.poll(() => guard.bytes()).toBeGreaterThan(20_000)
    const second = await open()
    second.socket.write(`${HEAD}content-length: 30000\r\n\r\n${'b'.repeat(30_000)}`)
    await expect.poll(second.received).toContain('b'.repeat(100))
    await expect.poll(first.received, { timeout: 5_000 }).toMatch(/slow.*503 .*no room$/s)
    await expect.poll(first.isClosed, { timeout: 5_000 }).toBe(true)
  })

  it('gives a new connection the place of one that sends nothing', async () => {
    await listen(LIMITS)
    const silent = await Promise.all(Array.from({ length: 4 }, open))
    const client = await open()
    client.socket.write(`${HEAD}content-length: 3\r\n\r\nabc`)
    await expect.poll(client.received).toMatch(/abc$/)
    await expect.poll(() => silent.filter(({ isClosed }) => isClosed()).length).toBe(1)
    expect(closings).toEqual(['connections 0'])
  })

  it('closes a connection with more than 64 requests whose answers are not written', async () => {
    await listen(LIMITS)
    const client = await open()
    client.socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n'.repeat(1_000))
    await expect.poll(client.isClosed).toBe(true)
    expect(closings).toEqual(['pipelined 0'])
    await expect.poll(guard.connectionCount).toBe(0)
  })

  it('counts and closes connections with TLS, also those that do not finish its handshake', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'baobabpost-certificate-'))
    const [key, certificate] = [join(directory, 'key.pem'), join(directory, 'certificate.pem')]
    execFileSync('openssl', [
      'req', '-x509', '-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:prime256v1', '-nodes', '-days', '1',
      '-subj', '/CN=test', '-keyout', key, '-out', certificate
    ], { stdio: 'ignore' })
    await listen(LIMITS, createSecureServer({ key: readFileSync(key), cert: readFileSync(certificate) }))
    rmSync(directory, { recursive: true })
    const silent = await Promise.all(Array.from({ length: 4 }, open))
    const { port } = server.address() as AddressInfo
    const client = await follow(connectSecurely({ host: HOST, port, rejectUnauthorized: false }), 'secureConnect')
    client.socket.write(`${HEAD}content-length: 3\r\n\r\nabc`)
    await expect.poll(client.received).toMatch(/abc$/)
    await expect.poll(() => silent.filter(({ isClosed }) => isClosed()).length).toBe(1)
    expect(guard.connectionCount()).toBe(4)
  })
})
