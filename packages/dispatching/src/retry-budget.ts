/** Budget for calls that are sent again: a share of the first ones, so that an overload is not multiplied. */

/** Repeats that each first call allows. */
const REPEATS_PER_CALL = 0.1
/** Repeats that may be saved up, for a few lost connections after a calm time. */
const MAXIMUM_SAVED_REPEATS = 10

export interface RetryBudget {
  /** Counts a first call. */
  record: () => void
  /** Takes one repeat from the budget. Returns whether there was one. */
  take: () => boolean
}

/**
 * Creates a full budget.
 *
 * @example
 * const budget = createRetryBudget()
 * if (budget.take()) sendAgain()
 */
export function createRetryBudget (): RetryBudget {
  let repeats = MAXIMUM_SAVED_REPEATS
  return {
    record: () => { repeats = Math.min(MAXIMUM_SAVED_REPEATS, repeats + REPEATS_PER_CALL) },
    take: () => {
      if (repeats < 1) return false
      repeats -= 1
      return true
    }
  }
}
