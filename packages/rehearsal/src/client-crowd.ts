/** A crowd of HTTP clients that hold connections open and don't keep to the usual course of a request. */
import { connect, type Socket } from 'node:net'

/** Few connections at once by default, so that the queue of new connections does not overflow. */
const DEFAULT_PACE = { connections: 50, pauseMilliseconds: 0 }
/** Size of the pieces in which an endless body is sent. */
const PIECE_BYTES = 16_384
/** Time after which a client connects anew. */
const RECONNECT_MILLISECONDS = 100

/** What each client of a crowd does on its connection. */
export interface ClientBehaviour {
  /** Bytes that the client sends at first; a function of its number if they differ. */
  readonly opening: string | Buffer | ((index: number) => string)
  /** Whether the client reads what it is sent; by default it does. */
  readonly reads?: boolean
  /** Number of connections that are opened at once, and the pause after that; 50 and none by default. */
  readonly pace?: { readonly connections: number, readonly pauseMilliseconds: number }
  /** Whether the client sends further bytes as long as its connection is open. */
  readonly sendsOn?: boolean
  /** Whether the client connects anew, after a moment, whenever its connection is closed. */
  readonly reconnects?: boolean
}

/** Connections of a crowd. */
export interface ClientCrowd {
  /** Number of connections that are open. */
  readonly openCount: () => number
  /** Closes all connections. */
  readonly close: () => void
}

/** Returns a chunked request whose body lacks its last chunk. */
export function formatChunkedRequest (
  path: string, headers: Readonly<Record<string, string>>, chunkBytes: number, chunkCount: number
): string {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`
  return `${formatHead('POST', path, { ...headers, 'transfer-encoding': 'chunked' })}${chunk.repeat(chunkCount)}`
}

/** Returns the head of a request. */
export function formatHead (method: string, path: string, headers: Readonly<Record<string, string>>): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`
}

/**
 * Opens a crowd of connections, and returns once each is connected and its opening bytes are handed to the system.
 *
 * @param address - `IP:PORT` of the server.
 * @example
 * const crowd = await openCrowd('127.0.0.1:8161', 600, { opening: 'POST /jobs/0123456789abcdef HTTP/1.1\r\n' })
 * crowd.close()
 */
export async function openCrowd (address: string, count: number, behaviour: ClientBehaviour): Promise<ClientCrowd> {
  const separator = address.lastIndexOf(':')
  const target = { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
  const { opening } = behaviour
  const sameOpening = typeof opening === 'function' ? undefined : Buffer.from(opening)
  const piece = Buffer.alloc(PIECE_BYTES, 'x')
  const sockets = new Set<Socket>()
  let isClosed = false

  function sendOn (socket: Socket): void {
    if (!socket.destroyed) socket.write(piece, () => { setImmediate(sendOn, socket) })
  }

  /** Opens a connection, and calls back once it is connected or closed. */
  function open (index: number, onSettled: () => void): void {
    const socket = connect(target)
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      onSettled()
      if (behaviour.reconnects === true) setTimeout(reopen, RECONNECT_MILLISECONDS, index)
    })
    socket.on('connect', () => {
      socket.write(sameOpening ?? (opening as (index: number) => string)(index))
      if (behaviour.reads ?? true) socket.resume()
      if (behaviour.sendsOn === true) sendOn(socket)
      onSettled()
    })
  }

  function reopen (index: number): void {
    if (!isClosed) open(index, () => {})
  }

  const { connections: batchSize, pauseMilliseconds } = behaviour.pace ?? DEFAULT_PACE
  for (let opened = 0; opened < count; opened += batchSize) {
    const batch = Array.from({ length: Math.min(batchSize, count - opened) }, (_, index) => opened + index)
    await Promise.all(batch.map(index => new Promise<void>(resolve => { open(index, resolve) })))
    if (pauseMilliseconds > 0) await new Promise(resolve => { setTimeout(resolve, pauseMilliseconds) })
  }
  return {
    openCount: () => sockets.size,
    close: () => {
      isClosed = true
      for (const socket of sockets) socket.destroy()
    }
  }
}
