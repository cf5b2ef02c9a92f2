/** Reads the body of a request within the limits of its server, and answers it even if the body has not ended. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createBodyBuffer, type BodyBuffer } from './body-buffer.js'
import type { ClientConnection, RequestPhase } from './client-connection.js'
import type { ReadingTurns } from './reading-turns.js'

/** Time for which the rest of an answered request is read, so that the client gets the answer before the reset. */
const LINGER_MILLISECONDS = 1_000
/** Bytes of the rest of an answered request that are read. */
const LINGER_BYTES = 1_048_576
/** Size from which an answer that waits to be written is charged; smaller ones are in the charge for a connection. */
const LARGE_ANSWER_BYTES = 4_096

/** How the body of a request is read. */
export interface BodyReader {
  /** Largest size of the body. */
  readonly maximumBytes: number
  /** Called with the whole body. Its bytes are charged until the answer is written, or `releaseBody` is called. */
  readonly onWhole: (body: Buffer) => void
  /** Called instead if the body exceeds its maximum; the rest of it is discarded. */
  readonly onTooLarge: () => void
  /** Called instead if the server has no room for the body: nothing of the request was handled. */
  readonly onRefused: () => void
}

/** A request that a server handles within its limits. */
export interface GuardedRequest {
  /** Reads the body; without a call it is discarded. To be called while the request is handed over. */
  readBody: (reader: BodyReader) => void
  /** Takes back the charge for the body, once it is handled. */
  releaseBody: () => void
  /** Charges for what is held until the answer is written, in bytes. Returns whether there is room for it. */
  reserve: (bytes: number) => boolean
  /** Whether the body has ended. */
  isWhole: () => boolean
}

const requests = new WeakMap<ServerResponse, { readonly end: (text: string | Buffer | undefined) => void }>()

/**
 * Ends an answer whose head is written. If the body of the request has not ended, the answer is sent at once, and the
 * connection is closed unless the body ends shortly after.
 *
 * @example
 * outgoing.writeHead(404, { 'content-length': 0 })
 * endAnswer(outgoing)
 */
export function endAnswer (outgoing: ServerResponse, text?: string | Buffer): void {
  const request = requests.get(outgoing)
  if (request === undefined) outgoing.end(text)
  else request.end(text)
}

function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}

/** Begins to read a request of a connection. */
export function createGuardedRequest (
  incoming: IncomingMessage, outgoing: ServerResponse, connection: ClientConnection, turns: ReadingTurns
): GuardedRequest {
  const { socket } = incoming
  let phase: RequestPhase | undefined
  let reader: BodyReader | undefined
  let body: BodyBuffer | undefined
  let isBodyOpen = hasBody(incoming)
  let heldBytes = 0
  let reservedBytes = 0
  let discardedBytes = 0
  let isSlow = false
  let linger: NodeJS.Timeout | undefined

  function move (to: RequestPhase | undefined): void {
    const from = phase
    phase = to
    connection.move(from, to)
  }

  function hold (bytes: number): void {
    const change = bytes - heldBytes
    heldBytes = bytes
    if (change !== 0) connection.addHeldBytes(change)
  }

  function dropBody (): void {
    body = undefined
    hold(0)
  }

  function stopReading (): BodyReader | undefined {
    const stopped = reader
    reader = undefined
    connection.refuse = undefined
    return stopped
  }

  function refuse (): void {
    // The account has taken the charge back.
    heldBytes = 0
    body = undefined
    stopReading()?.onRefused()
  }

  /** Ends the connection after an answer to a request whose body goes on, once those before it are answered. */
  function closeLater (): void {
    linger = setTimeout(() => {
      if (connection.isWorking()) closeLater()
      else socket.destroy()
    }, LINGER_MILLISECONDS)
  }

  /** Stops reading from a connection that sends very small chunks until it is its turn. */
  function waitForTurn (): void {
    const readOn = incoming._read.bind(incoming)
    isSlow = true
    connection.setSlow(true)
    connection.slice()
    // The request resumes its socket whenever it may take more.
    incoming._read = size => { if (!isSlow) readOn(size) }
    socket.pause()
    socket.once('close', leaveTurns)
  }

  /** A connection that waited on after it is closed would keep all that was read from it. */
  function leaveTurns (): void {
    turn?.leave()
  }

  function takeTurn (): void {
    isSlow = false
    socket.off('close', leaveTurns)
    connection.setSlow(false)
    socket.resume()
  }

  function handleChunk (chunk: Buffer): void {
    if (turn?.count() === true) waitForTurn()
    if (reader === undefined) {
      discardedBytes += chunk.length
      if (discardedBytes > LINGER_BYTES) socket.destroy()
      return
    }
    body ??= createBodyBuffer()
    if (body.length() + chunk.length > reader.maximumBytes) {
      dropBody()
      return stopReading()?.onTooLarge()
    }
    body.add(chunk)
    hold(body.capacity())
  }

  function handleEnd (): void {
    isBodyOpen = false
    clearTimeout(linger)
    if (phase === 'reading') move('working')
    if (linger !== undefined) outgoing.end()
    const whole = body?.read() ?? Buffer.alloc(0)
    stopReading()?.onWhole(whole)
  }

  function chargeAnswer (text: string | Buffer | undefined): void {
    if (text === undefined || text.length < LARGE_ANSWER_BYTES) return
    const bytes = Buffer.byteLength(text)
    reservedBytes += bytes
    connection.addHeldBytes(bytes)
  }

  function end (text: string | Buffer | undefined): void {
    if (phase !== undefined) move('unread')
    chargeAnswer(text)
    if (!isBodyOpen) {
      outgoing.end(text)
    } else {
      if (text !== undefined) outgoing.write(text)
      else outgoing.flushHeaders()
      if (linger === undefined) closeLater()
    }
  }

  function handleClose (): void {
    clearTimeout(linger)
    dropBody()
    if (reservedBytes > 0) connection.addHeldBytes(-reservedBytes)
    reservedBytes = 0
    stopReading()
    if (phase !== undefined) move(undefined)
  }

  const turn = isBodyOpen ? turns.begin(takeTurn, connection.isSliced) : undefined
  move(isBodyOpen ? 'reading' : 'working')
  requests.set(outgoing, { end })
  outgoing.once('finish', handleClose)
  outgoing.once('close', handleClose)
  if (isBodyOpen) incoming.on('data', handleChunk).once('end', handleEnd)
  return {
    readBody: bodyReader => {
      if (!isBodyOpen) {
        // Handed over in the next turn of the promise queue, as a body that ends later.
        incoming.resume().once('end', () => { bodyReader.onWhole(Buffer.alloc(0)) })
        return
      }
      reader = bodyReader
      connection.refuse = refuse
    },
    releaseBody: dropBody,
    reserve: bytes => {
      const isReserved = connection.reserve(bytes)
      if (isReserved) reservedBytes += bytes
      return isReserved
    },
    isWhole: () => !isBodyOpen
  }
}
