/** Divides what is read from a connection, so that the parser does not go through many small chunks in one turn. */
import type { Socket } from 'node:net'

/** Bytes that the parser is given in one turn: 700 chunks of one byte. */
const SLICE_BYTES = 4_096

export interface SlicedReadsOptions {
  /** Called after each read and each slice with the number of bytes that are read and not yet parsed. */
  readonly onUnparsed: (bytes: number) => void
  /** Calls back in the next turn of the event loop. */
  readonly defer: (run: () => void) => void
}

/**
 * Gives the parser of an HTTP connection one slice a turn of each read from now on. The rest waits in the socket: while
 * that is paused, and when it is closed, nothing of it is parsed. Without slices Node.js parses as it reads, 64 KiB at
 * a time, which costs less for ordinary requests. Not for connections that may be upgraded, whose parser hands them on.
 *
 * @returns whether the reads are divided; not if nothing parses them.
 * @example
 * sliceReads(socket, { onUnparsed: bytes => { charge(bytes) }, defer: setImmediate })
 */
export function sliceReads (socket: Socket, options: SlicedReadsOptions): boolean {
  const [parse] = socket.listeners('data')
  if (parse === undefined) return false
  const pause = socket.pause.bind(socket)
  const resumeSocket = socket.resume.bind(socket)
  const read = socket._read.bind(socket)
  const push = socket.push.bind(socket)
  let isPaused = socket.isPaused()
  let isHeld = false

  function mayRead (): boolean {
    return !isPaused && !isHeld
  }

  function reportUnparsed (): void {
    options.onUnparsed(socket.destroyed ? 0 : socket.readableLength)
  }

  /** Reads on, also if the stream takes a read to be under way: the parser has read beside it, or it was held. */
  function readOn (): void {
    if (socket.readableLength === 0) read(SLICE_BYTES)
  }

  function resume (): Socket {
    resumeSocket()
    readOn()
    return socket
  }

  // A stream that is paused again before it has resumed would start to read, each time 64 KiB more.
  socket._read = size => { if (mayRead()) read(size) }
  // A read that is under way when the stream is paused arrives all the same.
  socket.push = (data: unknown, encoding?: BufferEncoding) => {
    const mayPushMore = push(data, encoding)
    reportUnparsed()
    return mayPushMore
  }

  // The parser resumes its socket whenever a request may take more, also while the next slice waits for its turn.
  socket.pause = () => {
    isPaused = true
    return pause()
  }
  socket.resume = () => {
    isPaused = false
    return isHeld ? socket : resume()
  }

  function release (): void {
    isHeld = false
    if (!isPaused && !socket.destroyed) resume()
  }

  socket.removeListener('data', parse as (data: Buffer) => void)
  socket.on('data', (data: Buffer) => {
    if (socket.destroyed) return
    const rest = data.subarray(SLICE_BYTES)
    isHeld = rest.length > 0 || socket.readableLength > 0
    if (isHeld) pause()
    if (rest.length > 0) socket.unshift(rest)
    parse.call(socket, data.subarray(0, SLICE_BYTES))
    if (isHeld) options.defer(release)
    else if (!isPaused) readOn()
    reportUnparsed()
  })
  if (!isPaused) resume()
  return true
}
