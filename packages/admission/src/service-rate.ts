/**
 * Observed rate of a service: slot time of tasks, as estimated when they were taken out, per millisecond.
 *
 * Only stretches in which tasks were waiting throughout count, as only they show the limit. Estimates that are off
 * by a factor are off by the same factor in the rate, so that waits computed from both come out right.
 */

const WINDOW_MILLISECONDS = 250
const NEW_WINDOW_WEIGHT = 0.3
const LEAST_SHARE_OF_SLOTS = 0.02

/** Rate of one service. */
export interface ServiceRate {
  setSlots: (slots: number) => void
  /** Notes that a task was taken out; a negative cost takes it back. */
  taken: (cost: number) => void
  /** Notes the time and whether tasks are waiting. */
  settle: (waiting: boolean, now: number) => void
  /** Slot time served per millisecond, or undefined where neither slots nor a rate are known. */
  rate: () => number | undefined
}

/** Makes the rate of a service whose slots are not known yet. */
export function createServiceRate (): ServiceRate {
  let slots = 0
  let observed: number | undefined
  let windowStart: number | undefined
  let windowWork = 0

  return {
    setSlots: changed => {
      if (observed !== undefined && slots > 0) observed *= changed / slots
      if (changed === 0) observed = undefined
      slots = changed
    },
    taken: cost => { windowWork += cost },
    settle: (waiting, now) => {
      if (!waiting) {
        windowStart = undefined
        // A rate near zero from an outage would refuse all work for good, and nothing would ever correct it.
        observed = undefined
        return
      }
      if (windowStart === undefined) {
        windowStart = now
        windowWork = 0
        return
      }
      const elapsed = now - windowStart
      if (elapsed < WINDOW_MILLISECONDS) return
      const sample = Math.max(windowWork / elapsed, slots * LEAST_SHARE_OF_SLOTS)
      observed = observed === undefined ? sample : observed + NEW_WINDOW_WEIGHT * (sample - observed)
      windowStart = now
      windowWork = 0
    },
    rate: () => observed ?? (slots > 0 ? slots : undefined)
  }
}
