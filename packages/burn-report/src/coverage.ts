/** Computes for which share of a time span buckets are known, so that missing data is not reported as zero. */
import type { EntryIdentity } from '@baobabpost/common'
import type { BurnBucket } from '@baobabpost/messages'
import { MINUTE_MILLISECONDS } from './periods.js'

/** Interval of Unix time, in milliseconds, in which buckets are expected from one entry. */
interface PresenceInterval {
  from: number
  until: number
}

export interface CoverageCalculator {
  /** Returns the covered share, from 0 to 1, of the span from `start` to `end`; `buckets` are those within it. */
  share: (start: number, end: number, buckets: readonly BurnBucket[]) => number
}

/** Time until which buckets are expected, given one bucket: the graceful shutdown, or a minute after the bucket. */
function expectedUntil (bucket: BurnBucket): number {
  return bucket.entryStoppedAt ?? bucket.start + bucket.lengthMilliseconds + MINUTE_MILLISECONDS
}

function findPresenceIntervals (
  buckets: readonly BurnBucket[], liveEntries: readonly EntryIdentity[], end: number
): Map<EntryIdentity, PresenceInterval> {
  const presences = new Map<EntryIdentity, PresenceInterval>()
  for (const bucket of buckets) {
    const presence = presences.get(bucket.entry)
    const until = Math.min(expectedUntil(bucket), end)
    if (presence === undefined) {
      presences.set(bucket.entry, { from: bucket.entryStartedAt, until })
      continue
    }
    presence.until = Math.max(presence.until, until)
  }
  for (const entry of liveEntries) {
    const presence = presences.get(entry)
    if (presence !== undefined) presence.until = end
  }
  return presences
}

/** Returns for how long at least one entry was present within a span. */
function anyEntryPresentMilliseconds (presences: Iterable<PresenceInterval>, start: number, end: number): number {
  const sorted = [...presences].sort((left, right) => left.from - right.from)
  let countedUntil = start
  let total = 0
  for (const { from, until } of sorted) {
    const begin = Math.max(from, countedUntil)
    const stop = Math.min(until, end)
    if (stop <= begin) continue
    total += stop - begin
    countedUntil = stop
  }
  return total
}

/**
 * Creates the coverage calculator of one report.
 *
 * Buckets of an entry are expected from its start until `end` if it is registered now, and otherwise until its graceful
 * shutdown or a minute after its last bucket. Time in which no entry was present is not covered.
 *
 * @example
 * createCoverageCalculator(buckets, liveEntries, end).share(end - 300_000, end, spanBuckets) // 0.8
 */
export function createCoverageCalculator (
  buckets: readonly BurnBucket[], liveEntries: readonly EntryIdentity[], end: number
): CoverageCalculator {
  const presences = findPresenceIntervals(buckets, liveEntries, end)
  return {
    share (spanStart, spanEnd, spanBuckets) {
      let expected = 0
      for (const { from, until } of presences.values()) {
        expected += Math.max(0, Math.min(until, spanEnd) - Math.max(from, spanStart))
      }
      if (expected === 0 || spanEnd <= spanStart) return 0
      let covered = 0
      for (const bucket of spanBuckets) covered += bucket.coveredMilliseconds
      const presentShare = anyEntryPresentMilliseconds(presences.values(), spanStart, spanEnd) / (spanEnd - spanStart)
      return Math.min(1, covered / expected) * presentShare
    }
  }
}
