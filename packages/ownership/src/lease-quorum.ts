/**
 * Majorities of the registered entries: when one last answered, and which log offsets none of them can lack.
 *
 * An owner that can't read the log keeps its lease while a majority of the entries that it knows answers it, and each
 * answer brings it the registers that the answering entry has read. An offset counts as covered as soon as, in each set
 * of entries that was registered below it, fewer than a majority may lack it: no owner can then keep its lease without
 * learning of the offset.
 */
import type { EntryIdentity } from '@baobabpost/common'

/** A set of registered entries, valid from one log offset to the next change. */
interface EntrySet {
  readonly from: number
  readonly members: readonly EntryIdentity[]
}

export interface LeaseQuorum {
  /** Sets the entries that are registered from an offset on. */
  setRegistered: (members: readonly EntryIdentity[], from: number) => void
  isRegistered: (entry: EntryIdentity) => boolean
  /** Records that an entry answered the heartbeat that was sent at the given time. */
  recordAnswer: (entry: EntryIdentity, sentAt: number) => void
  /** Drops all recorded answers. */
  forgetAnswers: () => void
  /** Records the offset up to which an entry has applied the log. */
  recordAppliedPosition: (entry: EntryIdentity, position: number) => void
  /** Returns the latest time such that a majority, with this entry, answered heartbeats sent since, or -Infinity. */
  majorityAnsweredAt: (now: number) => number
  /** Returns the largest offset that, in every registered set, at least one entry of every majority has applied. */
  coveredPosition: () => number
}

function majorityOf (count: number): number {
  return Math.floor(count / 2) + 1
}

/**
 * Creates the lease quorum of one entry.
 *
 * @example
 * const quorum = createLeaseQuorum(identity)
 * quorum.setRegistered([identity, other], 12)
 */
export function createLeaseQuorum (identity: EntryIdentity): LeaseQuorum {
  let history: EntrySet[] = []
  let hasBeenRegistered = false
  const answeredAt = new Map<EntryIdentity, number>()
  const appliedPosition = new Map<EntryIdentity, number>()

  function currentMembers (): readonly EntryIdentity[] {
    return history.at(-1)?.members ?? []
  }

  function dropSetsBeforeRegistration (): void {
    if (hasBeenRegistered || !currentMembers().includes(identity)) return
    hasBeenRegistered = true
    history = history.slice(-1)
  }

  /** Returns the largest value that at least one member of every majority has reached. */
  function reachedByEveryMajority (
    members: readonly EntryIdentity[], values: ReadonlyMap<EntryIdentity, number>
  ): number {
    const sorted = members.map(member => values.get(member) ?? -Infinity).sort((left, right) => right - left)
    return sorted[members.length - majorityOf(members.length)] ?? Infinity
  }

  return {
    setRegistered (members, from) {
      history.push({ from, members })
      dropSetsBeforeRegistration()
    },
    isRegistered: entry => currentMembers().includes(entry),
    recordAnswer (entry, sentAt) {
      answeredAt.set(entry, Math.max(sentAt, answeredAt.get(entry) ?? -Infinity))
    },
    forgetAnswers: () => { answeredAt.clear() },
    recordAppliedPosition (entry, position) {
      appliedPosition.set(entry, Math.max(position, appliedPosition.get(entry) ?? 0))
    },
    majorityAnsweredAt (now) {
      const members = currentMembers()
      if (!members.includes(identity)) return -Infinity
      const sorted = members
        .map(member => member === identity ? now : answeredAt.get(member) ?? -Infinity)
        .sort((left, right) => right - left)
      return sorted[majorityOf(members.length) - 1] ?? -Infinity
    },
    coveredPosition () {
      const own = appliedPosition.get(identity) ?? 0
      for (const [place, set] of history.entries()) {
        const until = history[place + 1]?.from ?? Infinity
        const limit = reachedByEveryMajority(set.members, appliedPosition)
        if (limit >= until) continue
        history = history.slice(place)
        return Math.min(own, Math.max(limit, set.from))
      }
      return own
    }
  }
}
