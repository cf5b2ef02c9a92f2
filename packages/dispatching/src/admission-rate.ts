/** Rate at which an entry accepts jobs, found from how late its calls to agents are answered. */

/** Least length of the intervals in which the delays are looked at; a busy event loop makes them longer. */
const INTERVAL_MILLISECONDS = 100
/**
 * Delay from which the calls count as late. A process whose share of a core is a quota is paused for most of each tenth
 * of a second once the quota is used, also without overload.
 */
const LATE_MILLISECONDS = 120
/** Intervals in a row after which late calls are no longer taken for a pause. */
const LATE_INTERVALS = 2
/** Factor by which the rate falls for each interval length in which calls are late, to work off what waits. */
const DECREASE_FACTOR = 0.9
/** Most interval lengths that count at once: the rate of a long interval is known no better. */
const MAXIMUM_LENGTHS = 3
/** Jobs a second under which they can not be the cause of late calls. */
const LEAST_CAUSING_RATE = 10
/** Time over which the rate that is carried without a late call is averaged. */
const CARRIED_AVERAGE_MILLISECONDS = 1_000
/** Time of late calls after which that rate is worth 1/e: the link may have become slower. */
const CARRIED_MEMORY_MILLISECONDS = 2_000
/** Share by which the rate rises in each interval length without any delay; less the later the calls are. */
const INCREASE_SHARE = 0.3
/** Least rise in such an interval length, in jobs a second. */
const LEAST_INCREASE = 2
/** Lowest rate, in jobs a second: some jobs must be accepted to see that the calls are answered in time again. */
const MINIMUM_JOBS_PER_SECOND = 5
/** Time whose jobs may be accepted at once after a gap. */
const BURST_MILLISECONDS = 100
/** Multiple of the offered jobs from which the rate limits nothing any more. */
const UNLIMITED_FACTOR = 1.5

export interface AdmissionRate {
  /** Records the delay of the entry's calls, in milliseconds. */
  observe: (delayMilliseconds: number, now: number) => void
  /** Whether a job that is read now is accepted. */
  admit: (now: number) => boolean
  /** Jobs a second that are accepted; undefined without a limit. */
  limit: () => number | undefined
}

/**
 * Creates a rate without a limit. It falls by a factor while calls are late, and rises the faster the less they are
 * delayed, so that it settles at what the entry's link carries. It answers the load of more callers than the link can
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
  let startedAt: number | undefined
  let longestDelay = 0
  let offered = 0
  let admitted = 0
  let lateIntervals = 0
  /** Jobs a second that were lately accepted without a late call. */
  let carriedRate = 0

  function learnCarriedRate (milliseconds: number): void {
    if (lateIntervals > 0) {
      carriedRate *= Math.exp(-milliseconds / CARRIED_MEMORY_MILLISECONDS)
      return
    }
    const kept = Math.exp(-milliseconds / CARRIED_AVERAGE_MILLISECONDS)
    carriedRate = kept * carriedRate + (1 - kept) * admitted * 1_000 / milliseconds
  }

  function endInterval (milliseconds: number): void {
    const perSecond = 1_000 / milliseconds
    const lengths = Math.min(MAXIMUM_LENGTHS, milliseconds / INTERVAL_MILLISECONDS)
    lateIntervals = longestDelay > LATE_MILLISECONDS ? lateIntervals + 1 : 0
    learnCarriedRate(milliseconds)
    const isCausedByJobs = rate !== undefined || admitted * perSecond >= LEAST_CAUSING_RATE
    if (lateIntervals >= LATE_INTERVALS && isCausedByJobs) {
      const reduced = DECREASE_FACTOR ** lengths * Math.min(rate ?? Infinity, admitted * perSecond)
      rate = Math.max(MINIMUM_JOBS_PER_SECOND, carriedRate, reduced)
    } else if (rate !== undefined && lateIntervals === 0) {
      const share = INCREASE_SHARE * (1 - longestDelay / LATE_MILLISECONDS)
      rate += lengths * Math.max(LEAST_INCREASE, share * rate)
      if (rate > UNLIMITED_FACTOR * offered * perSecond && offered > 0) rate = undefined
    }
    longestDelay = 0
    offered = 0
    admitted = 0
  }

  return {
    observe: (delayMilliseconds, now) => {
      longestDelay = Math.max(longestDelay, delayMilliseconds)
      startedAt ??= now
      const milliseconds = now - startedAt
      if (milliseconds < INTERVAL_MILLISECONDS) return
      endInterval(milliseconds)
      startedAt = now
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
