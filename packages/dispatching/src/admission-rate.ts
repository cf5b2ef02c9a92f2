/** Rate at which an entry accepts jobs, found from the work that a job takes and from how late that work is done. */
import type { LoopReading } from './read-delay.js'

/** Least length of the intervals that are looked at; a busy event loop makes them longer. */
const INTERVAL_MILLISECONDS = 100
/**
 * Delay from which the entry counts as late. A process whose share of a core is a quota is paused for most of each
 * tenth of a second once the quota is used, also without overload.
 */
const LATE_MILLISECONDS = 120
/**
 * Delay from which a saturated entry holds up its callers: half of the 60 ms that a short job has beside its run, as it
 * waits for the entry twice. A loop that is saturated by other work, as after a start, has shorter turns.
 */
const NOTICEABLE_MILLISECONDS = 30
/** Share of an interval without idle time from which the entry counts as saturated. */
const SATURATED_SHARE = 0.95
/** Intervals in a row after which an overload is no longer taken for a pause. */
const OVERLOADED_INTERVALS = 2
/** Share of its time that an entry may work under a limit; the rest absorbs what arrives unevenly. */
const TARGET_SHARE = 0.9
/** Time after which an interval counts by 1/e in the work that a job takes: some intervals, as answers come later. */
const WORK_MEMORY_MILLISECONDS = 1_000
/** Factor by which the rate falls for each interval length in which the entry is late, to work off what waits. */
const DECREASE_FACTOR = 0.9
/** Most interval lengths that count at once: the rate of a long interval is known no better. */
const MAXIMUM_DECREASES = 3
/** Jobs a second under which they can not be the cause of an overload. */
const LEAST_CAUSING_RATE = 10
/** Least share by which the rate rises in each interval length that leaves idle time. */
const INCREASE_SHARE = 0.02
/** Share by which it rises besides, for all of the time that the entry may work; less the more of it is used. */
const IDLE_INCREASE_SHARE = 0.3
/** Least such rise, in jobs a second. */
const LEAST_INCREASE = 1
/** Lowest rate, in jobs a second: some jobs must be accepted to see that the overload has ended. */
const MINIMUM_JOBS_PER_SECOND = 5
/** Time whose jobs may be accepted at once after a gap. */
const BURST_MILLISECONDS = 100
/** Multiple of the offered jobs from which the rate limits nothing any more. */
const UNLIMITED_FACTOR = 1.5

export interface AdmissionRate {
  /** Records a delay of the entry's own work or of its calls, in milliseconds. */
  observe: (delayMilliseconds: number, reading: LoopReading) => void
  /**
   * Whether a job that is read now is accepted.
   *
   * @param unreadMilliseconds - How long it had waited to be read; in a long turn of the event loop this shows an
   *   overload before the turn ends.
   */
  admit: (unreadMilliseconds: number, reading: LoopReading) => boolean
  /** Jobs a second that are accepted; undefined without a limit. */
  limit: () => number | undefined
  /** Time that the entry has worked lately for each accepted job, in milliseconds; 0 before it accepted any. */
  workOfJob: () => number
}

/**
 * Creates a rate without a limit. While the event loop is never idle, the rate is what the loop carries by the time
 * that it has worked for each accepted job, and less while its work is late; it rises while there is idle time. It
 * answers the load of more callers than an entry can serve: without it every job is late, and the answers to all of
 * them come after their callers have left.
 *
 * @example
 * const rate = createAdmissionRate()
 * rate.observe(3, { now, idle })
 * rate.admit(0, { now, idle }) // true
 */
export function createAdmissionRate (): AdmissionRate {
  /** Jobs a second; undefined without a limit. */
  let rate: number | undefined
  let tokens = 0
  let refilledAt = 0
  let started: LoopReading | undefined
  let longestDelay = 0
  let offered = 0
  let admitted = 0
  let lateIntervals = 0
  let saturatedIntervals = 0
  /** Time for which the loop has worked, and the jobs accepted in that time, with the newest counting most. */
  let workedMilliseconds = 0
  let workedJobs = 0

  function endInterval (milliseconds: number, busyMilliseconds: number): void {
    const lengths = milliseconds / INTERVAL_MILLISECONDS
    const kept = Math.exp(-milliseconds / WORK_MEMORY_MILLISECONDS)
    workedMilliseconds = kept * workedMilliseconds + busyMilliseconds
    workedJobs = kept * workedJobs + admitted
    const busyShare = busyMilliseconds / milliseconds
    const isSaturated = busyShare >= SATURATED_SHARE && longestDelay > NOTICEABLE_MILLISECONDS
    saturatedIntervals = isSaturated ? saturatedIntervals + 1 : 0
    lateIntervals = longestDelay > LATE_MILLISECONDS ? lateIntervals + 1 : 0
    const carried = Math.min(rate ?? Infinity, TARGET_SHARE * 1_000 * workedJobs / Math.max(1, workedMilliseconds))
    const isCausedByJobs = rate !== undefined || admitted * 1_000 / milliseconds >= LEAST_CAUSING_RATE
    if (lateIntervals >= OVERLOADED_INTERVALS && isCausedByJobs) {
      const decreases = Math.min(MAXIMUM_DECREASES, lengths)
      rate = Math.max(MINIMUM_JOBS_PER_SECOND, DECREASE_FACTOR ** decreases * carried)
    } else if (saturatedIntervals >= OVERLOADED_INTERVALS && isCausedByJobs) {
      rate = Math.max(MINIMUM_JOBS_PER_SECOND, carried)
    } else if (rate !== undefined && lateIntervals === 0 && busyShare < TARGET_SHARE) {
      const share = INCREASE_SHARE + IDLE_INCREASE_SHARE * (TARGET_SHARE - busyShare)
      rate += lengths * Math.max(LEAST_INCREASE, share * rate)
      if (rate > UNLIMITED_FACTOR * offered * 1_000 / milliseconds && offered > 0) rate = undefined
    }
    longestDelay = 0
    offered = 0
    admitted = 0
  }

  function observe (delayMilliseconds: number, reading: LoopReading): void {
    longestDelay = Math.max(longestDelay, delayMilliseconds)
    started ??= reading
    const milliseconds = reading.now - started.now
    if (milliseconds < INTERVAL_MILLISECONDS) return
    endInterval(milliseconds, Math.max(0, milliseconds - (reading.idle - started.idle)))
    started = reading
  }

  return {
    observe,
    limit: () => rate,
    workOfJob: () => workedJobs === 0 ? 0 : workedMilliseconds / workedJobs,
    admit: (unreadMilliseconds, reading) => {
      observe(unreadMilliseconds, reading)
      offered += 1
      if (rate !== undefined) {
        const mostTokens = Math.max(1, rate * BURST_MILLISECONDS / 1_000)
        tokens = Math.min(mostTokens, tokens + rate * Math.max(0, reading.now - refilledAt) / 1_000)
        refilledAt = reading.now
        if (tokens < 1) return false
        tokens -= 1
      }
      admitted += 1
      return true
    }
  }
}
