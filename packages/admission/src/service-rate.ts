/**
 * Observed rate of a service: slot time of tasks, as estimated when they were taken out, per millisecond.
 *
 * Only stretches in which tasks were waiting throughout count, as only they show the limit. Estimates that are off
 * by a factor are off by the same factor in the rate, so that waits computed from both come out right.
 */

const WINDOW_MILLISECONDS = 250
const LATEST_WINDOW_WEIGHT = 0.3
const MINIMUM_RATE_PER_SLOT = 0.02

/** Rate of one service. */
export interface ServiceRate {
  setSlots: (slots: number) => void
  /** Notes that a task was taken out; a negative cost takes it back. */
  recordCost: (costMilliseconds: number) => void
  /** Notes the time and whether tasks are waiting. */
  update: (hasWaitingTasks: boolean, now: number) => void
  /** Slot time served per millisecond, or undefined where neither slots nor a rate are known. */
  rate: () => number | undefined
}

/** Makes the rate of a service whose slots are not known yet. */
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
        // A rate near zero from an outage would refuse all work for good, and nothing would ever correct it.
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
