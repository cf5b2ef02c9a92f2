/**
 * Majorities of the registered entries: when one last answered, and which log offsets no majority can miss.
 *
 * An owner that can't read the log goes on while a majority of the entries it knows answers it, and each answer
 * brings it the registers that the answering entry has read. So an offset is past the reach of every such owner once,
 * for each set of entries that was registered below it, fewer than a majority may still lack it.
 */
import type { EntryIdentity } from '@baobabpost/common'

/** A set of registered entries, in force from one offset of the log to the next change. */
interface EntrySet {
  readonly from: number
  readonly members: readonly EntryIdentity[]
}

/** Majorities of the registered entries as one entry sees them. */
export interface LeaseQuorum {
  /** Sets which entries are registered from an offset on. */
  setRegistered: (members: readonly EntryIdentity[], from: number) => void
  isRegistered: (entry: EntryIdentity) => boolean
  /** Notes that an entry answered a heartbeat that was sent at the given time. */
  answered: (entry: EntryIdentity, sentAt: number) => void
  /** Notes the offset up to which an entry has applied the log. */
  applied: (entry: EntryIdentity, position: number) => void
  /** Latest time at which heartbeats were sent that a majority answered, this entry included; -Infinity if none. */
  majorityAnsweredAt: (now: number) => number
  /** Largest offset that every majority of every registered set includes an applier of. */
  coveredPosition: () => number
}

function majorityOf (count: number): number {
  return Math.floor(count / 2) + 1
}

/**
 * Makes the view of majorities of one entry.
 *
 * @example
 * const quorum = createLeaseQuorum(identity)
 * quorum.setRegistered([identity, other], 12)
 */
export function createLeaseQuorum (identity: EntryIdentity): LeaseQuorum {
  let history: EntrySet[] = []
  let registeredOnce = false
  const answeredAt = new Map<EntryIdentity, number>()
  const appliedPosition = new Map<EntryIdentity, number>()

  function current (): readonly EntryIdentity[] {
    return history.at(-1)?.members ?? []
  }

  function forgetBeforeRegistration (): void {
    if (registeredOnce || !current().includes(identity)) return
    registeredOnce = true
    history = history.slice(-1)
  }

  function nthLargest (members: readonly EntryIdentity[], values: ReadonlyMap<EntryIdentity, number>): number {
    const sorted = members.map(member => values.get(member) ?? -Infinity).sort((left, right) => right - left)
    return sorted[members.length - majorityOf(members.length)] ?? Infinity
  }

  return {
    setRegistered (members, from) {
      history.push({ from, members })
      forgetBeforeRegistration()
    },
    isRegistered: entry => current().includes(entry),
    answered (entry, sentAt) {
      answeredAt.set(entry, Math.max(sentAt, answeredAt.get(entry) ?? -Infinity))
    },
    applied (entry, position) {
      appliedPosition.set(entry, Math.max(position, appliedPosition.get(entry) ?? 0))
    },
    majorityAnsweredAt (now) {
      const members = current()
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
        const limit = nthLargest(set.members, appliedPosition)
        if (limit >= until) continue
        history = history.slice(place)
        return Math.min(own, Math.max(limit, set.from))
      }
      return own
    }
  }
}
