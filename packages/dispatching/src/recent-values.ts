/** The newest values of a quantity, with their quantiles. */

export interface RecentValues {
  add: (value: number) => void
  /** Returns the value below which this share of the values lies. */
  quantile: (share: number) => number
  /** Number of values that were added and are still kept. */
  count: () => number
}

/** Values from which only each fourth one leads to sorting them again. */
const RARE_SORT_VALUES = 16
const RARE_SORT_INTERVAL_VALUES = 4

/**
 * Creates an empty list of recent values.
 *
 * @param maximum - Number of values that are kept.
 * @param assumed - Values that are counted beside them, so that the first few decide little.
 * @example
 * const values = createRecentValues(48, [1, 1, 1])
 * values.add(1.4)
 * values.quantile(0.5) // 1
 */
export function createRecentValues (maximum: number, assumed: readonly number[]): RecentValues {
  const values: number[] = []
  let position = 0
  let sorted: number[] | undefined
  let addedSinceSort = 0
  return {
    add: value => {
      values[position] = value
      position = (position + 1) % maximum
      addedSinceSort += 1
      if (values.length < RARE_SORT_VALUES || addedSinceSort >= RARE_SORT_INTERVAL_VALUES) sorted = undefined
    },
    quantile: share => {
      if (sorted === undefined) {
        sorted = [...values, ...assumed].sort((left, right) => left - right)
        addedSinceSort = 0
      }
      return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
    },
    count: () => values.length
  }
}
