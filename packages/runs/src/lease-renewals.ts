/** The orders that renewed the run lease. Times are of the agent's steady clock, in milliseconds. */

interface LeaseRenewal {
  readonly sentAt: number
  /** Lease end that it carried, on the upstream's clock; undefined while that is unknown. */
  readonly leaseUntil: number | undefined
  /** Time by which the lease that it carried is over, even on the slowest clock. */
  readonly overBy: number
  /** Number of orders that were sent at this time and may have reached the upstream. */
  orderCount: number
}

/** Renewals of one instance's lease, counted from when they were sent, as long as they may have arrived. */
export interface LeaseRenewals {
  /** Adds an order that renews the lease. */
  add: (sentAt: number, leaseUntil: number | undefined, overBy: number) => void
  /** Counts an order that does not renew the lease; a renewal that was sent at the same time can't be told from it. */
  addOther: (sentAt: number) => void
  /** Takes in that the upstream has refused the connection for an order, which therefore renewed nothing. */
  withdraw: (sentAt: number) => void
  /** Takes in that an order may have arrived, so that renewals before it need not be told apart any more. */
  settle: (sentAt: number) => void
  /** Time of the newest renewal; that of the instance before without one, undefined without any. */
  renewedAt: () => number | undefined
  /** Lease end that the newest renewal carried; undefined without one. */
  leaseUntil: () => number | undefined
  /** Time by which the leases of all renewals are over, even on the slowest clock. */
  overBy: () => number
}

/**
 * Creates the record of an instance whose lease has not been renewed.
 *
 * @param former - Renewals of the instance before, whose runs may be there still; undefined without one.
 * @example
 * const renewals = createLeaseRenewals(undefined)
 * renewals.add(10_000, 5_400, 10_408)
 * renewals.overBy() // 10_408
 * renewals.withdraw(10_000)
 * renewals.overBy() // -Infinity
 */
export function createLeaseRenewals (former: LeaseRenewals | undefined): LeaseRenewals {
  const renewedBefore = former?.renewedAt()
  let settledOverBy = former?.overBy() ?? -Infinity
  let renewals: LeaseRenewal[] = []
  /** The newest orders that renewed nothing. */
  let others = { sentAt: -Infinity, orderCount: 0 }

  function newest (): LeaseRenewal | undefined {
    return renewals[renewals.length - 1]
  }

  return {
    add: (sentAt, leaseUntil, overBy) => {
      const last = newest()
      const otherCount = others.sentAt === sentAt ? others.orderCount : 0
      if (last?.sentAt === sentAt) last.orderCount += 1
      else renewals.push({ sentAt, leaseUntil, overBy, orderCount: 1 + otherCount })
    },
    addOther: sentAt => {
      const last = newest()
      if (last?.sentAt === sentAt) last.orderCount += 1
      else others = { sentAt, orderCount: others.sentAt === sentAt ? others.orderCount + 1 : 1 }
    },
    withdraw: sentAt => {
      const renewal = renewals.find(other => other.sentAt === sentAt)
      if (renewal === undefined) return
      renewal.orderCount -= 1
      if (renewal.orderCount === 0) renewals = renewals.filter(other => other !== renewal)
    },
    settle: sentAt => {
      if (!renewals.some(other => other.sentAt === sentAt)) return
      const earlier = renewals.filter(other => other.sentAt < sentAt)
      for (const { overBy } of earlier) settledOverBy = Math.max(settledOverBy, overBy)
      renewals = renewals.filter(other => other.sentAt >= sentAt)
    },
    renewedAt: () => newest()?.sentAt ?? renewedBefore,
    leaseUntil: () => newest()?.leaseUntil,
    overBy: () => Math.max(settledOverBy, ...renewals.map(({ overBy }) => overBy))
  }
}
