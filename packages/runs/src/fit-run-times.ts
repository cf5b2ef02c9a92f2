/** Robust fit of a line to the run times of an upstream: a fixed part and a factor on the expected work. */

/** A completed run. */
export interface RunSample {
  /** Work by the corrected estimate: run time on an upstream of ordinary speed, in milliseconds. */
  readonly expectedMilliseconds: number
  readonly milliseconds: number
}

/** A fixed part in milliseconds, and a factor. */
export interface RunTimeLine {
  readonly fixedMilliseconds: number
  readonly factor: number
}

/** What is assumed before any run, and how far it may be off. */
export interface AssumedLine extends RunTimeLine {
  /** Standard deviation of the assumed factor, as a share of it. */
  readonly factorDeviation: number
}

/**
 * Standard deviation of the assumed fixed part. Small, since a longer fixed part and a lower factor of the short routes
 * explain the same run times: with 10 ms it came out at 50 instead of 12 ms, and objectives too short.
 */
const FIXED_DEVIATION_MILLISECONDS = 4
/** Standard deviation of a run time that the assumed line is weighed against, as a share of it. */
const RUN_DEVIATION = 0.15
/** Smallest typical deviation, as a share: among exact run times each small difference would be an outlier. */
const MINIMUM_DEVIATION = 0.04
/** Deviations, in typical ones, from which a run has half of its weight; one of 7 times its time has almost none. */
const OUTLIER_DEVIATIONS = 2.5
/** Median of absolute deviations to standard deviation. */
const DEVIATION_OF_MEDIAN = 1.48
/** Steps of the fit; the weights change little after the third. */
const FIT_STEPS = 4

/** Returns a value of a sorted list; the lower one for a share between two. */
export function quantileOf (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}

/** Returns the lower median of the values; 0 if there are none. */
export function medianOf (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0
}

/** Returns the time that a line gives for some work, in milliseconds. */
export function timeOnLine (line: RunTimeLine, expectedMilliseconds: number): number {
  return Math.max(1, line.fixedMilliseconds + line.factor * expectedMilliseconds)
}

/** Solves the weighted least squares for both parts, with the assumed line as two more observations. */
function solve (
  samples: readonly RunSample[], weights: readonly number[], assumed: AssumedLine, lastFactor: number
): RunTimeLine {
  const fixedWeight = (RUN_DEVIATION / FIXED_DEVIATION_MILLISECONDS) ** 2
  // In proportion to the larger factor: a slow upstream has the same share of doubt as a fast one.
  const factorDeviation = assumed.factorDeviation * Math.max(assumed.factor, lastFactor)
  const factorWeight = (RUN_DEVIATION / factorDeviation) ** 2
  let sum = fixedWeight
  let sumX = 0
  let sumXX = factorWeight
  let sumY = fixedWeight * assumed.fixedMilliseconds
  let sumXY = factorWeight * assumed.factor
  for (const [position, { expectedMilliseconds, milliseconds }] of samples.entries()) {
    const weight = weights[position] ?? 0
    sum += weight
    sumX += weight * expectedMilliseconds
    sumXX += weight * expectedMilliseconds ** 2
    sumY += weight * milliseconds
    sumXY += weight * expectedMilliseconds * milliseconds
  }
  const determinant = sum * sumXX - sumX ** 2
  const factor = (sum * sumXY - sumX * sumY) / determinant
  const fixedMilliseconds = (sumXX * sumY - sumX * sumXY) / determinant
  if (fixedMilliseconds >= 0 && factor > 0) return { fixedMilliseconds, factor }
  // A negative part has no meaning: the other one alone carries the run times.
  if (factor <= 0) return { fixedMilliseconds: Math.max(0, sumY / sum), factor: assumed.factor / 10 }
  return { fixedMilliseconds: 0, factor: sumXY / sumXX }
}

/**
 * Fits the line to run times, with deviations as shares of the time. Runs far from the line lose their weight step by
 * step, so that single long tasks don't count. It answers the load of uneven upstreams and of tasks that take 7 times
 * their usual time.
 *
 * @example
 * const assumed = { fixedMilliseconds: 8, factor: 1, factorDeviation: 0.5 }
 * fitRunTimes([{ expectedMilliseconds: 86, milliseconds: 150 }], assumed)
 */
export function fitRunTimes (samples: readonly RunSample[], assumed: AssumedLine): RunTimeLine {
  if (samples.length === 0) return assumed
  const { fixedMilliseconds } = assumed
  const factors = samples.map(sample =>
    Math.max(1, sample.milliseconds - fixedMilliseconds) / Math.max(1, sample.expectedMilliseconds))
  const weightOfAssumed = 1 / (1 + samples.length * (assumed.factorDeviation / RUN_DEVIATION) ** 2)
  const medianFactor = medianOf(factors)
  let line: RunTimeLine = {
    fixedMilliseconds, factor: medianFactor + weightOfAssumed * (assumed.factor - medianFactor)
  }
  for (let step = 0; step < FIT_STEPS; step += 1) {
    const times = samples.map(sample => timeOnLine(line, sample.expectedMilliseconds))
    const deviations = samples.map(({ milliseconds }, position) => Math.abs(milliseconds / (times[position] ?? 1) - 1))
    const limit = OUTLIER_DEVIATIONS * Math.max(MINIMUM_DEVIATION, DEVIATION_OF_MEDIAN * medianOf(deviations))
    const weights = deviations.map((deviation, position) =>
      1 / (1 + (deviation / limit) ** 2) / (times[position] ?? 1) ** 2)
    line = solve(samples, weights, assumed, line.factor)
  }
  return line
}
