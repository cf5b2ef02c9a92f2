/** Estimate of the upstream's clock, and detection of suspensions of the agent's VM. */
import { MAXIMUM_CLOCK_DRIFT, RECENT_READINGS_MILLISECONDS } from './run-limits.js'

export interface UpstreamClock {
  /**
   * Records a clock value of the upstream that was received at agent time `now`.
   *
   * @returns milliseconds by which the upstream's clock has advanced beyond the agent's and any drift since earlier
   *   readings, because the agent's VM was suspended or the earlier readings arrived late; 0 if it has not.
   */
  recordReading: (clock: number, now: number) => number
  /** Returns a lower bound of the upstream's clock at `now`; undefined before the first reading. */
  timeAt: (now: number) => number | undefined
  reset: () => void
}

/** Lower bound of the difference between the two clocks, known since agent time `at`. */
interface OffsetBound {
  readonly offset: number
  readonly at: number
}

/**
 * Creates the estimate of an upstream's clock, without a reading.
 *
 * A reading ages on its way to the agent, so each offset is too low rather than too high. A wrong reading can be too
 * high, and a lease that it made too long can't be taken back, so a higher offset has to show twice.
 *
 * @example
 * const clock = createUpstreamClock()
 * clock.recordReading(482_113, now)
 * clock.timeAt(now + 10) // 482_123
 */
export function createUpstreamClock (): UpstreamClock {
  let lastOffset: number | undefined
  let confirmedOffset = 0
  /** Recent bounds that no later one exceeds, in the order of their times; the first is the highest. */
  let bounds: OffsetBound[] = []

  function addBound (bound: OffsetBound): void {
    bounds = bounds.filter(({ offset }) => offset > bound.offset)
    bounds.push(bound)
    while (bounds.length > 1 && (bounds[0]?.at ?? 0) < bound.at - RECENT_READINGS_MILLISECONDS) bounds.shift()
  }

  return {
    recordReading: (clock, now) => {
      const offset = clock - now
      confirmedOffset = Math.min(offset, lastOffset ?? offset)
      lastOffset = offset
      const [highest] = bounds
      addBound({ offset: confirmedOffset, at: now })
      if (highest === undefined) return 0
      return Math.max(0, confirmedOffset - highest.offset - (now - highest.at) * MAXIMUM_CLOCK_DRIFT)
    },
    timeAt: now => lastOffset === undefined ? undefined : Math.floor(now + confirmedOffset),
    reset: () => {
      lastOffset = undefined
      bounds = []
    }
  }
}
