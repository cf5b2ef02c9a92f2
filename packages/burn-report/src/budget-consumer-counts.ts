/** Counts of bad answers by what spent the budget, with a bound on the number of names. */
import { BUDGET_CONSUMER_DIMENSIONS, type BudgetConsumer, type BudgetConsumerDimension } from '@baobabpost/messages'

/** Name under which everything past the bounds is summed. */
export const OTHER_BUDGET_CONSUMERS = 'other'

const MAXIMUM_NAMES_IN_MEMORY = 64
const MAXIMUM_NAMES_WRITTEN = 8

/** Bad answers by dimension and name. */
export interface BudgetConsumerCounts {
  add: (dimension: BudgetConsumerDimension, name: string, bad: number) => void
  /** The largest spenders of each dimension, largest first; the rest is summed under `other`. */
  largest: () => BudgetConsumer[]
}

function writeLargest (dimension: BudgetConsumerDimension, counts: ReadonlyMap<string, number>): BudgetConsumer[] {
  const named = [...counts].filter(([name]) => name !== OTHER_BUDGET_CONSUMERS)
  named.sort(([leftName, left], [rightName, right]) => right - left || (leftName < rightName ? -1 : 1))
  const written = named.slice(0, MAXIMUM_NAMES_WRITTEN).map(([name, bad]) => ({ dimension, name, bad }))
  let rest = counts.get(OTHER_BUDGET_CONSUMERS) ?? 0
  for (const [, bad] of named.slice(MAXIMUM_NAMES_WRITTEN)) rest += bad
  if (rest > 0) written.push({ dimension, name: OTHER_BUDGET_CONSUMERS, bad: rest })
  return written
}

/**
 * Makes empty counts.
 *
 * @example
 * const counts = createSpenderCounts()
 * counts.add('cause', 'late', 1)
 * counts.largest() // [{ dimension: 'cause', name: 'late', bad: 1 }]
 */
export function createBudgetConsumerCounts (): BudgetConsumerCounts {
  const dimensions = new Map<BudgetConsumerDimension, Map<string, number>>()
  for (const dimension of BUDGET_CONSUMER_DIMENSIONS) dimensions.set(dimension, new Map())
  return {
    add (dimension, name, bad) {
      const counts = dimensions.get(dimension)
      if (counts === undefined) return
      const counted = counts.has(name) || counts.size < MAXIMUM_NAMES_IN_MEMORY ? name : OTHER_BUDGET_CONSUMERS
      counts.set(counted, (counts.get(counted) ?? 0) + bad)
    },
    largest: () => [...dimensions].flatMap(([dimension, counts]) => writeLargest(dimension, counts))
  }
}
