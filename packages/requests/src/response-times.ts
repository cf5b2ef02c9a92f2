/** Observed response times of attempts by template, from which the delay before a hedge is computed. */

const BUCKETS_PER_DOUBLING = 4
const BUCKET_COUNT = 80
const DECAY = 0.99
const MINIMUM_OBSERVATIONS = 20
const HEDGE_QUANTILE = 0.95

interface TemplateHistogram {
  readonly buckets: Float64Array
  observationWeight: number
  observations: number
}

export interface ResponseTimes {
  observe: (template: string, milliseconds: number) => void
  /** 95th percentile of the response times of the template, or undefined before enough were observed. */
  hedgeDelayMilliseconds: (template: string) => number | undefined
}

function bucketOf (milliseconds: number): number {
  const bucket = Math.ceil(Math.log2(Math.max(milliseconds, 1)) * BUCKETS_PER_DOUBLING)
  return Math.min(bucket, BUCKET_COUNT - 1)
}

export function createResponseTimes (): ResponseTimes {
  const templates = new Map<string, TemplateHistogram>()

  return {
    observe: (template, milliseconds) => {
      let histogram = templates.get(template)
      if (histogram === undefined) {
        histogram = { buckets: new Float64Array(BUCKET_COUNT), observationWeight: 1, observations: 0 }
        templates.set(template, histogram)
      }
      // Increasing the weight of new observations decays the old ones without an update of every bucket.
      histogram.observationWeight /= DECAY
      histogram.buckets[bucketOf(milliseconds)]! += histogram.observationWeight
      histogram.observations += 1
      if (histogram.observationWeight < 1e100) return
      for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) histogram.buckets[bucket]! /= histogram.observationWeight
      histogram.observationWeight = 1
    },
    hedgeDelayMilliseconds: template => {
      const histogram = templates.get(template)
      if (histogram === undefined || histogram.observations < MINIMUM_OBSERVATIONS) return undefined
      const totalWeight = histogram.buckets.reduce((sum, count) => sum + count, 0)
      let weightSum = 0
      for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
        weightSum += histogram.buckets[bucket]!
        if (weightSum >= totalWeight * HEDGE_QUANTILE) return 2 ** (bucket / BUCKETS_PER_DOUBLING)
      }
      return undefined
    }
  }
}
