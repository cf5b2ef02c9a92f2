/** Ends of shared connections whose bytes a test decides, on loopback sockets. */
import { once } from 'node:events'
import { createServer, request, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { CALL_PATH, UPGRADE_PROTOCOL } from '@baobabpost/fleet-calls'
import { createFrameReader, encodeFrames } from '../src/frames.js'

export const HOST = '127.61.3.1'

/** Encodes a text as one frame. */
export function frame (text: string): Buffer {
  return encodeFrames([{ text, bytes: Buffer.byteLength(text) }])
}

/** Makes a server listen on a free port, and returns its address. */
export async function listenOnLoopback (server: Server, port = 0): Promise<string> {
  server.listen(port, HOST)
  await once(server, 'listening')
  return `${HOST}:${(server.address() as AddressInfo).port}`
}

export interface RawServer {
  readonly address: string
  /** Sockets of the shared connections, the newest last. */
  readonly sockets: Socket[]
  close: () => void
}

/** A request as it arrived, with the number of the connection, from 1. */
export interface RawRequest {
  readonly id: number
  readonly method: string
  readonly connection: number
}

/** Starts a server of shared connections that hands each request to `handle`, which may write to the socket. */
export async function startRawServer (handle: (request: RawRequest, socket: Socket) => void): Promise<RawServer> {
  const sockets: Socket[] = []
  const server = createServer()
  server.on('upgrade', (_incoming, duplex) => {
    const socket = duplex as Socket
    const connection = sockets.push(socket)
    const reader = createFrameReader()
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      for (const text of reader.read(chunk)) handle({ ...JSON.parse(text) as RawRequest, connection }, socket)
    })
    socket.write(`HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${UPGRADE_PROTOCOL}\r\n\r\n`)
  })
  const address = await listenOnLoopback(server)
  return {
    address,
    sockets,
    close: () => {
      server.close()
      server.closeAllConnections()
      for (const socket of sockets) socket.destroy()
    }
  }
}

/** Opens a shared connection to a server, and returns its socket. */
export async function connectRaw (address: string): Promise<Socket> {
  const [host, port] = address.split(':')
  const outgoing = request({
    agent: false, host, port, path: CALL_PATH, headers: { connection: 'Upgrade', upgrade: UPGRADE_PROTOCOL }
  })
  outgoing.end()
  const [, socket] = await once(outgoing, 'upgrade') as [unknown, Socket]
  socket.on('error', () => {})
  return socket
}
