/** Signal by which an overloaded entry asks for no more callers, while other entries may have processor time. */

/** Time for which jobs are refused before the signal is raised: a burst that is over sooner moves nobody. */
const RAISE_MILLISECONDS = 1_000
/** Longest gap between refusals of one overload. */
const GAP_MILLISECONDS = 500
/** Time without a refusal after which the signal ends: two intervals of the readiness check, and a margin. */
const CLEAR_MILLISECONDS = 3_000

export interface OverloadSignal {
  /** Records that a job was refused since the entry can't carry it. */
  recordRefusal: (now: number) => void
  isRaised: (now: number) => boolean
}

/**
 * Creates a signal that is not raised. It answers the load of a failure domain whose callers outnumber what its entries
 * carry: the balancer gives the callers of an entry that isn't ready to another one, or to the next failure domain.
 *
 * @example
 * const signal = createOverloadSignal()
 * signal.recordRefusal(now)
 * signal.isRaised(now) // false, until jobs have been refused for a while
 */
export function createOverloadSignal (): OverloadSignal {
  let firstAt = -Infinity
  let lastAt = -Infinity
  let isOverloaded = false

  function isRaised (now: number): boolean {
    if (now - lastAt >= CLEAR_MILLISECONDS) isOverloaded = false
    return isOverloaded
  }

  return {
    recordRefusal: now => {
      if (now - lastAt > GAP_MILLISECONDS) firstAt = now
      lastAt = now
      if (now - firstAt >= RAISE_MILLISECONDS) isOverloaded = true
    },
    isRaised
  }
}
