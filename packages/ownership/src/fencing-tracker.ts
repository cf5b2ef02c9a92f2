/**
 * Fencing of stale owners: the time from which on an owner that has not applied a log offset can start no task.
 *
 * Once every majority includes an entry that has applied the offset, an owner that has not can't renew its lease. Its
 * dispatches carry the end of the lease, and agents refuse them after that.
 */
import type { LeaseQuorum } from './lease-quorum.js'

export interface FencingTrackerOptions {
  readonly quorum: LeaseQuorum
  /** Returns the longest owner lease that any entry keeps. */
  readonly longestLeaseMilliseconds: () => number
  readonly clockSkewMilliseconds: number
}

/** Tracks, for each watched log offset, from when on every owner that has not applied it is fenced. */
export interface FencingTracker {
  watch: (offset: number, now: number) => void
  /** Checks the watched offsets against the quorum's covered position; returns whether one became covered. */
  update: (now: number) => boolean
  /**
   * Returns the time such that keys made after it can't have been run by an owner that has not applied the offset;
   * Infinity while it is unknown.
   */
  fencedFrom: (offset: number) => number
  /** Returns the time since which every majority includes an entry that has applied the offset, or Infinity. */
  coveredSince: (offset: number) => number
}

/**
 * Creates the fencing tracker of one entry.
 *
 * @example
 * const fencing = createFencingTracker({ quorum, longestLeaseMilliseconds: () => 2_000, clockSkewMilliseconds: 2_000 })
 */
export function createFencingTracker (options: FencingTrackerOptions): FencingTracker {
  const pending = new Set<number>()
  const coveredAt = new Map<number, number>()
  const fencedAt = new Map<number, number>()

  function update (now: number): boolean {
    if (pending.size === 0) return false
    const coveredPosition = options.quorum.coveredPosition()
    let hasChanged = false
    for (const offset of pending) {
      if (offset > coveredPosition) continue
      pending.delete(offset)
      coveredAt.set(offset, now)
      // An entry that registers later has read the offset before it owns anything.
      fencedAt.set(offset, now + options.longestLeaseMilliseconds() + 2 * options.clockSkewMilliseconds)
      hasChanged = true
    }
    return hasChanged
  }

  return {
    watch (offset, now) {
      if (coveredAt.has(offset)) return
      pending.add(offset)
      update(now)
    },
    update,
    fencedFrom: offset => fencedAt.get(offset) ?? Infinity,
    coveredSince: offset => coveredAt.get(offset) ?? Infinity
  }
}
