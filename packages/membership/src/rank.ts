/** Order in which entries take on a duty that one of them should do, so that the others do it only if it doesn't. */
import { createHash } from 'node:crypto'
import type { EntryIdentity } from '@baobabpost/common'

function score (subject: string, entry: EntryIdentity): string {
  return createHash('sha256').update(subject).update('\n').update(entry).digest('hex')
}

/**
 * Tells the place of an entry among all for a subject; 0 goes first. Subjects spread over the entries.
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
