/** Timeout of calls, which follows how long answers take. */
import { CALL_TIMEOUT_MILLISECONDS, MAXIMUM_CALL_TIMEOUT_MILLISECONDS } from './dispatch-limits.js'

/** Weight of the newest call in the moving average of the durations. */
const DURATION_WEIGHT = 0.1
/** Timeout as a multiple of the average duration. */
const TIMEOUT_FACTOR = 4

export interface CallTiming {
  /** Records how long a call took until its answer, or until it was given up, in milliseconds. */
  record: (milliseconds: number) => void
  /** Timeout of the next call, in milliseconds. */
  timeout: () => number
  /** Moving average of the durations, in milliseconds. */
  average: () => number
}

/**
 * Creates the timing of an entry's calls to agents. Behind a full link answers arrive late but complete: giving them up
 * closes connections and sends the same again, which keeps the link full. The timeout therefore rises with the average
 * duration. A few agents that do not answer hardly change it.
 *
 * @example
 * const timing = createCallTiming()
 * timing.record(2)
 * timing.timeout() // 150
 */
export function createCallTiming (): CallTiming {
  let averageMilliseconds = 0
  return {
    record: milliseconds => { averageMilliseconds += DURATION_WEIGHT * (milliseconds - averageMilliseconds) },
    average: () => averageMilliseconds,
    timeout: () => Math.min(
      MAXIMUM_CALL_TIMEOUT_MILLISECONDS, Math.max(CALL_TIMEOUT_MILLISECONDS, TIMEOUT_FACTOR * averageMilliseconds))
  }
}
