/** Rank of agents that differs between entries, so that entries don't all choose the same upstream at once. */
import { createHash } from 'node:crypto'

const RANGE = 2 ** 32

/**
 * Returns the rank of an agent for an entry, from 0 (first) to below 1. It depends only on the two names, and differs
 * between entries.
 *
 * @example
 * rankFor('entry-1', 'agent-7') // 0.42
 */
export function rankFor (entry: string, agent: string): number {
  return createHash('sha256').update(entry).update('\n').update(agent).digest().readUInt32BE() / RANGE
}
