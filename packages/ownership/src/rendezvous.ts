/** Rendezvous hashing: all entries with the same live entries compute the same preferred owner of a partition. */
import type { EntryIdentity } from '@baobabpost/common'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

function hashOf (text: string): number {
  let hash = FNV_OFFSET
  for (let place = 0; place < text.length; place += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(place), FNV_PRIME)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Returns the preferred owner of a partition, or undefined if there are no entries.
 *
 * @example
 * preferredOwner(17, liveEntries)
 */
export function preferredOwner (partition: number, entries: readonly EntryIdentity[]): EntryIdentity | undefined {
  let best: EntryIdentity | undefined
  let bestHash = -1
  for (const entry of entries) {
    const hash = hashOf(`${partition}/${entry}`)
    if (hash < bestHash) continue
    if (hash === bestHash && best !== undefined && best < entry) continue
    best = entry
    bestHash = hash
  }
  return best
}
