/** Counts bad answers by what consumed the error budget, for a bounded number of names in each dimension. */
import { BUDGET_CONSUMER_DIMENSIONS, type BudgetConsumer, type BudgetConsumerDimension } from '@baobabpost/messages'

/** Name under which bad answers are summed for names beyond the bounds. */
export const OTHER_BUDGET_CONSUMERS = 'other'

const MAXIMUM_COUNTED_NAMES = 64
const MAXIMUM_LISTED_NAMES = 8

/** Bad answers by dimension and name. */
export interface BudgetConsumerCounts {
  add: (dimension: BudgetConsumerDimension, name: string, bad: number) => void
  /** Returns the largest consumers of each dimension, largest first; the rest is summed under `other`. */
  largest: () => BudgetConsumer[]
}

function listLargest (dimension: BudgetConsumerDimension, counts: ReadonlyMap<string, number>): BudgetConsumer[] {
  const named = [...counts].filter(([name]) => name !== OTHER_BUDGET_CONSUMERS)
  named.sort(([leftName, left], [rightName, right]) => right - left || (leftName < rightName ? -1 : 1))
  const listed = named.slice(0, MAXIMUM_LISTED_NAMES).map(([name, bad]) => ({ dimension, name, bad }))
  let otherBad = counts.get(OTHER_BUDGET_CONSUMERS) ?? 0
  for (const [, bad] of named.slice(MAXIMUM_LISTED_NAMES)) otherBad += bad
  if (otherBad > 0) listed.push({ dimension, name: OTHER_BUDGET_CONSUMERS, bad: otherBad })
  return listed
}

/**
 * Creates empty counts.
 *
 * @example
 * const counts = createBudgetConsumerCounts()
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
      const countedName = counts.has(name) || counts.size < MAXIMUM_COUNTED_NAMES ? name : OTHER_BUDGET_CONSUMERS
      counts.set(countedName, (counts.get(countedName) ?? 0) + bad)
    },
    largest: () => [...dimensions].flatMap(([dimension, counts]) => listLargest(dimension, counts))
  }
}
