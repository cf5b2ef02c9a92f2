/** What an agent has observed of its upstream: speed and failures, as moving means. */
import { OBSERVATION_WEIGHT } from './run-limits.js'

/** Moving means over the runs of an upstream. */
export interface Observations {
  /** Notes a run that was done after `milliseconds`, where `estimateMilliseconds` were expected. */
  done: (milliseconds: number, estimateMilliseconds: number) => void
  failed: () => void
  /** Run time over estimate. */
  slowness: () => number
  /** Share of failed runs, 0 to 1. */
  failureShare: () => number
  /** Forgets everything, for a new life of the upstream. */
  reset: () => void
}

/** Bounds of one observation of slowness: an estimate that is off by more tells nothing of the upstream. */
const SLOWNESS_BOUNDS = { least: 0.2, most: 10 }

/**
 * Makes the observations of an upstream.
 *
 * @example
 * const observations = createObservations()
 * observations.done(140, 100)
 */
export function createObservations (): Observations {
  let slowness = 1
  let failureShare = 0
  return {
    done: (milliseconds, estimateMilliseconds) => {
      const observed = milliseconds / Math.max(1, estimateMilliseconds)
      const bounded = Math.min(SLOWNESS_BOUNDS.most, Math.max(SLOWNESS_BOUNDS.least, observed))
      slowness += (bounded - slowness) * OBSERVATION_WEIGHT
      failureShare -= failureShare * OBSERVATION_WEIGHT
    },
    failed: () => { failureShare += (1 - failureShare) * OBSERVATION_WEIGHT },
    slowness: () => slowness,
    failureShare: () => failureShare,
    reset: () => {
      slowness = 1
      failureShare = 0
    }
  }
}
