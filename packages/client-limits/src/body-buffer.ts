/** Collects the bytes of a body at a cost that does not depend on how they are cut into chunks. */

/** Smallest size of a buffer that chunks are copied to. */
const SMALLEST_CAPACITY_BYTES = 4_096

export interface BodyBuffer {
  /** Appends a chunk. */
  add: (chunk: Buffer) => void
  /** Number of bytes of the body so far. */
  length: () => number
  /** Bytes that are allocated for it. */
  capacity: () => number
  /** Returns the body so far. */
  read: () => Buffer
}

/**
 * Creates an empty buffer. A body of one chunk is kept as it came, unless the chunk is a small part of a larger buffer;
 * all others are copied to one buffer, whose size doubles when it is full.
 *
 * @example
 * const body = createBodyBuffer()
 * incoming.on('data', body.add)
 * incoming.on('end', () => { handle(body.read().toString('utf8')) })
 */
export function createBodyBuffer (): BodyBuffer {
  let buffer: Buffer = Buffer.alloc(0)
  let length = 0

  function grow (needed: number): void {
    let capacity = Math.max(SMALLEST_CAPACITY_BYTES, buffer.length)
    while (capacity < needed) capacity *= 2
    const larger = Buffer.allocUnsafeSlow(capacity)
    buffer.copy(larger, 0, 0, length)
    buffer = larger
  }

  return {
    add: chunk => {
      if (length === 0 && chunk.buffer.byteLength <= 2 * chunk.length) {
        buffer = chunk
      } else {
        if (length + chunk.length > buffer.length) grow(length + chunk.length)
        chunk.copy(buffer, length)
      }
      length += chunk.length
    },
    length: () => length,
    capacity: () => buffer.length,
    read: () => buffer.subarray(0, length)
  }
}
