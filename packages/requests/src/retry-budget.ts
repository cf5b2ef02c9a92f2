/**
 * Budget for retries and hedges: a share of the successes of a service, plus a small initial balance.
 *
 * A service whose calls all fail adds nothing to its budget, so that retries stop once the initial balance is used up.
 */

const INITIAL_TOKENS = 2
const MAXIMUM_TOKENS = 20

export interface RetryBudget {
  setShare: (share: number) => void
  /** Adds the share of one success to the budget of the service. */
  deposit: (service: string) => void
  /** Uses one token for a retry or hedge; returns whether the budget allowed it. */
  tryTake: (service: string) => boolean
}

/** Creates a budget that grows by the given share of successes, from 0 to 1. */
export function createRetryBudget (initialShare: number): RetryBudget {
  const tokens = new Map<string, number>()
  let share = initialShare

  return {
    setShare: newShare => { share = newShare },
    deposit: service => {
      const available = (tokens.get(service) ?? INITIAL_TOKENS) + share
      tokens.set(service, Math.min(available, MAXIMUM_TOKENS))
    },
    tryTake: service => {
      const available = tokens.get(service) ?? INITIAL_TOKENS
      if (available < 1 || share === 0) return false
      tokens.set(service, available - 1)
      return true
    }
  }
}
