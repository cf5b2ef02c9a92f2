/** Counts of good and bad answers against service-level objectives, which entries exchange over the log. */
import { EntryIdentity, Name } from '@baobabpost/common'
import { Schema } from 'effect'
import { Milliseconds, NonNegativeInt } from './json.js'

/** Dimensions by which bad answers, which consume the error budget, are broken down. */
export const BUDGET_CONSUMER_DIMENSIONS = ['cause', 'upstream', 'customer'] as const
export const BudgetConsumerDimension = Schema.Literals(BUDGET_CONSUMER_DIMENSIONS)
export type BudgetConsumerDimension = typeof BudgetConsumerDimension.Type

/** Number of bad answers with one cause (an error kind, or `late`), from one upstream, or to one customer. */
export const BudgetConsumer = Schema.Struct({
  dimension: BudgetConsumerDimension,
  name: Schema.String,
  bad: NonNegativeInt
})
export type BudgetConsumer = typeof BudgetConsumer.Type

/** Counts of good and bad answers for one objective in one bucket. */
export const BurnSeries = Schema.Struct({
  objective: Name,
  good: NonNegativeInt,
  bad: NonNegativeInt,
  /** The largest consumers of the error budget in each dimension; the rest is summed under the name `other`. */
  spenders: Schema.Array(BudgetConsumer),
  /** Response times in milliseconds: a compressed HdrHistogram (V2) in base64; absent if there were none. */
  histogram: Schema.optionalKey(Schema.String)
})
export type BurnSeries = typeof BurnSeries.Type

/**
 * Value of register `burn/IDENTITY.SLOT`: what one entry answered in one minute or one hour.
 *
 * A bucket without series means that the entry counted no answers; a missing bucket means that the counts are unknown.
 */
export const BurnBucket = Schema.Struct({
  entry: EntryIdentity,
  /** Unix time at which the entry started. */
  entryStartedAt: Milliseconds,
  /** Unix time at which the entry stopped; only if it shut down gracefully within this bucket. */
  entryStoppedAt: Schema.optionalKey(Milliseconds),
  /** Unix time at which the bucket starts; a multiple of its length. */
  start: Milliseconds,
  lengthMilliseconds: Milliseconds,
  /** Part of the bucket during which the entry ran, in milliseconds. */
  coveredMilliseconds: Milliseconds,
  series: Schema.Array(BurnSeries)
})
export type BurnBucket = typeof BurnBucket.Type
