/** The ideal response time of a job: what its work needs when nothing is lost between the tasks. */

/** What the ideal is computed from. */
export interface IdealInputs {
  /** Work of each task in milliseconds at speed 1. */
  readonly works: readonly number[]
  /** Speeds of the upstreams. */
  readonly speeds: readonly number[]
  /** Slots of each upstream. */
  readonly slots: number
}

/**
 * Computes a lower bound of the response time in milliseconds: the longest task on the fastest upstream, or the
 * whole work spread over all slots, whichever is longer.
 *
 * @example
 * idealMilliseconds({ works: [100, 100], speeds: [2, 1], slots: 1 }) // 66.7
 */
export function idealMilliseconds (inputs: IdealInputs): number {
  const longest = Math.max(...inputs.works)
  const fastest = Math.max(...inputs.speeds)
  const whole = inputs.works.reduce((sum, work) => sum + work, 0)
  const rate = inputs.slots * inputs.speeds.reduce((sum, speed) => sum + speed, 0)
  return Math.max(longest / fastest, whole / rate)
}
