/** Record of the orders that renew the run lease and got no answer. Times are of the agent's steady clock, in ms. */

/** The orders without an answer which no later order with a higher fencing token has outdated, and what was logged. */
export interface UnansweredRenewals {
  openCount: number
  /** Highest fencing token among the open ones. */
  highestFence: number
  /** Agent time at which the first of the open ones got no answer. */
  openSince: number
  /** Number of orders without an answer since the last line about them. */
  unloggedCount: number
  loggedAt: number
  /** Number of outdated orders since the last line about them. */
  unloggedOutdatedCount: number
  outdatedLoggedAt: number
}

/**
 * Creates the record of an agent that has sent no order.
 *
 * @example
 * const unansweredRenewals = createUnansweredRenewals()
 */
export function createUnansweredRenewals (): UnansweredRenewals {
  return {
    openCount: 0,
    highestFence: 0,
    openSince: 0,
    unloggedCount: 0,
    loggedAt: -Infinity,
    unloggedOutdatedCount: 0,
    outdatedLoggedAt: -Infinity
  }
}
