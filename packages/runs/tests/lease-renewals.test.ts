import { expect, it } from 'vitest'
import { createLeaseRenewals } from '../src/lease-renewals.js'

it('go back to the newest renewal that may have arrived when later ones were refused', () => {
  const former = createLeaseRenewals(undefined)
  former.add(50, 690, 703)
  const renewals = createLeaseRenewals(former)
  expect([renewals.renewedAt(), renewals.leaseUntil(), renewals.overBy()]).toEqual([50, undefined, 703])
  renewals.add(100, 740, 753)
  renewals.add(120, 760, 773)
  renewals.add(140, 780, 793)
  renewals.withdraw(140)
  expect([renewals.renewedAt(), renewals.leaseUntil(), renewals.overBy()]).toEqual([120, 760, 773])
  renewals.withdraw(100)
  renewals.withdraw(120)
  expect([renewals.renewedAt(), renewals.leaseUntil(), renewals.overBy()]).toEqual([50, undefined, 703])
})

it('keep a renewal until each order of the same time was refused, whether it renewed the lease or not', () => {
  const renewals = createLeaseRenewals(undefined)
  renewals.addOther(100)
  renewals.add(100, 740, 753)
  renewals.add(100, 740, 753)
  renewals.withdraw(100)
  renewals.withdraw(100)
  expect(renewals.renewedAt()).toBe(100)
  renewals.withdraw(100)
  expect(renewals.renewedAt()).toBeUndefined()
})

it('keep the latest lease end of renewals before one that may have arrived', () => {
  const renewals = createLeaseRenewals(undefined)
  renewals.add(100, 740, 753)
  renewals.add(120, 520, 528)
  renewals.add(140, 780, 793)
  renewals.settle(120)
  renewals.withdraw(140)
  renewals.withdraw(100)
  expect([renewals.renewedAt(), renewals.leaseUntil(), renewals.overBy()]).toEqual([120, 520, 753])
})
