/** Ideal response time of a job: the time that its tasks need if dispatching costs nothing and no slot stays idle. */

export interface IdealInputs {
  /** Run time of each task in milliseconds at speed 1. */
  readonly taskMilliseconds: readonly number[]
  /** Speeds of the upstreams. */
  readonly speeds: readonly number[]
  /** Number of slots of each upstream. */
  readonly slots: number
}

/**
 * Computes a lower bound of the response time in milliseconds: the longest task on the fastest upstream, or the
 * total work spread over all slots, whichever is longer.
 *
 * @example
 * idealMilliseconds({ taskMilliseconds: [100, 100], speeds: [2, 1], slots: 1 }) // 66.7
 */
export function idealMilliseconds (inputs: IdealInputs): number {
  const longestTaskMilliseconds = Math.max(...inputs.taskMilliseconds)
  const highestSpeed = Math.max(...inputs.speeds)
  const totalMilliseconds = inputs.taskMilliseconds.reduce((sum, work) => sum + work, 0)
  const totalSpeed = inputs.slots * inputs.speeds.reduce((sum, speed) => sum + speed, 0)
  return Math.max(longestTaskMilliseconds / highestSpeed, totalMilliseconds / totalSpeed)
}
