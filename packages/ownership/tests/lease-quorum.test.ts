import { describe, expect, it } from 'vitest'
import { createFencingTracker } from '../src/fencing-tracker.js'
import { createLeaseQuorum } from '../src/lease-quorum.js'
import { entryIdentity, START } from './register-log.js'

const [self, second, third, fourth] = [1, 2, 3, 4].map(entryIdentity) as [
  ReturnType<typeof entryIdentity>, ReturnType<typeof entryIdentity>,
  ReturnType<typeof entryIdentity>, ReturnType<typeof entryIdentity>
]

describe('covered position', () => {
  it('is the largest offset that an entry of every majority has applied', () => {
    const quorum = createLeaseQuorum(self)
    quorum.setRegistered([self, second, third], 3)
    quorum.recordAppliedPosition(self, 10)
    quorum.recordAppliedPosition(second, 8)
    expect(quorum.coveredPosition()).toBe(8)
    quorum.recordAppliedPosition(third, 9)
    expect(quorum.coveredPosition()).toBe(9)
  })

  it('stays below the end of a registered set while a majority of that set may lack the next change', () => {
    const quorum = createLeaseQuorum(self)
    quorum.setRegistered([self, second, third], 3)
    for (const entry of [self, second, third]) quorum.recordAppliedPosition(entry, 5)
    // Both others are removed, but if partitioned off together they would still form a majority of three.
    quorum.setRegistered([self, third], 7)
    quorum.setRegistered([self], 8)
    quorum.recordAppliedPosition(self, 20)
    expect(quorum.coveredPosition()).toBe(5)
    quorum.recordAppliedPosition(third, 8)
    expect(quorum.coveredPosition()).toBe(20)
  })

  it('counts an entry that joined later only in the registered sets that include it', () => {
    const quorum = createLeaseQuorum(self)
    quorum.setRegistered([self, second, third], 3)
    quorum.recordAppliedPosition(self, 20)
    quorum.setRegistered([self, second, third, fourth], 10)
    quorum.recordAppliedPosition(fourth, 20)
    expect(quorum.coveredPosition()).toBeLessThan(10)
    quorum.recordAppliedPosition(second, 12)
    // A majority of four is three, and only two entries may lack the offset.
    expect(quorum.coveredPosition()).toBe(20)
  })
})

describe('fencing time', () => {
  it('is the time at which the offset was covered plus the lease and twice the clock skew, and does not change', () => {
    const quorum = createLeaseQuorum(self)
    const fencing = createFencingTracker({ quorum, longestLeaseMilliseconds: () => 2_000, clockSkewMilliseconds: 500 })
    quorum.setRegistered([self, second, third], 3)
    quorum.recordAppliedPosition(self, 10)
    fencing.watch(9, START)
    expect([fencing.fencedFrom(9), fencing.coveredSince(9)]).toEqual([Infinity, Infinity])
    quorum.recordAppliedPosition(second, 9)
    expect(fencing.update(START + 100)).toBe(true)
    expect([fencing.fencedFrom(9), fencing.coveredSince(9)]).toEqual([START + 3_100, START + 100])
    quorum.recordAppliedPosition(third, 10)
    fencing.update(START + 900)
    expect(fencing.coveredSince(9)).toBe(START + 100)
  })
})
