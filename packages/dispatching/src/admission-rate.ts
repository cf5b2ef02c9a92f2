/** Rate at which an entry accepts jobs, found from how late its own work is done. */

/** Least length of the intervals in which the delays are looked at; a busy event loop makes them longer. */
const INTERVAL_MILLISECONDS = 100
/**
 * Delay from which the entry counts as overloaded. A process whose share of a core is a quota stands still for most of
 * each tenth of a second once the quota is used, also without overload.
 */
const OVERLOAD_DELAY_MILLISECONDS = 120
/** Intervals in a row after which an overload is no longer taken for a pause. */
const OVERLOADED_INTERVALS = 2
/** Factor by which the rate falls for each such length of an overload. */
const DECREASE_FACTOR = 0.9
/** Rate of accepted jobs, in jobs a second, under which they can not be the cause of an overload. */
const LEAST_CAUSING_RATE = 10
/** Share by which the rate rises in each interval without overload. */
const INCREASE_SHARE = 0.08
/** Least rise of the rate in such an interval, in jobs a second. */
const LEAST_INCREASE = 2
/** Lowest rate, in jobs a second: some jobs must be accepted to see that the overload has ended. */
const MINIMUM_JOBS_PER_SECOND = 5
/** Time whose jobs may be accepted at once after a gap. */
const BURST_MILLISECONDS = 200
/** Multiple of the offered jobs from which the rate limits nothing any more. */
const UNLIMITED_FACTOR = 1.5

export interface AdmissionRate {
  /** Records a delay of the entry's own work or of its calls, in milliseconds. */
  observe: (delayMilliseconds: number, now: number) => void
  /** Whether a job that arrives now is accepted. */
  admit: (now: number) => boolean
  /** Jobs a second that are accepted; undefined without a limit. */
  limit: () => number | undefined
}

/**
 * Creates a rate without a limit. It falls by a factor while the entry's work is late, and rises slowly otherwise, so
 * that it settles at what the processor and the link carry. It answers the load of more callers than an entry can
 * serve: without it every job is late, and the answers to all of them come after their callers have left.
 *
 * @example
 * const rate = createAdmissionRate()
 * rate.observe(3, now)
 * rate.admit(now) // true
 */
export function createAdmissionRate (): AdmissionRate {
  /** Jobs a second; undefined without a limit. */
  let rate: number | undefined
  let tokens = 0
  let refilledAt = 0
  let intervalStartedAt: number | undefined
  let longestDelay = 0
  let offered = 0
  let admitted = 0
  let overloadedIntervals = 0

  function endInterval (milliseconds: number): void {
    const perSecond = 1_000 / milliseconds
    const lengths = milliseconds / INTERVAL_MILLISECONDS
    overloadedIntervals = longestDelay > OVERLOAD_DELAY_MILLISECONDS ? overloadedIntervals + 1 : 0
    const isCausedByJobs = rate !== undefined || admitted * perSecond >= LEAST_CAUSING_RATE
    if (overloadedIntervals >= OVERLOADED_INTERVALS && isCausedByJobs) {
      const carried = Math.min(rate ?? Infinity, admitted * perSecond)
      rate = Math.max(MINIMUM_JOBS_PER_SECOND, DECREASE_FACTOR ** lengths * carried)
    } else if (rate !== undefined && overloadedIntervals === 0) {
      rate += Math.max(LEAST_INCREASE, INCREASE_SHARE * rate)
      if (rate > UNLIMITED_FACTOR * offered * perSecond && offered > 0) rate = undefined
    }
    longestDelay = 0
    offered = 0
    admitted = 0
  }

  return {
    observe: (delayMilliseconds, now) => {
      longestDelay = Math.max(longestDelay, delayMilliseconds)
      intervalStartedAt ??= now
      if (now < intervalStartedAt + INTERVAL_MILLISECONDS) return
      endInterval(now - intervalStartedAt)
      intervalStartedAt = now
    },
    limit: () => rate,
    admit: now => {
      offered += 1
      if (rate !== undefined) {
        const mostTokens = Math.max(1, rate * BURST_MILLISECONDS / 1_000)
        tokens = Math.min(mostTokens, tokens + rate * Math.max(0, now - refilledAt) / 1_000)
        refilledAt = now
        if (tokens < 1) return false
        tokens -= 1
      }
      admitted += 1
      return true
    }
  }
}
