/**
 * Budget of repeated sends: a share of the successes of a service, with a small reserve at the start.
 *
 * A service that fails everything earns nothing, so that repeats stop once the reserve is spent.
 */

const INITIAL_TOKENS = 2
const MAXIMUM_TOKENS = 20

/** Budget by service. */
export interface RetryBudget {
  setShare: (share: number) => void
  /** Earns from a success. */
  deposit: (service: string) => void
  /** Takes one repeated send, if the budget allows it. */
  tryTake: (service: string) => boolean
}

/** Makes a budget that earns the given share of successes, from 0 to 1. */
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
