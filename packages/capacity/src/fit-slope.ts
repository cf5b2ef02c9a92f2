/** Least-squares lines through measured points. */

/** A measured point: the size that was set and the cost that was seen. */
export interface Point {
  readonly size: number
  readonly cost: number
}

/** A line through points. */
export interface Slope {
  /** Cost of one more unit of size. */
  readonly perUnit: number
  /** Cost at size 0. */
  readonly fixed: number
  /** Share of the variation that the line explains, from 0 to 1. */
  readonly fit: number
}

/**
 * Fits a line.
 *
 * @throws Error unless there are two different sizes.
 * @example
 * fitSlope([{ size: 1, cost: 3 }, { size: 2, cost: 5 }]) // { perUnit: 2, fixed: 1, fit: 1 }
 */
export function fitSlope (points: readonly Point[]): Slope {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanSize = mean(points.map(point => point.size))
  const meanCost = mean(points.map(point => point.cost))
  let covariance = 0
  let sizeVariance = 0
  let costVariance = 0
  for (const { size, cost } of points) {
    covariance += (size - meanSize) * (cost - meanCost)
    sizeVariance += (size - meanSize) ** 2
    costVariance += (cost - meanCost) ** 2
  }
  if (!(sizeVariance > 0)) throw new Error('a slope needs two different sizes')
  const perUnit = covariance / sizeVariance
  const fit = costVariance === 0 ? 1 : covariance ** 2 / (sizeVariance * costVariance)
  return { perUnit, fixed: meanCost - perUnit * meanSize, fit }
}
