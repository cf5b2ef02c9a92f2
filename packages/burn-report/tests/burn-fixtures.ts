import { createEntryIdentity, type EntryIdentity } from '@baobabpost/common'
import type { BurnBucket, BurnSeries, Objective } from '@baobabpost/messages'
import { HOUR_MILLISECONDS, MINUTE_MILLISECONDS } from '@baobabpost/burn-report'

export const NOON = Date.UTC(2026, 11, 1, 12)

export const LENDING: Objective = {
  name: 'lending-response',
  service: 'lending',
  customer: '*',
  indicator: 'response',
  boundMilliseconds: 1_000,
  target: 0.9
}

export const ENTRY = createEntryIdentity('entry-1')

export function burnSeries (good: number, bad: number): BurnSeries {
  const spenders = bad === 0 ? [] : [{ dimension: 'cause' as const, name: 'late', bad }]
  return { objective: LENDING.name, good, bad, spenders }
}

export function minuteBucket (start: number, good: number, bad: number, entry: EntryIdentity = ENTRY): BurnBucket {
  return {
    entry,
    entryStartedAt: NOON - 2 * HOUR_MILLISECONDS,
    start,
    lengthMilliseconds: MINUTE_MILLISECONDS,
    coveredMilliseconds: MINUTE_MILLISECONDS,
    series: [burnSeries(good, bad)]
  }
}

export function hourBucket (start: number, good: number, bad: number, entry: EntryIdentity = ENTRY): BurnBucket {
  const length = { lengthMilliseconds: HOUR_MILLISECONDS, coveredMilliseconds: HOUR_MILLISECONDS }
  return { ...minuteBucket(start, good, bad, entry), ...length }
}

/** Minutes up to noon: 10 good answers each, but 5 good and 5 bad in the last five. */
export function minutesBeforeNoon (count: number): BurnBucket[] {
  return Array.from({ length: count }, (_, place) => {
    const start = NOON - (place + 1) * MINUTE_MILLISECONDS
    return place < 5 ? minuteBucket(start, 5, 5) : minuteBucket(start, 10, 0)
  })
}
