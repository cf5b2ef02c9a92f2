/**
 * Orders that renew the run lease and got no answer. The upstream may carry one out seconds later, and count the lease
 * from then: after its agent is gone, or while the agent waits for the end of the lease.
 */
import { FENCE_LEAD, RENEWAL_LOG_INTERVAL_MILLISECONDS } from './run-limits.js'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'
import type { OrderOutcome } from './upstream.js'

/**
 * Raises the fencing token above that of an order without an answer, if the order may renew the lease. The upstream
 * rejects it once it has carried out any later order.
 */
function outdateRenewal (
  state: RunRegistryState, ports: RunRegistryPorts, usedFencingToken: number, now: number
): void {
  if (usedFencingToken > state.upstream.leaseFence) return
  if (usedFencingToken === state.fencingToken) {
    state.fencingToken += 1
    if (state.fencingToken > state.toldFence) state.toldFence = state.fencingToken + FENCE_LEAD
  }
  const renewals = state.unansweredRenewals
  if (renewals.openCount === 0) renewals.openSince = now
  renewals.openCount += 1
  renewals.highestFence = Math.max(renewals.highestFence, usedFencingToken)
  renewals.unloggedCount += 1
  if (now - renewals.loggedAt < RENEWAL_LOG_INTERVAL_MILLISECONDS) return
  ports.logger.warn('lease renewal got no answer', {
    orders: renewals.unloggedCount, open: renewals.openCount, fence: state.fencingToken
  })
  renewals.loggedAt = now
  renewals.unloggedCount = 0
}

/** Records that the upstream carried out an order: it rejects the open ones if their tokens are lower. */
function recordCarriedOut (
  state: RunRegistryState, ports: RunRegistryPorts, usedFencingToken: number, now: number
): void {
  const renewals = state.unansweredRenewals
  if (renewals.openCount === 0 || usedFencingToken <= renewals.highestFence) return
  renewals.unloggedOutdatedCount += renewals.openCount
  renewals.openCount = 0
  if (now - renewals.outdatedLoggedAt < RENEWAL_LOG_INTERVAL_MILLISECONDS) return
  ports.logger.info('lease renewals outdated', {
    orders: renewals.unloggedOutdatedCount, milliseconds: Math.round(now - renewals.openSince), fence: usedFencingToken
  })
  renewals.outdatedLoggedAt = now
  renewals.unloggedOutdatedCount = 0
}

/**
 * Takes in whether an order that may renew the lease, sent with `usedFencingToken`, was answered.
 *
 * @example
 * recordRenewal(state, ports, 'unanswered', 7, now)
 * state.fencingToken // 8
 */
export function recordRenewal (
  state: RunRegistryState, ports: RunRegistryPorts, outcome: OrderOutcome, usedFencingToken: number, now: number
): void {
  if (outcome === 'unanswered') outdateRenewal(state, ports, usedFencingToken, now)
  if (outcome === 'taken') recordCarriedOut(state, ports, usedFencingToken, now)
}
