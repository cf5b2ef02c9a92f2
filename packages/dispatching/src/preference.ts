/** Small differences between what entries prefer, so that they don't all choose the same upstream at once. */
import { createHash } from 'node:crypto'

const RANGE = 2 ** 32

/**
 * Rank of an agent for an entry, from 0 (first) to 1: the same each time, and unlike that of another entry.
 *
 * @example
 * rankFor('entry-1', 'agent-7') // 0.42
 */
export function rankFor (entry: string, agent: string): number {
  return createHash('sha256').update(entry).update('\n').update(agent).digest().readUInt32BE() / RANGE
}
