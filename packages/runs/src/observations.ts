/** Moving averages of an upstream's slowness and failures. */
import { OBSERVATION_WEIGHT } from './run-limits.js'

/** Exponential moving averages over the runs of an upstream. */
export interface Observations {
  /** Records a run that succeeded after `milliseconds`. */
  recordDone: (milliseconds: number, estimateMilliseconds: number) => void
  recordFailure: () => void
  /** Run time divided by the estimate. */
  slowness: () => number
  /** Share of failed runs, 0 to 1. */
  failureShare: () => number
  /** Restores the initial values, for a new instance of the upstream. */
  reset: () => void
}

/** Bounds of one slowness value: a larger deviation is due to a wrong estimate, not to the upstream. */
const SLOWNESS_BOUNDS = { minimum: 0.2, maximum: 10 }

/**
 * Creates the averages of an upstream without runs.
 *
 * @example
 * const observations = createObservations()
 * observations.done(140, 100)
 */
export function createObservations (): Observations {
  let slowness = 1
  let failureShare = 0
  return {
    recordDone: (milliseconds, estimateMilliseconds) => {
      const observed = milliseconds / Math.max(1, estimateMilliseconds)
      const bounded = Math.min(SLOWNESS_BOUNDS.maximum, Math.max(SLOWNESS_BOUNDS.minimum, observed))
      slowness += (bounded - slowness) * OBSERVATION_WEIGHT
      failureShare -= failureShare * OBSERVATION_WEIGHT
    },
    recordFailure: () => { failureShare += (1 - failureShare) * OBSERVATION_WEIGHT },
    slowness: () => slowness,
    failureShare: () => failureShare,
    reset: () => {
      slowness = 1
      failureShare = 0
    }
  }
}
