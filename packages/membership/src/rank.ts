/** Ranks entries for work that only one of them should do, so that the others do it only if that one does not. */
import { createHash } from 'node:crypto'
import type { EntryIdentity } from '@baobabpost/common'

function score (subject: string, entry: EntryIdentity): string {
  return createHash('sha256').update(subject).update('\n').update(entry).digest('hex')
}

/**
 * Returns the rank of an entry for a subject by rendezvous hashing: the entry of rank 0 acts first, and subjects spread
 * evenly over the entries.
 *
 * @example
 * rankOf('agent/agent-1@0193…', identity, entries) // 0
 */
export function rankOf (subject: string, identity: EntryIdentity, entries: readonly EntryIdentity[]): number {
  const own = score(subject, identity)
  let rank = 0
  for (const entry of entries) {
    if (entry !== identity && score(subject, entry) < own) rank += 1
  }
  return rank
}
