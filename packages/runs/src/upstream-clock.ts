/** Estimate of the upstream's clock, and detection of a suspension of the agent's VM. */
import { MAXIMUM_CLOCK_DRIFT, MINIMUM_SUSPENSION_MILLISECONDS } from './run-limits.js'

export interface UpstreamClock {
  /**
   * Records a clock value of the upstream that was received at agent time `now`.
   *
   * @returns milliseconds for which the agent's VM was suspended; 0 if it was not.
   */
  recordReading: (clock: number, now: number) => number
  /** Returns a lower bound of the upstream's clock at `now`; undefined before the first reading. */
  timeAt: (now: number) => number | undefined
  reset: () => void
}

/**
 * Creates the estimate of an upstream's clock, without a reading.
 *
 * A reading ages on its way to the agent, so each offset is too low rather than too high. An offset well above the
 * highest one so far therefore means that the agent's own clock was paused.
 *
 * @example
 * const clock = createUpstreamClock()
 * clock.read(482_113, now)
 * clock.at(now + 10) // 482_123
 */
export function createUpstreamClock (): UpstreamClock {
  let offset: number | undefined
  let previousOffset = Infinity
  let highestOffset = 0
  let highestOffsetAt = 0
  return {
    recordReading: (clock, now) => {
      const newOffset = clock - now
      const expectedHighestOffset = highestOffset + (now - highestOffsetAt) * MAXIMUM_CLOCK_DRIFT
      const jump = offset === undefined ? 0 : newOffset - expectedHighestOffset
      previousOffset = offset ?? Infinity
      offset = newOffset
      if (jump > 0 || highestOffsetAt === 0 || now - highestOffsetAt > 1_000) {
        highestOffset = newOffset
        highestOffsetAt = now
      }
      return jump > MINIMUM_SUSPENSION_MILLISECONDS ? jump : 0
    },
    // A lease that a wrong reading has made too long can't be taken back, so a higher clock has to show twice.
    timeAt: now => offset === undefined ? undefined : Math.floor(now + Math.min(offset, previousOffset)),
    reset: () => {
      offset = undefined
      previousOffset = Infinity
      highestOffsetAt = 0
    }
  }
}
