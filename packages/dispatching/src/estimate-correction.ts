/** Correction of callers' estimates by how much the single estimates of a route tell about run times. */

/** Runs from which older ones count for less. */
const RETAINED_RUNS = 256
/** Runs that the assumption counts for which takes estimates as they are. */
const ASSUMED_RUNS = 24
/** Assumed variance of the logarithms of estimates. */
const ASSUMED_VARIANCE = 0.1
/** Largest deviation from the expected logarithm that counts: a task of 7 times its usual time is no usual one. */
const MAXIMUM_DEVIATION = 1

/** Estimates of one route with their run times. */
export interface EstimateCorrection {
  /**
   * Records a run.
   *
   * @param estimateMilliseconds - Estimate of the caller.
   * @param milliseconds - Run time on an upstream of ordinary speed.
   */
  record: (estimateMilliseconds: number, milliseconds: number) => void
  /** Returns the estimate, moved towards the usual one of the route where single estimates tell little. */
  correct: (estimateMilliseconds: number) => number
}

/**
 * Creates a correction that returns estimates as they are.
 *
 * Estimates that are off at random, each job by another factor, make a job with a low estimate seem shorter than it is,
 * and one with a high estimate longer. The regression of the run times on the estimates, by their logarithms, gives the
 * run time to expect. It answers loads in which such jobs are refused or placed by an objective that is not theirs.
 *
 * @example
 * const correction = createEstimateCorrection()
 * correction.record(120, 90)
 * correction.correct(240) // near 240 after one run
 */
export function createEstimateCorrection (): EstimateCorrection {
  let runs = 0
  let meanEstimate = 0
  let meanTime = 0
  let variance = 0
  let covariance = 0

  /** Slope of the regression; 1 where nothing is known. */
  function slope (): number {
    const assumed = ASSUMED_RUNS * ASSUMED_VARIANCE
    return Math.min(1, Math.max(0, (runs * covariance + assumed) / (runs * variance + assumed)))
  }

  return {
    record: (estimateMilliseconds, milliseconds) => {
      const estimate = Math.log(Math.max(1, estimateMilliseconds))
      const time = Math.log(Math.max(1, milliseconds))
      if (runs === 0) {
        meanEstimate = estimate
        meanTime = time
        runs = 1
        return
      }
      const expected = meanTime + slope() * (estimate - meanEstimate)
      const bounded = expected + Math.min(MAXIMUM_DEVIATION, Math.max(-MAXIMUM_DEVIATION, time - expected))
      runs = Math.min(RETAINED_RUNS, runs + 1)
      const weight = 1 / runs
      const estimateDeviation = estimate - meanEstimate
      const timeDeviation = bounded - meanTime
      meanEstimate += weight * estimateDeviation
      meanTime += weight * timeDeviation
      variance = (1 - weight) * (variance + weight * estimateDeviation ** 2)
      covariance = (1 - weight) * (covariance + weight * estimateDeviation * timeDeviation)
    },
    correct: estimateMilliseconds => {
      const estimate = Math.log(Math.max(1, estimateMilliseconds))
      return Math.exp(meanEstimate + slope() * (estimate - meanEstimate))
    }
  }
}
