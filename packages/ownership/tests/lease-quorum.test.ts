import { describe, expect, it } from 'vitest'
import { createFenceClock } from '../src/fencing-tracker.js'
import { createLeaseQuorum } from '../src/lease-quorum.js'
import { entryIdentity, START } from './register-log.js'

const [self, second, third, fourth] = [1, 2, 3, 4].map(entryIdentity) as [
  ReturnType<typeof entryIdentity>, ReturnType<typeof entryIdentity>,
  ReturnType<typeof entryIdentity>, ReturnType<typeof entryIdentity>
]

describe('covered position', () => {
  it('is what no majority of the registered entries lacks', () => {
    const quorum = createLeaseQuorum(self)
    quorum.setRegistered([self, second, third], 3)
    quorum.applied(self, 10)
    quorum.applied(second, 8)
    expect(quorum.coveredPosition()).toBe(8)
    quorum.applied(third, 9)
    expect(quorum.coveredPosition()).toBe(9)
  })

  it('does not pass the end of a set whose majority may still be without it', () => {
    const quorum = createLeaseQuorum(self)
    quorum.setRegistered([self, second, third], 3)
    for (const entry of [self, second, third]) quorum.applied(entry, 5)
    // Both others are removed; cut off together they would still be a majority of three.
    quorum.setRegistered([self, third], 7)
    quorum.setRegistered([self], 8)
    quorum.applied(self, 20)
    expect(quorum.coveredPosition()).toBe(5)
    quorum.applied(third, 8)
    expect(quorum.coveredPosition()).toBe(20)
  })

  it('counts an entry that joined later only in the sets that it is in', () => {
    const quorum = createLeaseQuorum(self)
    quorum.setRegistered([self, second, third], 3)
    quorum.applied(self, 20)
    quorum.setRegistered([self, second, third, fourth], 10)
    quorum.applied(fourth, 20)
    expect(quorum.coveredPosition()).toBeLessThan(10)
    quorum.applied(second, 12)
    // A majority of four is three, and only two may lack it.
    expect(quorum.coveredPosition()).toBe(20)
  })
})

describe('fence time', () => {
  it('is the time of covering with the lease and two skews, and stays', () => {
    const quorum = createLeaseQuorum(self)
    const fences = createFenceClock({ quorum, ownerLeaseMilliseconds: 2_000, clockSkewMilliseconds: 500 })
    quorum.setRegistered([self, second, third], 3)
    quorum.applied(self, 10)
    fences.watch(9, START)
    expect([fences.fencedFrom(9), fences.coveredSince(9)]).toEqual([Infinity, Infinity])
    quorum.applied(second, 9)
    expect(fences.update(START + 100)).toBe(true)
    expect([fences.fencedFrom(9), fences.coveredSince(9)]).toEqual([START + 3_100, START + 100])
    quorum.applied(third, 10)
    fences.update(START + 900)
    expect(fences.coveredSince(9)).toBe(START + 100)
  })
})
