/** Least-squares line fits for measured costs. */

/** A measured cost at a given size. */
export interface CostPoint {
  readonly size: number
  readonly cost: number
}

/** A fitted line. */
export interface LineFit {
  /** Cost of one more unit of size. */
  readonly perUnit: number
  /** Cost at size 0. */
  readonly fixed: number
  /** Coefficient of determination, from 0 to 1. */
  readonly rSquared: number
}

/**
 * Fits a line by least squares.
 *
 * @throws Error if the points have fewer than two different sizes.
 * @example
 * fitSlope([{ size: 1, cost: 3 }, { size: 2, cost: 5 }]) // { perUnit: 2, fixed: 1, rSquared: 1 }
 */
export function fitSlope (points: readonly CostPoint[]): LineFit {
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
  if (!(sizeVariance > 0)) throw new Error('a line fit needs at least two different sizes')
  const perUnit = covariance / sizeVariance
  const rSquared = costVariance === 0 ? 1 : covariance ** 2 / (sizeVariance * costVariance)
  return { perUnit, fixed: meanCost - perUnit * meanSize, rSquared }
}
