/** Times at which refused callers are asked to return, spaced by the rate at which capacity is released. */

/** Least Retry-After: a caller is told whole seconds. */
const RETRY_AFTER_UNIT_MILLISECONDS = 1_000
/** Longest Retry-After: what is known of the rate of release does not hold for longer. */
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 10_000
/** Time before its promised return from which a caller counts as returning when told: callers round differently. */
const RETURN_TOLERANCE_MILLISECONDS = 100
/** Time after its promised return for which a caller keeps its place. */
const RETURN_GRACE_MILLISECONDS = 1_000

/** Interval at which expired promises are dropped. */
const DROP_INTERVAL_MILLISECONDS = 100

/** A job that is refused for lack of capacity. */
export interface RefusedJob {
  readonly id: string
  readonly service: string
  /** Time on the entry's steady clock at which the job arrived, or the place that it kept from an earlier refusal. */
  readonly place: number
  /** Expected time until the job would have fit, in milliseconds. */
  readonly excessWaitMilliseconds: number
  /** Time that this entry's share of the released capacity takes to start the tasks of the job, in milliseconds. */
  readonly startMilliseconds: number
}

/** Record of the promises to refused callers. All times are on the entry's steady clock, in milliseconds. */
export interface RefusalLedger {
  /** Records a refusal and returns its Retry-After in milliseconds, a whole number of seconds. */
  refuse: (job: RefusedJob, now: number) => number
  /**
   * Returns the place of a job that comes back as it was told: the time at which it first arrived. Undefined for a job
   * that was not refused, or that returns too early or too late.
   */
  takePlace: (id: string, now: number) => number | undefined
  /** Number of callers that are expected to return. */
  promisedCount: () => number
}

interface Promised {
  readonly place: number
  readonly returnAt: number
}

/**
 * Creates a ledger without promises.
 *
 * @example
 * const refusals = createRefusalLedger()
 * refusals.refuse({ id, service: 'desk', place: 0, excessWaitMilliseconds: 60, startMilliseconds: 20 }, 0) // 1000
 */
export function createRefusalLedger (): RefusalLedger {
  const promises = new Map<string, Promised>()
  /** Time by service up to which the released capacity is promised. */
  const promisedUntil = new Map<string, number>()

  let droppedAt = -Infinity

  function dropExpired (now: number): void {
    if (now - droppedAt < DROP_INTERVAL_MILLISECONDS) return
    droppedAt = now
    for (const [id, { returnAt }] of promises) {
      if (returnAt + RETURN_GRACE_MILLISECONDS < now) promises.delete(id)
    }
  }

  return {
    refuse: (job, now) => {
      dropExpired(now)
      const from = Math.max(now + job.excessWaitMilliseconds, promisedUntil.get(job.service) ?? 0)
      const until = Math.min(from + job.startMilliseconds, now + MAXIMUM_RETRY_AFTER_MILLISECONDS)
      promisedUntil.set(job.service, until)
      const seconds = Math.max(1, Math.ceil((until - now) / RETRY_AFTER_UNIT_MILLISECONDS))
      const retryAfter = seconds * RETRY_AFTER_UNIT_MILLISECONDS
      promises.delete(job.id)
      promises.set(job.id, { place: job.place, returnAt: now + retryAfter })
      return retryAfter
    },
    takePlace: (id, now) => {
      const promised = promises.get(id)
      if (promised === undefined) return undefined
      promises.delete(id)
      const isInTime = now >= promised.returnAt - RETURN_TOLERANCE_MILLISECONDS &&
        now <= promised.returnAt + RETURN_GRACE_MILLISECONDS
      return isInTime ? promised.place : undefined
    },
    promisedCount: () => promises.size
  }
}
