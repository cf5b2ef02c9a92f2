/**
 * Replicates the buckets of all entries through registers of the platform log.
 *
 * Each entry writes buckets only to its own registers `burn/IDENTITY.SLOT`, so that writes never conflict. Slots are
 * reused cyclically: 120 for minutes and 73 for hours. The bucket of an hour is written when the hour is over, and the
 * minute slots of that hour are overwritten only an hour later. Buckets that are not on the log yet stay in memory and
 * are written later.
 */
import type { EntryIdentity } from '@baobabpost/common'
import { BurnBucket, type RegisterWrite } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import { mergeBuckets } from './merge-buckets.js'
import { BUDGET_PERIOD_HOURS, BUDGET_PERIOD_MILLISECONDS, floorTo, HOUR_MILLISECONDS, MINUTE_MILLISECONDS } from './periods.js'

/** Register kind: the part of the register name before the slash. */
export const BURN_REGISTER_KIND = 'burn'

const MINUTE_SLOT_COUNT = 120
const HOUR_SLOT_COUNT = BUDGET_PERIOD_HOURS + 1
const DEPARTED_ENTRY_RETENTION_MILLISECONDS = BUDGET_PERIOD_MILLISECONDS + 2 * HOUR_MILLISECONDS
const MAXIMUM_WRITES_PER_APPEND = 16

export interface BurnBucketStoreOptions {
  readonly identity: EntryIdentity
  /** Returns the last version of a register that this entry applied, 0 if it was never written. */
  readonly versionOf: (register: string) => number
}

/** The buckets that one entry has in memory: its own, and those that it read from the log. */
export interface BurnBucketStore {
  /** Adds buckets that this entry's recorder closed, in the order of time. */
  addOwnBuckets: (buckets: readonly BurnBucket[]) => void
  /** Applies a `burn/` register from the log; `null` means removed. Values that do not decode are ignored. */
  applyRegister: (register: string, value: unknown) => void
  /**
   * Returns the register writes for one append. Call it once a minute; writes that were not applied are returned again.
   *
   * @param liveEntries - Entries that are registered now. Only the first of them in sort order removes the registers of
   * departed entries.
   */
  nextWrites: (liveEntries: readonly EntryIdentity[], now: number) => readonly RegisterWrite[]
  /** Returns all known buckets, including this entry's unwritten ones. */
  buckets: () => readonly BurnBucket[]
  /** Returns the number of own buckets that are not yet confirmed to be on the log. */
  unwrittenCount: () => number
}

/**
 * Returns the name of the register that holds a bucket.
 *
 * @example
 * burnRegisterName({ entry: 'entry-1@0193…', start: 0, lengthMilliseconds: 60_000, … }) // 'burn/entry-1@0193….m0'
 */
export function burnRegisterName (bucket: BurnBucket): string {
  const slotNumber = bucket.start / bucket.lengthMilliseconds
  const slot = bucket.lengthMilliseconds === HOUR_MILLISECONDS ? `h${slotNumber % HOUR_SLOT_COUNT}` : `m${slotNumber % MINUTE_SLOT_COUNT}`
  return `${BURN_REGISTER_KIND}/${bucket.entry}.${slot}`
}

function isSameBucket (left: BurnBucket, right: BurnBucket): boolean {
  return left.entry === right.entry && left.start === right.start &&
    left.lengthMilliseconds === right.lengthMilliseconds && left.coveredMilliseconds === right.coveredMilliseconds
}

/**
 * Creates a store without buckets.
 *
 * @example
 * const store = createBurnBucketStore({ identity, versionOf: register => configuration.version(register) })
 * store.addOwnBuckets(recorder.takeClosed(now))
 * outbox.append(store.nextWrites(entries, now))
 */
export function createBurnBucketStore (options: BurnBucketStoreOptions): BurnBucketStore {
  const knownBuckets = new Map<string, BurnBucket>()
  const unwrittenBuckets = new Map<string, BurnBucket>()
  let currentHourStart: number | undefined

  function storeOwn (bucket: BurnBucket): void {
    const register = burnRegisterName(bucket)
    knownBuckets.set(register, bucket)
    unwrittenBuckets.set(register, bucket)
  }

  /** Merges the minute buckets of a finished hour into its hour bucket. */
  function storeHourBucket (hourStart: number): void {
    const minutes = [...knownBuckets.values()].filter(bucket => bucket.entry === options.identity &&
      bucket.lengthMilliseconds === MINUTE_MILLISECONDS && floorTo(bucket.start, HOUR_MILLISECONDS) === hourStart)
    const [first, ...others] = minutes
    if (first !== undefined) storeOwn(mergeBuckets([first, ...others], hourStart, HOUR_MILLISECONDS))
  }

  function createOwnWrites (): RegisterWrite[] {
    const writes: RegisterWrite[] = []
    for (const [register, value] of unwrittenBuckets) {
      if (writes.length === MAXIMUM_WRITES_PER_APPEND) break
      writes.push({ kind: 'write', register, replaces: options.versionOf(register), value })
    }
    return writes
  }

  function createRemovals (liveEntries: readonly EntryIdentity[], now: number, maximumCount: number): RegisterWrite[] {
    const removals: RegisterWrite[] = []
    if ([...liveEntries].sort()[0] !== options.identity) return removals
    for (const [register, bucket] of knownBuckets) {
      if (removals.length >= maximumCount) break
      const isExpired = bucket.start + bucket.lengthMilliseconds < now - DEPARTED_ENTRY_RETENTION_MILLISECONDS
      if (!isExpired || liveEntries.includes(bucket.entry)) continue
      removals.push({ kind: 'write', register, replaces: options.versionOf(register), value: null })
    }
    return removals
  }

  return {
    addOwnBuckets (buckets) {
      for (const bucket of buckets) {
        const bucketHourStart = floorTo(bucket.start, HOUR_MILLISECONDS)
        if (currentHourStart !== undefined && bucketHourStart !== currentHourStart) storeHourBucket(currentHourStart)
        currentHourStart = bucketHourStart
        storeOwn(bucket)
      }
    },
    applyRegister (register, value) {
      if (value === null) {
        knownBuckets.delete(register)
        return
      }
      const decoded = Schema.decodeUnknownResult(BurnBucket)(value)
      if (Result.isFailure(decoded)) return
      const bucket = decoded.success
      const pending = unwrittenBuckets.get(register)
      if (pending !== undefined && !isSameBucket(pending, bucket)) return
      unwrittenBuckets.delete(register)
      knownBuckets.set(register, bucket)
    },
    nextWrites (liveEntries, now) {
      const writes = createOwnWrites()
      return [...writes, ...createRemovals(liveEntries, now, MAXIMUM_WRITES_PER_APPEND - writes.length)]
    },
    buckets: () => [...knownBuckets.values()],
    unwrittenCount: () => unwrittenBuckets.size
  }
}
