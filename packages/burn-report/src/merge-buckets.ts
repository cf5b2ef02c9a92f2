/** Merges buckets of one entry into a longer bucket. */
import type { BurnBucket, BurnSeries } from '@baobabpost/messages'
import { encodeHistogram, mergeHistograms } from './response-histogram.js'
import { createBudgetConsumerCounts } from './budget-consumer-counts.js'

/** Merges several series of one objective into one. */
export function mergeSeries (objective: string, parts: readonly BurnSeries[]): BurnSeries {
  const budgetConsumers = createBudgetConsumerCounts()
  let good = 0
  let bad = 0
  for (const part of parts) {
    good += part.good
    bad += part.bad
    for (const consumer of part.spenders) budgetConsumers.add(consumer.dimension, consumer.name, consumer.bad)
  }
  const histogram = encodeHistogram(mergeHistograms(parts.flatMap(part => part.histogram ?? [])))
  const counts = { objective, good, bad, spenders: budgetConsumers.largest() }
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
 * Merges buckets of one entry into one bucket that begins at `start` and has the given length.
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
  const stoppedAt = buckets.find(bucket => bucket.entryStoppedAt !== undefined)?.entryStoppedAt
  const stoppedAtField = stoppedAt === undefined ? {} : { entryStoppedAt: stoppedAt }
  return { entry, entryStartedAt, ...stoppedAtField, start, lengthMilliseconds, coveredMilliseconds, series }
}
