/** Signal by which an overloaded entry asks for no more callers, while other entries may have processor time. */

/** Length of the intervals whose refused share is looked at. */
const INTERVAL_MILLISECONDS = 250
/** Share of the jobs of an interval from which its refusals count: a busy entry refuses some that arrive together. */
const OVERLOADED_SHARE = 0.1
/** Time for which jobs are refused before the signal is raised: a burst that is over sooner moves nobody. */
const RAISE_MILLISECONDS = 1_000
/** Time without such a refusal after which the signal ends: two intervals of the readiness check, and a margin. */
const CLEAR_MILLISECONDS = 3_000

export interface OverloadSignal {
  /** Records whether a job was refused since the entry can't carry it. */
  record: (isRefused: boolean, now: number) => void
  isRaised: (now: number) => boolean
}

/**
 * Creates a signal that is not raised. It answers the load of a failure domain whose callers outnumber what its entries
 * carry: the balancer gives the callers of an entry that isn't ready to another one, or to the next failure domain.
 *
 * @example
 * const signal = createOverloadSignal()
 * signal.record(true, now)
 * signal.isRaised(now) // false, until jobs have been refused for a while
 */
export function createOverloadSignal (): OverloadSignal {
  let startedAt = -Infinity
  let offered = 0
  let refusals: { readonly firstAt: number, lastAt: number, count: number } | undefined
  /** First refusal of the overloaded intervals in a row, and the last one. */
  let firstAt: number | undefined
  let lastAt = -Infinity
  let isOverloaded = false

  function endInterval (now: number): void {
    if (now - startedAt < INTERVAL_MILLISECONDS) return
    if (refusals !== undefined && refusals.count >= OVERLOADED_SHARE * offered) {
      firstAt ??= refusals.firstAt
      lastAt = refusals.lastAt
      if (lastAt - firstAt >= RAISE_MILLISECONDS) isOverloaded = true
    } else {
      firstAt = undefined
    }
    if (now - startedAt >= 2 * INTERVAL_MILLISECONDS) firstAt = undefined
    startedAt = now
    offered = 0
    refusals = undefined
  }

  return {
    record: (isRefused, now) => {
      endInterval(now)
      offered += 1
      if (!isRefused) return
      refusals ??= { firstAt: now, lastAt: now, count: 0 }
      refusals.lastAt = now
      refusals.count += 1
    },
    isRaised: now => {
      endInterval(now)
      if (now - lastAt >= CLEAR_MILLISECONDS) isOverloaded = false
      return isOverloaded
    }
  }
}
