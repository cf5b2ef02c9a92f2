/**
 * Time during which this process ran. Silence of others counts only while this process was there to hear them: after
 * a pause of its own it must not suspect everyone.
 */

/** Longest time between two ticks that counts as running. */
const MAXIMUM_TICK_MILLISECONDS = 300

/** Time that passed for this process. */
export interface PauseClock {
  /** Notes that the process runs at the given time. */
  tick: (now: number) => void
  /** Running time in milliseconds; stands still during pauses. */
  running: () => number
}

/**
 * Makes a clock that stands still while the process is paused.
 *
 * @example
 * const clock = createPauseClock(now)
 */
export function createPauseClock (startedAt: number): PauseClock {
  let last = startedAt
  let running = 0
  return {
    tick (now) {
      running += Math.min(Math.max(0, now - last), MAXIMUM_TICK_MILLISECONDS)
      last = now
    },
    running: () => running
  }
}
