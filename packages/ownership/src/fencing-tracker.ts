/**
 * From when on no owner that lacks an offset of the log can start anything anywhere.
 *
 * Once every majority includes an entry that has applied the offset, an owner without it can't renew its lease; what
 * it dispatched carries the end of that lease and is refused past it.
 */
import type { LeaseQuorum } from './lease-quorum.js'

/** Settings of the fence times. */
export interface FenceClockOptions {
  readonly quorum: LeaseQuorum
  readonly ownerLeaseMilliseconds: number
  readonly clockSkewMilliseconds: number
}

/** Times from which on offsets fence every owner that lacks them. */
export interface FenceClock {
  /** Begins to watch an offset. */
  watch: (offset: number, now: number) => void
  /** Takes in new positions of entries; tells whether a watched offset became covered. */
  update: (now: number) => boolean
  /**
   * Time such that keys made after it can't have been run by an owner that lacks the offset; Infinity while unknown.
   */
  fencedFrom: (offset: number) => number
  /** Time since which every majority includes an entry that has applied the offset; Infinity while unknown. */
  coveredSince: (offset: number) => number
}

/**
 * Makes the fence times of one entry.
 *
 * @example
 * const fences = createFenceClock({ quorum, ownerLeaseMilliseconds: 2_000, clockSkewMilliseconds: 2_000 })
 */
export function createFenceClock (options: FenceClockOptions): FenceClock {
  const marginMilliseconds = options.ownerLeaseMilliseconds + 2 * options.clockSkewMilliseconds
  const pending = new Set<number>()
  const coveredAt = new Map<number, number>()

  function update (now: number): boolean {
    if (pending.size === 0) return false
    const covered = options.quorum.coveredPosition()
    let changed = false
    for (const offset of pending) {
      if (offset > covered) continue
      pending.delete(offset)
      coveredAt.set(offset, now)
      changed = true
    }
    return changed
  }

  return {
    watch (offset, now) {
      if (coveredAt.has(offset)) return
      pending.add(offset)
      update(now)
    },
    update,
    fencedFrom (offset) {
      const time = coveredAt.get(offset)
      return time === undefined ? Infinity : time + marginMilliseconds
    },
    coveredSince: offset => coveredAt.get(offset) ?? Infinity
  }
}
