/** Frames on a connection between two processes: the length of a message in four bytes, then the message in UTF-8. */
import { createBodyBuffer, type BodyBuffer } from '@baobabpost/client-limits'

const LENGTH_BYTES = 4
/** Maximum size of a message; a start of 2,000 tasks with the longest specification is smaller. */
export const MAXIMUM_MESSAGE_BYTES = 1_048_576

/** The bytes that arrived are no frame, or one above the limit. */
export class FrameError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'FrameError'
  }
}

/**
 * Encodes messages as frames, in one buffer.
 *
 * @example
 * socket.write(encodeFrames([{ text: '{}', bytes: 2 }]))
 */
export function encodeFrames (messages: ReadonlyArray<{ readonly text: string, readonly bytes: number }>): Buffer {
  let size = 0
  for (const { bytes } of messages) size += LENGTH_BYTES + bytes
  const buffer = Buffer.allocUnsafe(size)
  let position = 0
  for (const { text, bytes } of messages) {
    position = buffer.writeUInt32BE(bytes, position)
    position += buffer.write(text, position, 'utf8')
  }
  return buffer
}

/** Reads messages from the bytes of a connection. */
export interface FrameReader {
  /**
   * Takes the next bytes, and returns the messages that are complete.
   *
   * @throws FrameError if a length is 0 or above the limit; the connection can't be read any further.
   */
  read: (chunk: Buffer) => string[]
  /** Bytes that are allocated for the incomplete message. */
  heldBytes: () => number
}

/**
 * Creates a reader at the begin of a connection. It holds at most one incomplete message.
 *
 * @example
 * const reader = createFrameReader()
 * for (const message of reader.read(chunk)) handle(message)
 */
export function createFrameReader (): FrameReader {
  let waiting: BodyBuffer | undefined
  /** Number of waiting bytes with which something is complete: a length, or a message with its length. */
  let neededBytes = LENGTH_BYTES

  /** Keeps the begin of a message, at a cost that does not depend on the chunks in which it comes. */
  function keep (bytes: Buffer): BodyBuffer {
    waiting ??= createBodyBuffer()
    waiting.add(bytes)
    return waiting
  }

  function takeMessages (buffer: Buffer): string[] {
    const messages: string[] = []
    let position = 0
    for (;;) {
      neededBytes = LENGTH_BYTES
      if (buffer.length - position < LENGTH_BYTES) break
      const bytes = buffer.readUInt32BE(position)
      if (bytes === 0 || bytes > MAXIMUM_MESSAGE_BYTES) {
        throw new FrameError(`expected a length of 1 to ${MAXIMUM_MESSAGE_BYTES} bytes, got ${bytes}`)
      }
      neededBytes = LENGTH_BYTES + bytes
      if (buffer.length - position < neededBytes) break
      messages.push(buffer.toString('utf8', position + LENGTH_BYTES, position + neededBytes))
      position += neededBytes
    }
    waiting = undefined
    if (position < buffer.length) keep(buffer.subarray(position))
    return messages
  }

  return {
    read: chunk => {
      if (waiting === undefined) return takeMessages(chunk)
      const kept = keep(chunk)
      return kept.length() < neededBytes ? [] : takeMessages(kept.read())
    },
    heldBytes: () => waiting?.capacity() ?? 0
  }
}
