/**
 * Slots that are kept free of jobs for urgent tasks.
 *
 * Only the agent sees the tasks of all entries, so only the agent can keep one slot free instead of one for each entry.
 * The reserve follows the average number of running urgent tasks. It is zero without urgent tasks, and also when they
 * fill all slots.
 */

const AVERAGING_MILLISECONDS = 2_000
const MAXIMUM_RESERVED_SHARE = 0.5

export interface UrgentReserve {
  /** Records the start of an urgent task. `now` is a Unix time in milliseconds. */
  recordStart: (now: number) => void
  /** Records the completion of an urgent task. */
  recordCompletion: (now: number) => void
  /** Returns the number of slots that jobs must leave free. */
  reservedSlots: (now: number) => number
}

export interface UrgentReserveOptions {
  readonly slots: number
  /** Reserved slots for each urgent task that runs on average; 0 disables the reserve. */
  readonly slotsPerUrgentTask: () => number
}

/**
 * Creates the reserve of an agent that has run no urgent task yet.
 *
 * @example
 * const reserve = createUrgentReserve({ slots: 8, slotsPerUrgentTask: () => 1 })
 * const mayStartJob = running < slots - reserve.reservedSlots(now)
 */
export function createUrgentReserve (options: UrgentReserveOptions): UrgentReserve {
  const maximumReservedSlots = Math.floor(options.slots * MAXIMUM_RESERVED_SHARE)
  let running = 0
  let meanRunning = 0
  let meanUpdatedAt = 0

  function updateMean (now: number): void {
    const elapsed = Math.max(0, now - meanUpdatedAt)
    meanRunning += (running - meanRunning) * (1 - Math.exp(-elapsed / AVERAGING_MILLISECONDS))
    meanUpdatedAt = Math.max(now, meanUpdatedAt)
  }

  return {
    recordStart: now => {
      updateMean(now)
      running += 1
    },
    recordCompletion: now => {
      updateMean(now)
      running -= 1
    },
    reservedSlots: now => {
      updateMean(now)
      // The fewer slots urgent tasks leave free, the less their number can vary, and the smaller a reserve suffices.
      const varyingTasks = meanRunning * Math.max(0, 1 - meanRunning / options.slots)
      return Math.min(Math.round(varyingTasks * options.slotsPerUrgentTask()), maximumReservedSlots)
    }
  }
}
