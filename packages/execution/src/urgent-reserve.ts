/**
 * Slots that jobs leave free for urgent tasks.
 *
 * Only the agent sees the tasks of all entries, so only here can a slot be kept free without keeping one for each
 * entry. The reserve follows the urgent tasks that run here on average: without urgent tasks it is zero, and where
 * they fill the slots it is zero too.
 */

const AVERAGING_MILLISECONDS = 2_000
const MOST_PART_OF_SLOTS = 0.5

/** The reserve of one agent. */
export interface UrgentReserve {
  /** An urgent task started at a Unix time in milliseconds. */
  recordStart: (now: number) => void
  /** An urgent task ended. */
  recordCompletion: (now: number) => void
  /** Number of slots that jobs leave free. */
  reservedSlots: (now: number) => number
}

/** How much an agent reserves. */
export interface UrgentReserveOptions {
  readonly slots: number
  /** Reserved slots for each urgent task that runs on average; 0 reserves none. */
  readonly slotsPerUrgentTask: () => number
}

/**
 * Makes the reserve of an agent that has seen no urgent task.
 *
 * @example
 * const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 1 })
 * const mayStartJob = running < slots - reserve.slots(now)
 */
export function createUrgentReserve (options: UrgentReserveOptions): UrgentReserve {
  const most = Math.floor(options.slots * MOST_PART_OF_SLOTS)
  let running = 0
  let mean = 0
  let averagedAt = 0

  function average (now: number): void {
    const elapsed = Math.max(0, now - averagedAt)
    mean += (running - mean) * (1 - Math.exp(-elapsed / AVERAGING_MILLISECONDS))
    averagedAt = Math.max(now, averagedAt)
  }

  return {
    recordStart: now => {
      average(now)
      running += 1
    },
    recordCompletion: now => {
      average(now)
      running -= 1
    },
    reservedSlots: now => {
      average(now)
      // The number of urgent tasks varies less the fewer slots they leave.
      const varying = mean * Math.max(0, 1 - mean / options.slots)
      return Math.min(Math.round(varying * options.slotsPerUrgentTask()), most)
    }
  }
}
