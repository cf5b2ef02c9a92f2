/** Which partitions this entry should claim, and which it should give to another entry. */
import { type EntryIdentity, PARTITION_COUNT } from '@baobabpost/common'
import { NEVER_WRITTEN, type RegisterWrite, registerName } from '@baobabpost/messages'
import type { PartitionState } from './ownership.js'
import { preferredOwner } from './rendezvous.js'

const MOVES_PER_APPEND = 64

/** Settings of the moves. */
export interface PartitionMovesOptions {
  readonly identity: EntryIdentity
  readonly startedAt: number
  readonly settleMilliseconds: number
  readonly ownerAbsenceMilliseconds: number
  readonly appendRetryMilliseconds: number
  readonly isRegistered: (entry: EntryIdentity) => boolean
  readonly partitionState: (partition: number) => PartitionState
  readonly versionOf: (partition: number) => number
  /** Whether all is known of the partition, so that it may be handed over. */
  readonly isWhole: (partition: number) => boolean
}

/** Appends to make: the writes of each list belong into one record. */
export interface PartitionMoves {
  setLiveEntries: (entries: readonly EntryIdentity[], now: number) => void
  /** The register of the partition changed: what was asked for it is settled. */
  settled: (partition: number) => void
  /** Writes that claim partitions which nobody serves. */
  claimsDue: (now: number) => readonly RegisterWrite[]
  /** Writes that give partitions away, one list for each next owner. */
  handoversDue: (now: number) => readonly (readonly RegisterWrite[])[]
  stop: () => void
  isStopping: () => boolean
}

/**
 * Makes the choice of claims and moves of one entry.
 *
 * @example
 * const moves = createPartitionMoves({ identity, startedAt: now, … })
 */
export function createPartitionMoves (options: PartitionMovesOptions): PartitionMoves {
  const { identity } = options
  let live: readonly EntryIdentity[] = [identity]
  let unchangedSince = options.startedAt
  let stopping = false
  const askedAt = new Map<number, number>()
  const absentSince = new Map<EntryIdentity, number>()
  const preferred: (EntryIdentity | undefined)[] = []
  computePreferred()

  function computePreferred (): void {
    const others = live.filter(entry => entry !== identity)
    const candidates = stopping ? others : [...others, identity]
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      preferred[partition] = preferredOwner(partition, candidates)
    }
  }

  function isAsked (partition: number, now: number): boolean {
    const asked = askedAt.get(partition)
    return asked !== undefined && now < asked + options.appendRetryMilliseconds
  }

  function isGone (owner: EntryIdentity, now: number): boolean {
    if (live.includes(owner)) {
      absentSince.delete(owner)
      return false
    }
    if (!options.isRegistered(owner)) return true
    const since = absentSince.get(owner) ?? now
    absentSince.set(owner, since)
    return now >= since + options.ownerAbsenceMilliseconds
  }

  function isClaimable (partition: number, now: number): boolean {
    if (isAsked(partition, now)) return false
    const state = options.partitionState(partition)
    switch (state.kind) {
      case 'none': return true
      case 'ours': return false
      case 'elsewhere': return isGone(state.owner, now)
    }
  }

  function isSettledView (now: number): boolean {
    return now >= unchangedSince + options.settleMilliseconds
  }

  return {
    setLiveEntries (entries, now) {
      if (entries.length === live.length && entries.every(entry => live.includes(entry))) return
      for (const entry of live) {
        if (!entries.includes(entry)) absentSince.set(entry, now)
      }
      live = [...entries]
      unchangedSince = now
      computePreferred()
    },
    settled: partition => { askedAt.delete(partition) },
    claimsDue (now) {
      if (stopping || !isSettledView(now) || !options.isRegistered(identity)) return []
      const writes: RegisterWrite[] = []
      for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
        if (preferred[partition] !== identity || !isClaimable(partition, now)) continue
        askedAt.set(partition, now)
        writes.push({
          kind: 'write',
          register: registerName('partition', partition),
          replaces: options.versionOf(partition) || NEVER_WRITTEN,
          value: { owner: identity }
        })
      }
      return writes
    },
    handoversDue (now) {
      if (!stopping && !isSettledView(now)) return []
      const byTarget = new Map<EntryIdentity, RegisterWrite[]>()
      for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
        const target = preferred[partition]
        if (target === undefined || target === identity || isAsked(partition, now)) continue
        if (options.partitionState(partition).kind !== 'ours' || !options.isWhole(partition)) continue
        const writes = byTarget.get(target) ?? []
        if (writes.length >= MOVES_PER_APPEND) continue
        byTarget.set(target, writes)
        askedAt.set(partition, now)
        writes.push({
          kind: 'write',
          register: registerName('partition', partition),
          replaces: options.versionOf(partition),
          value: { owner: target, handedOverBy: identity }
        })
      }
      return [...byTarget.values()]
    },
    stop () {
      stopping = true
      computePreferred()
    },
    isStopping: () => stopping
  }
}
