/** The quantile of run times that a job's objective needs. */

/** Chance of a job to meet its objective that plans aim at; the same for jobs of few and of many tasks. */
const PLANNED_CHANCE = 0.9
/** Standard normal quantiles at 84 and 95 of 100: where an agent's spread and tail lie. */
const SPREAD_DEVIATIONS = 1
const TAIL_DEVIATIONS = 1.645
/** Largest quantile, in standard deviations: farther out, nothing is known from some tens of runs. */
const MAXIMUM_DEVIATIONS = 2.5

/** Returns the standard normal quantile of an upper tail (Abramowitz and Stegun 26.2.23). */
function normalDeviations (tailChance: number): number {
  const root = Math.sqrt(-2 * Math.log(tailChance))
  return root - (2.515517 + 0.802853 * root + 0.010328 * root ** 2) /
    (1 + 1.432788 * root + 0.189269 * root ** 2 + 0.001308 * root ** 3)
}

const deviationsByTaskCount = new Map<number, number>()

function deviationsFor (taskCount: number): number {
  let deviations = deviationsByTaskCount.get(taskCount)
  if (deviations === undefined) {
    const tailChance = 1 - PLANNED_CHANCE ** (1 / Math.max(1, taskCount))
    deviations = Math.min(MAXIMUM_DEVIATIONS, normalDeviations(tailChance))
    deviationsByTaskCount.set(taskCount, deviations)
  }
  return deviations
}

/**
 * Returns the ratio of planned to expected run time for a task of a job, by the spread and the tail of the run times.
 *
 * @param taskCount - Number of tasks that must all end in time.
 * @example
 * plannedRatio(8, 0.1, 0.2) // 1.29
 */
export function plannedRatio (taskCount: number, spread: number, tail: number): number {
  const deviations = deviationsFor(taskCount)
  if (deviations <= SPREAD_DEVIATIONS) return 1 + spread * deviations
  const slope = Math.max(0, tail - spread) / (TAIL_DEVIATIONS - SPREAD_DEVIATIONS)
  return 1 + spread + slope * (deviations - SPREAD_DEVIATIONS)
}
