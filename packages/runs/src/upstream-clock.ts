/** The upstream's clock as the agent knows it, and whether the agent's own VM was suspended. */
import { CLOCK_DRIFT, SUSPENSION_MILLISECONDS } from './run-limits.js'

/** Knows the upstream's clock. */
export interface UpstreamClock {
  /**
   * Notes a reading that was received at `now`.
   *
   * @returns milliseconds for which the agent's VM must have been suspended; 0 as a rule.
   */
  read: (clock: number, now: number) => number
  /** The upstream's clock at `now`, at most; undefined before the first reading. */
  at: (now: number) => number | undefined
  reset: () => void
}

/**
 * Makes the knowledge of an upstream's clock.
 *
 * A reading is older than the moment it is received at, so each offset is too low rather than too high, and one that
 * is higher than all before tells that the agent's own clock stood still.
 *
 * @example
 * const clock = createUpstreamClock()
 * clock.read(482_113, now)
 * clock.at(now + 10) // 482_123
 */
export function createUpstreamClock (): UpstreamClock {
  let offset: number | undefined
  let highest = 0
  let highestAt = 0
  return {
    read: (clock, now) => {
      const reading = clock - now
      const expected = highest + (now - highestAt) * CLOCK_DRIFT
      const jump = offset === undefined ? 0 : reading - expected
      offset = reading
      if (jump > 0 || highestAt === 0 || now - highestAt > 1_000) {
        highest = reading
        highestAt = now
      }
      return jump > SUSPENSION_MILLISECONDS ? jump : 0
    },
    at: now => offset === undefined ? undefined : Math.floor(now + offset),
    reset: () => {
      offset = undefined
      highestAt = 0
    }
  }
}
