/** Decides which partitions this entry claims and which it hands over to another entry. */
import { type EntryIdentity, PARTITION_COUNT } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, type RegisterWrite, registerName } from '@baobabpost/messages'
import type { PartitionState } from './ownership.js'
import { preferredOwner } from './rendezvous.js'

const MOVES_PER_APPEND = 64

export interface PartitionMovesOptions {
  readonly identity: EntryIdentity
  readonly startedAt: number
  readonly stabilizationMilliseconds: number
  readonly ownerAbsenceMilliseconds: number
  readonly appendRetryMilliseconds: number
  readonly isRegistered: (entry: EntryIdentity) => boolean
  readonly partitionState: (partition: number) => PartitionState
  readonly versionOf: (partition: number) => number
  /** Whether this entry knows all submissions of the partition, so that it may hand it over. */
  readonly isFullyKnown: (partition: number) => boolean
}

/** Decides the appends that move partitions; the writes of one list go into one log record. */
export interface PartitionMoves {
  setLiveEntries: (entries: readonly EntryIdentity[], now: number) => void
  /** Called when the partition's register changed, so that its last append is no longer pending. */
  registerChanged: (partition: number) => void
  /** Returns writes that claim partitions without a live owner. */
  claimsDue: (now: number) => readonly RegisterWrite[]
  /** Returns writes that hand partitions over, one list for each next owner. */
  handoversDue: (now: number) => readonly (readonly RegisterWrite[])[]
  stop: () => void
  isStopping: () => boolean
}

/**
 * Creates the partition moves of one entry.
 *
 * @example
 * const moves = createPartitionMoves({ identity, startedAt: now, … })
 */
export function createPartitionMoves (options: PartitionMovesOptions): PartitionMoves {
  const { identity } = options
  let liveEntries: readonly EntryIdentity[] = [identity]
  let unchangedSince = options.startedAt
  let isStopping = false
  const appendedAt = new Map<number, number>()
  const absentSince = new Map<EntryIdentity, number>()
  const preferredOwners: (EntryIdentity | undefined)[] = []
  computePreferred()

  function computePreferred (): void {
    const others = liveEntries.filter(entry => entry !== identity)
    const candidates = isStopping ? others : [...others, identity]
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      preferredOwners[partition] = preferredOwner(partition, candidates)
    }
  }

  function isAppendPending (partition: number, now: number): boolean {
    const appended = appendedAt.get(partition)
    return appended !== undefined && now < appended + options.appendRetryMilliseconds
  }

  function isOwnerGone (owner: EntryIdentity, now: number): boolean {
    if (liveEntries.includes(owner)) {
      absentSince.delete(owner)
      return false
    }
    if (!options.isRegistered(owner)) return true
    const since = absentSince.get(owner) ?? now
    absentSince.set(owner, since)
    return now >= since + options.ownerAbsenceMilliseconds
  }

  function isClaimable (partition: number, now: number): boolean {
    if (isAppendPending(partition, now)) return false
    const state = options.partitionState(partition)
    switch (state.kind) {
      case 'none': return true
      case 'ours': return false
      case 'elsewhere': return isOwnerGone(state.owner, now)
    }
  }

  function isLiveSetStable (now: number): boolean {
    return now >= unchangedSince + options.stabilizationMilliseconds
  }

  return {
    setLiveEntries (entries, now) {
      if (entries.length === liveEntries.length && entries.every(entry => liveEntries.includes(entry))) return
      for (const entry of liveEntries) {
        if (!entries.includes(entry)) absentSince.set(entry, now)
      }
      liveEntries = [...entries]
      unchangedSince = now
      computePreferred()
    },
    registerChanged: partition => { appendedAt.delete(partition) },
    claimsDue (now) {
      if (isStopping || !isLiveSetStable(now) || !options.isRegistered(identity)) return []
      const writes: RegisterWrite[] = []
      for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
        if (preferredOwners[partition] !== identity || !isClaimable(partition, now)) continue
        appendedAt.set(partition, now)
        writes.push({
          kind: 'write',
          register: registerName('partition', partition),
          replaces: options.versionOf(partition) || NEVER_WRITTEN_VERSION,
          value: { owner: identity }
        })
      }
      return writes
    },
    handoversDue (now) {
      if (!isStopping && !isLiveSetStable(now)) return []
      const byTarget = new Map<EntryIdentity, RegisterWrite[]>()
      for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
        const target = preferredOwners[partition]
        if (target === undefined || target === identity || isAppendPending(partition, now)) continue
        if (options.partitionState(partition).kind !== 'ours' || !options.isFullyKnown(partition)) continue
        const writes = byTarget.get(target) ?? []
        if (writes.length >= MOVES_PER_APPEND) continue
        byTarget.set(target, writes)
        appendedAt.set(partition, now)
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
      isStopping = true
      computePreferred()
    },
    isStopping: () => isStopping
  }
}
