/** Hash of texts that spreads well and needs no cryptography, which would have to be loaded at each start. */

const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193

/**
 * Returns a hash of a text, from 0 to 2^32 - 1: FNV-1a over its UTF-16 code units with the final mix of MurmurHash3.
 * It must not be used where an attacker could gain from a collision.
 *
 * @example
 * hashText('agent-7') % 16
 */
export function hashText (text: string): number {
  let hash = OFFSET_BASIS
  for (let position = 0; position < text.length; position += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(position), PRIME)
  }
  hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b)
  hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35)
  return (hash ^ hash >>> 16) >>> 0
}
