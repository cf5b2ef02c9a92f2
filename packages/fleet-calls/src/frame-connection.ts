/** A connection on which two processes exchange messages as frames, with one write for each turn of the event loop. */
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import { createFrameReader, encodeFrames } from './frames.js'

/** Size of the frames that may wait for a peer to read them; above it, the connection is closed. */
const MAXIMUM_WAITING_BYTES = 2_097_152

/** Why a connection was closed. A fault is logged; a connection that the peer closed or reset is none. */
export interface ConnectionEnd {
  readonly reason: string
  readonly isFault: boolean
}

export interface FrameConnection {
  /** Sends a message with the others of this turn of the event loop. Does nothing once the connection is closed. */
  send: (text: string) => void
  /** Closes the connection; `onClosed` is called at once. */
  close: (end: ConnectionEnd) => void
}

export interface FrameConnectionOptions {
  /** Bytes that arrived together with the upgrade. */
  readonly head: Buffer
  /** Time without a byte in either direction after which `onIdle` is called. */
  readonly idleMilliseconds: number
  /** Called when bytes arrive, before their messages are handled. */
  readonly onBytes?: () => void
  /** Handles a message; if it throws, the connection is closed with that reason. */
  readonly onMessage: (text: string) => void
  readonly onIdle: () => void
  /** Called when the bytes change that the connection holds: of an incomplete message, and of messages not yet sent. */
  readonly onHeldBytes?: (incompleteBytes: number, unsentBytes: number) => void
  /** Called once; no message is handled after it. */
  readonly onClosed: (end: ConnectionEnd) => void
}

/**
 * Exchanges messages over a socket that was upgraded. No error of the socket or of a message is thrown to the process.
 *
 * @example
 * const connection = createFrameConnection(socket, { head, idleMilliseconds, onMessage, onIdle, onClosed })
 * connection.send('{"jsonrpc":"2.0","id":1,"method":"watch"}')
 */
export function createFrameConnection (socket: Duplex, options: FrameConnectionOptions): FrameConnection {
  const reader = createFrameReader()
  let isClosed = false
  let waitingMessages: Array<{ text: string, bytes: number }> = []
  let waitingBytes = 0

  function close (end: ConnectionEnd): void {
    if (isClosed) return
    isClosed = true
    waitingMessages = []
    socket.destroy()
    options.onClosed(end)
  }

  function reportHeldBytes (): void {
    if (!isClosed) options.onHeldBytes?.(reader.heldBytes(), waitingBytes + socket.writableLength)
  }

  function flush (): void {
    if (isClosed) return
    const messages = waitingMessages
    waitingMessages = []
    waitingBytes = 0
    socket.write(encodeFrames(messages), reportHeldBytes)
    reportHeldBytes()
  }

  function send (text: string): void {
    if (isClosed) return
    const bytes = Buffer.byteLength(text)
    waitingBytes += bytes
    if (waitingBytes + socket.writableLength > MAXIMUM_WAITING_BYTES) {
      return close({ reason: `the peer does not read: ${waitingBytes + socket.writableLength} bytes wait`, isFault: true })
    }
    waitingMessages.push({ text, bytes })
    if (waitingMessages.length === 1) setImmediate(flush)
  }

  function handleBytes (chunk: Buffer): void {
    options.onBytes?.()
    try {
      for (const message of reader.read(chunk)) {
        if (isClosed) return
        options.onMessage(message)
      }
      reportHeldBytes()
    } catch (failure) {
      close({ reason: String(failure), isFault: true })
    }
  }

  const netSocket = socket as Socket
  netSocket.setNoDelay(true)
  netSocket.setTimeout(options.idleMilliseconds)
  netSocket.on('timeout', () => { if (!isClosed) options.onIdle() })
  socket.on('error', failure => { close({ reason: failure.message, isFault: false }) })
  // A peer that has closed its side sends nothing more, and its calls have nobody who waits for them.
  socket.on('end', () => { close({ reason: 'closed by the peer', isFault: false }) })
  socket.on('close', () => { close({ reason: 'closed', isFault: false }) })
  if (options.head.length > 0) socket.unshift(options.head)
  socket.on('data', handleBytes)
  return { send, close }
}
