/**
 * The buckets of all entries, exchanged through registers of the platform's log.
 *
 * Each entry writes its own registers `burn/IDENTITY.SLOT` and nobody else's, so that writes never race. Slots are
 * used in turn: 120 for minutes and 73 for hours. An hour is written once its minutes are over; minutes are written
 * over only an hour after that. What the log has not taken yet stays in memory and is written later.
 */
import type { EntryIdentity } from '@baobabpost/common'
import { BurnBucket, type RegisterWrite } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import { mergeBuckets } from './merge-buckets.js'
import { BUDGET_PERIOD_HOURS, BUDGET_PERIOD_MILLISECONDS, floorTo, HOUR_MILLISECONDS, MINUTE_MILLISECONDS } from './periods.js'

/** Kind of the registers, the part of their names before the slash. */
export const BURN_REGISTER_KIND = 'burn'

const MINUTE_SLOTS = 120
const HOUR_SLOTS = BUDGET_PERIOD_HOURS + 1
const REMOVAL_AGE_MILLISECONDS = BUDGET_PERIOD_MILLISECONDS + 2 * HOUR_MILLISECONDS
const MAXIMUM_CHANGES_PER_APPEND = 16

/** Settings of a stream. */
export interface BurnBucketStoreOptions {
  readonly identity: EntryIdentity
  /** Version of a register as applied here, 0 if it was never written. */
  readonly versionOf: (register: string) => number
}

/** The buckets that one entry knows. */
export interface BurnBucketStore {
  /** Takes in buckets that this entry's recorder closed. */
  addOwnBuckets: (buckets: readonly BurnBucket[]) => void
  /** Takes in a `burn/` register that was applied, or removed with `null`; values that do not decode are left out. */
  applyRegister: (register: string, value: unknown) => void
  /**
   * Gives the writes for one append; call it once a minute, and again for what was not applied.
   *
   * @param present - Entries that are registered now. The first by name removes what departed ones left behind.
   */
  nextWrites: (present: readonly EntryIdentity[], now: number) => readonly RegisterWrite[]
  /** All buckets that are known, this entry's unwritten ones among them. */
  buckets: () => readonly BurnBucket[]
  /** Number of own buckets that are not known to be on the log. */
  unwritten: () => number
}

/**
 * Writes the name of the register of a bucket.
 *
 * @example
 * burnRegister({ entry: 'entry-1@0193…', start: 0, lengthMilliseconds: 60_000, … }) // 'burn/entry-1@0193….m0'
 */
export function burnRegisterName (bucket: BurnBucket): string {
  const place = bucket.start / bucket.lengthMilliseconds
  const slot = bucket.lengthMilliseconds === HOUR_MILLISECONDS ? `h${place % HOUR_SLOTS}` : `m${place % MINUTE_SLOTS}`
  return `${BURN_REGISTER_KIND}/${bucket.entry}.${slot}`
}

function isSameBucket (left: BurnBucket, right: BurnBucket): boolean {
  return left.entry === right.entry && left.start === right.start &&
    left.lengthMilliseconds === right.lengthMilliseconds && left.coveredMilliseconds === right.coveredMilliseconds
}

/**
 * Makes a stream.
 *
 * @example
 * const stream = createBurnStream({ identity, versionOf: register => configuration.version(register) })
 * stream.addOwn(recorder.takeClosed(now))
 * outbox.append(stream.changes(entries, now))
 */
export function createBurnBucketStore (options: BurnBucketStoreOptions): BurnBucketStore {
  const known = new Map<string, BurnBucket>()
  const unwritten = new Map<string, BurnBucket>()
  let hourStart: number | undefined

  function keepOwn (bucket: BurnBucket): void {
    const register = burnRegisterName(bucket)
    known.set(register, bucket)
    unwritten.set(register, bucket)
  }

  /** Sums the minutes of an hour that is over. */
  function closeHour (start: number): void {
    const minutes = [...known.values()].filter(bucket => bucket.entry === options.identity &&
      bucket.lengthMilliseconds === MINUTE_MILLISECONDS && floorTo(bucket.start, HOUR_MILLISECONDS) === start)
    const [first, ...others] = minutes
    if (first !== undefined) keepOwn(mergeBuckets([first, ...others], start, HOUR_MILLISECONDS))
  }

  function writeOwn (): RegisterWrite[] {
    const writes: RegisterWrite[] = []
    for (const [register, value] of unwritten) {
      if (writes.length === MAXIMUM_CHANGES_PER_APPEND) break
      writes.push({ kind: 'write', register, replaces: options.versionOf(register), value })
    }
    return writes
  }

  function removeDeparted (present: readonly EntryIdentity[], now: number, room: number): RegisterWrite[] {
    const removals: RegisterWrite[] = []
    if ([...present].sort()[0] !== options.identity) return removals
    for (const [register, bucket] of known) {
      if (removals.length >= room) break
      const isOld = bucket.start + bucket.lengthMilliseconds < now - REMOVAL_AGE_MILLISECONDS
      if (!isOld || present.includes(bucket.entry)) continue
      removals.push({ kind: 'write', register, replaces: options.versionOf(register), value: null })
    }
    return removals
  }

  return {
    addOwnBuckets (buckets) {
      for (const bucket of buckets) {
        const hour = floorTo(bucket.start, HOUR_MILLISECONDS)
        if (hourStart !== undefined && hour !== hourStart) closeHour(hourStart)
        hourStart = hour
        keepOwn(bucket)
      }
    },
    applyRegister (register, value) {
      if (value === null) {
        known.delete(register)
        return
      }
      const decoded = Schema.decodeUnknownResult(BurnBucket)(value)
      if (Result.isFailure(decoded)) return
      const bucket = decoded.success
      const waiting = unwritten.get(register)
      if (waiting !== undefined && !isSameBucket(waiting, bucket)) return
      unwritten.delete(register)
      known.set(register, bucket)
    },
    nextWrites (present, now) {
      const writes = writeOwn()
      return [...writes, ...removeDeparted(present, now, MAXIMUM_CHANGES_PER_APPEND - writes.length)]
    },
    buckets: () => [...known.values()],
    unwritten: () => unwritten.size
  }
}
