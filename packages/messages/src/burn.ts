/** Summaries of answered requests against service-level objectives, as entries exchange them over the log. */
import { EntryIdentity, Name } from '@baobabpost/common'
import { Schema } from 'effect'
import { Milliseconds, NonNegativeInt } from './json.js'

/** What a bad answer is counted against besides its objective. */
export const BUDGET_CONSUMER_DIMENSIONS = ['cause', 'upstream', 'customer'] as const
export const BudgetConsumerDimension = Schema.Literals(BUDGET_CONSUMER_DIMENSIONS)
export type BudgetConsumerDimension = typeof BudgetConsumerDimension.Type

/** Bad answers that have one cause (an error kind, or `late`), one upstream or one customer. */
export const BudgetConsumer = Schema.Struct({ dimension: BudgetConsumerDimension, name: Schema.String, bad: NonNegativeInt })
export type BudgetConsumer = typeof BudgetConsumer.Type

/** Counts of one objective in one bucket. */
export const BurnSeries = Schema.Struct({
  objective: Name,
  good: NonNegativeInt,
  bad: NonNegativeInt,
  /** The largest spenders of each dimension; the rest is summed under the name `other`. */
  spenders: Schema.Array(BudgetConsumer),
  /** Response times in milliseconds: an HdrHistogram (V2) compressed and in base64; absent where there were none. */
  histogram: Schema.optionalKey(Schema.String)
})
export type BurnSeries = typeof BurnSeries.Type

/**
 * Value of register `burn/IDENTITY.SLOT`: what one entry answered in one minute or one hour.
 *
 * A bucket without series says that nothing was counted; a missing bucket says that nothing is known.
 */
export const BurnBucket = Schema.Struct({
  entry: EntryIdentity,
  /** Unix time at which the entry started. */
  entryStartedAt: Milliseconds,
  /** Unix time at which the entry stopped, where it did so as planned within this bucket. */
  entryStoppedAt: Schema.optionalKey(Milliseconds),
  /** Unix time of the beginning, a multiple of the length. */
  start: Milliseconds,
  lengthMilliseconds: Milliseconds,
  /** Part of the bucket during which the entry ran, in milliseconds. */
  coveredMilliseconds: Milliseconds,
  series: Schema.Array(BurnSeries)
})
export type BurnBucket = typeof BurnBucket.Type
