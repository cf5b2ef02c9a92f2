/** Divides an agent's capacity among entries that do not coordinate with each other. */

/** Minimum window of an entry, so that an urgent call never waits for a window. */
export const WINDOW_FLOOR_TASKS = 1

/**
 * Divides a capacity by max-min fairness: no entry gets more than its demand while the demand of another is unmet.
 * The rest is divided equally. No window is below `WINDOW_FLOOR_TASKS`, so the sum may exceed the capacity by one
 * floor for each entry.
 *
 * @param capacity - Number of tasks to divide.
 * @param demands - Number of tasks that each entry could use.
 * @returns Maximum number of unfinished tasks of each entry, in the order of the demands.
 * @example
 * shareWindows(12, [100, 0, 3]) // [9, 1, 3]
 */
export function shareWindows (capacity: number, demands: readonly number[]): number[] {
  const windows = demands.map(() => 0)
  const indexesByDemand = demands.map((_demand, index) => index).sort((left, right) => demands[left]! - demands[right]!)
  let remaining = capacity
  let entriesLeft = indexesByDemand.length
  for (const index of indexesByDemand) {
    const granted = Math.min(Math.ceil(demands[index]!), Math.floor(remaining / entriesLeft))
    windows[index] = granted
    remaining -= granted
    entriesLeft -= 1
  }
  distributeRemainder(windows, remaining, indexesByDemand)
  return windows.map(window => Math.max(window, WINDOW_FLOOR_TASKS))
}

/** Divides the remaining tasks equally; the indivisible rest goes to the entries with the highest demand. */
function distributeRemainder (windows: number[], remaining: number, indexesByDemand: readonly number[]): void {
  const equalShare = Math.floor(remaining / indexesByDemand.length)
  const extraTasks = remaining - equalShare * indexesByDemand.length
  for (const [rank, index] of indexesByDemand.entries()) {
    windows[index]! += equalShare + (rank >= indexesByDemand.length - extraTasks ? 1 : 0)
  }
}
