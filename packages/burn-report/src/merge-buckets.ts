/** Sums buckets of one entry into a longer one. */
import type { BurnBucket, BurnSeries } from '@baobabpost/messages'
import { encodeHistogram, mergeHistograms } from './response-histogram.js'
import { createBudgetConsumerCounts } from './budget-consumer-counts.js'

/** Sums the series of one objective. */
export function mergeSeries (objective: string, parts: readonly BurnSeries[]): BurnSeries {
  const spenders = createBudgetConsumerCounts()
  let good = 0
  let bad = 0
  for (const part of parts) {
    good += part.good
    bad += part.bad
    for (const spender of part.spenders) spenders.add(spender.dimension, spender.name, spender.bad)
  }
  const histogram = encodeHistogram(mergeHistograms(parts.flatMap(part => part.histogram ?? [])))
  const counts = { objective, good, bad, spenders: spenders.largest() }
  return histogram === undefined ? counts : { ...counts, histogram }
}

/** Groups the series of buckets by objective. */
export function seriesByObjective (buckets: readonly BurnBucket[]): Map<string, BurnSeries[]> {
  const groups = new Map<string, BurnSeries[]>()
  for (const bucket of buckets) {
    for (const series of bucket.series) {
      const group = groups.get(series.objective)
      if (group === undefined) groups.set(series.objective, [series])
      else group.push(series)
    }
  }
  return groups
}

/**
 * Sums buckets of one entry that lie within a longer span.
 *
 * @example
 * mergeBuckets(minutesOfAnHour, hourStart, HOUR_MILLISECONDS)
 */
export function mergeBuckets (
  buckets: readonly [BurnBucket, ...BurnBucket[]], start: number, lengthMilliseconds: number
): BurnBucket {
  let coveredMilliseconds = 0
  for (const bucket of buckets) coveredMilliseconds += bucket.coveredMilliseconds
  const series = [...seriesByObjective(buckets)].map(([objective, parts]) => mergeSeries(objective, parts))
  const { entry, entryStartedAt } = buckets[0]
  const stop = buckets.find(bucket => bucket.entryStoppedAt !== undefined)?.entryStoppedAt
  const stopped = stop === undefined ? {} : { entryStoppedAt: stop }
  return { entry, entryStartedAt, ...stopped, start, lengthMilliseconds, coveredMilliseconds, series }
}
