/** Tells for which share of a span buckets are known, so that a gap shows as a gap. */
import type { EntryIdentity } from '@baobabpost/common'
import type { BurnBucket } from '@baobabpost/messages'
import { MINUTE_MILLISECONDS } from './periods.js'

/** Time during which buckets are expected from one entry. */
interface Presence {
  from: number
  until: number
}

/** Share of spans that is covered by buckets. */
export interface CoverageCalculator {
  /** Share from 0 to 1 of the span from `start` to `end`, given the buckets that count in it. */
  share: (start: number, end: number, buckets: readonly BurnBucket[]) => number
}

/** Time until which an entry was there by its bucket: its planned stop, or somewhere in the minute after the bucket. */
function expectedEnd (bucket: BurnBucket): number {
  return bucket.entryStoppedAt ?? bucket.start + bucket.lengthMilliseconds + MINUTE_MILLISECONDS
}

function findPresences (
  buckets: readonly BurnBucket[], present: readonly EntryIdentity[], end: number
): Map<EntryIdentity, Presence> {
  const presences = new Map<EntryIdentity, Presence>()
  for (const bucket of buckets) {
    const presence = presences.get(bucket.entry)
    const until = Math.min(expectedEnd(bucket), end)
    if (presence === undefined) {
      presences.set(bucket.entry, { from: bucket.entryStartedAt, until })
      continue
    }
    presence.until = Math.max(presence.until, until)
  }
  for (const entry of present) {
    const presence = presences.get(entry)
    if (presence !== undefined) presence.until = end
  }
  return presences
}

/** Length of the part of a span in which at least one entry was present. */
function peopledMilliseconds (presences: Iterable<Presence>, start: number, end: number): number {
  const sorted = [...presences].sort((left, right) => left.from - right.from)
  let reached = start
  let total = 0
  for (const { from, until } of sorted) {
    const begin = Math.max(from, reached)
    const stop = Math.min(until, end)
    if (stop <= begin) continue
    total += stop - begin
    reached = stop
  }
  return total
}

/**
 * Makes the judge of coverage for one report.
 *
 * Of each entry, buckets are expected from its start until now if it is present, and else until its planned stop or a
 * minute after its last bucket. A time in which no entry was present is not covered.
 *
 * @example
 * createCoverage(buckets, presentEntries, end).share(end - 300_000, end, bucketsOfTheSpan) // 0.8
 */
export function createCoverageCalculator (
  buckets: readonly BurnBucket[], present: readonly EntryIdentity[], end: number
): CoverageCalculator {
  const presences = findPresences(buckets, present, end)
  return {
    share (spanStart, spanEnd, counted) {
      let expected = 0
      for (const { from, until } of presences.values()) {
        expected += Math.max(0, Math.min(until, spanEnd) - Math.max(from, spanStart))
      }
      if (expected === 0 || spanEnd <= spanStart) return 0
      let covered = 0
      for (const bucket of counted) covered += bucket.coveredMilliseconds
      const peopled = peopledMilliseconds(presences.values(), spanStart, spanEnd) / (spanEnd - spanStart)
      return Math.min(1, covered / expected) * peopled
    }
  }
}
