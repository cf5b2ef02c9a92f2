/**
 * Observed service rate: estimated slot time of the tasks removed from the queue, per millisecond.
 *
 * Only periods in which tasks were waiting throughout are sampled, because only then does the rate show the capacity.
 * A constant error factor in the run time estimates cancels out: the rate and the waiting work contain the same factor.
 */

const WINDOW_MILLISECONDS = 250
const LATEST_WINDOW_WEIGHT = 0.3
const MINIMUM_RATE_PER_SLOT = 0.02

export interface ServiceRate {
  setSlots: (slots: number) => void
  /** Adds the estimated slot time of a removed task; a negative cost subtracts that of a returned one. */
  recordCost: (costMilliseconds: number) => void
  /** Completes the sampling window if it is over, or discards it when no task waits. */
  update: (hasWaitingTasks: boolean, now: number) => void
  /** Milliseconds of slot time served per millisecond, or undefined where neither slots nor a rate are known. */
  rate: () => number | undefined
}

/** Creates a rate without samples, for a service whose number of slots is not known yet. */
export function createServiceRate (): ServiceRate {
  let slots = 0
  let observedRate: number | undefined
  let windowStart: number | undefined
  let windowWorkMilliseconds = 0

  return {
    setSlots: newSlots => {
      if (observedRate !== undefined && slots > 0) observedRate *= newSlots / slots
      if (newSlots === 0) observedRate = undefined
      slots = newSlots
    },
    recordCost: costMilliseconds => { windowWorkMilliseconds += costMilliseconds },
    update: (hasWaitingTasks, now) => {
      if (!hasWaitingTasks) {
        windowStart = undefined
        // A near-zero rate left over from an outage would refuse all work, so that nothing could correct it.
        observedRate = undefined
        return
      }
      if (windowStart === undefined) {
        windowStart = now
        windowWorkMilliseconds = 0
        return
      }
      const elapsed = now - windowStart
      if (elapsed < WINDOW_MILLISECONDS) return
      const sample = Math.max(windowWorkMilliseconds / elapsed, slots * MINIMUM_RATE_PER_SLOT)
      observedRate = observedRate === undefined ? sample : observedRate + LATEST_WINDOW_WEIGHT * (sample - observedRate)
      windowStart = now
      windowWorkMilliseconds = 0
    },
    rate: () => observedRate ?? (slots > 0 ? slots : undefined)
  }
}
