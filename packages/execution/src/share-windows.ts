/** Shares an agent's capacity among entries that don't talk to each other. */

/** Unfinished tasks that an entry may always have here, so that an urgent call never waits for a window. */
export const WINDOW_FLOOR_TASKS = 1

/**
 * Shares a capacity fairly: no entry gets more than it has use for while another goes short, what is left over goes
 * to all alike, and none gets less than `WINDOW_FLOOR_TASKS`. The sum exceeds the capacity by the floors at most.
 *
 * @param capacity - Tasks to share out.
 * @param demands - Tasks that each entry has use for.
 * @returns Unfinished tasks allowed to each entry, in the order of the demands.
 * @example
 * shareWindows(12, [100, 0, 3]) // [9, 1, 3]
 */
export function shareWindows (capacity: number, demands: readonly number[]): number[] {
  const windows = demands.map(() => 0)
  const ascending = demands.map((_demand, place) => place).sort((left, right) => demands[left]! - demands[right]!)
  let remaining = capacity
  let waiting = ascending.length
  for (const place of ascending) {
    const granted = Math.min(Math.ceil(demands[place]!), Math.floor(remaining / waiting))
    windows[place] = granted
    remaining -= granted
    waiting -= 1
  }
  spread(windows, remaining, ascending)
  return windows.map(window => Math.max(window, WINDOW_FLOOR_TASKS))
}

/** Gives what is left to all alike; the odd ones go to those with the highest demand. */
function spread (windows: number[], remaining: number, ascending: readonly number[]): void {
  const each = Math.floor(remaining / ascending.length)
  const odd = remaining - each * ascending.length
  for (const [rank, place] of ascending.entries()) {
    windows[place]! += each + (rank >= ascending.length - odd ? 1 : 0)
  }
}
