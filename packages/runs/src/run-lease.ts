/** Lease of the runs at an upstream: its renewal by list and start orders, and its end. */
import { LEASE_MARGIN_MILLISECONDS, MAXIMUM_LEASE_STRETCH, RUN_LEASE_MILLISECONDS } from '@baobabpost/fleet-calls'
import { FULL_LEASE_PERIOD_MILLISECONDS, SHORT_RUN_LEASE_MILLISECONDS } from './run-limits.js'
import { isOrdered, ORDER_UNANSWERED, type RunRecord } from './run-record.js'
import type { RunRegistryState } from './run-registry-state.js'
import type { OrderOutcome } from './upstream.js'

/** Whether a run must end, and nothing but the end of the run lease ensures that it does. */
function dependsOnLeaseEnd (record: RunRecord, now: number): boolean {
  if (!isOrdered(record) || record.state === 'displaced') return false
  const isStopping = record.state === 'stopping'
  if (isStopping && record.absenceConclusiveFrom !== undefined) return false
  return now >= record.session.leaseUntil || (isStopping && record.stopReason !== ORDER_UNANSWERED)
}

function isRenewable (state: RunRegistryState, now: number): boolean {
  const { stops, upstream } = state
  if (upstream.unknownRunCount > 0) return false
  // Many start orders are sent at one time.
  if (stops.checkedAt === now && stops.checkedRevision === stops.revision) return stops.wasRenewable
  stops.checkedAt = now
  stops.checkedRevision = stops.revision
  stops.wasRenewable = !hasRunThatDependsOnLeaseEnd(state, now)
  return stops.wasRenewable
}

function hasRunThatDependsOnLeaseEnd ({ stops, runsBySession }: RunRegistryState, now: number): boolean {
  for (const record of stops.runs) if (dependsOnLeaseEnd(record, now)) return true
  for (const [session, runs] of runsBySession) {
    if (now < session.leaseUntil) continue
    for (const record of runs) if (dependsOnLeaseEnd(record, now)) return true
  }
  return false
}

/** Returns the length of the lease that is granted now, in milliseconds of the upstream's clock. */
function leaseLength ({ upstream }: RunRegistryState, now: number): number {
  const isFull = now - upstream.lastUnansweredAt < FULL_LEASE_PERIOD_MILLISECONDS
  return isFull ? RUN_LEASE_MILLISECONDS : SHORT_RUN_LEASE_MILLISECONDS
}

/**
 * Returns the lease end that an order sent now carries, on the upstream's clock; undefined while that clock is unknown.
 * The lease holds for all runs there, so it keeps the end that was granted before while one of them must end and its
 * stop is not confirmed: entries rely on the end of the lease where a stop is lost.
 */
export function renewLease (state: RunRegistryState, now: number): number | undefined {
  const { upstream } = state
  if (isRenewable(state, now)) {
    const clock = upstream.clock.timeAt(now)
    const length = leaseLength(state, now)
    upstream.renewals.add(now, clock === undefined ? undefined : clock + length, now + length * MAXIMUM_LEASE_STRETCH)
  } else {
    upstream.renewals.addOther(now)
  }
  const leaseUntil = upstream.renewals.leaseUntil()
  if (leaseUntil !== undefined) upstream.leaseFence = state.fencingToken
  return leaseUntil
}

/**
 * Takes in whether an order that was sent at `sentAt` may have renewed the lease. One that was refused at the
 * connection reached nobody. One that the upstream rejected counts, which at worst prolongs the wait.
 */
export function settleRenewal (
  { upstream }: RunRegistryState, outcome: OrderOutcome, sentAt: number, now: number
): void {
  if (outcome === 'unanswered') upstream.lastUnansweredAt = now
  if (outcome === 'unreachable') upstream.renewals.withdraw(sentAt)
  else upstream.renewals.settle(sentAt)
}

/**
 * Whether the run lease has expired, even on a slow clock of the upstream. An order without an answer does not renew it
 * after that: the upstream carries it out in time, or seconds later. The lease has ended by then, or the upstream
 * has carried out a later order with a higher fencing token, and rejects it.
 */
export function isRunLeaseOver (state: RunRegistryState, now: number): boolean {
  return now >= state.upstream.renewals.overBy() + LEASE_MARGIN_MILLISECONDS
}
