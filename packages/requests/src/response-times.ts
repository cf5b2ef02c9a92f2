/** Observed response times of attempts by template, for the time after which a hedge is worth it. */

const BUCKETS_PER_DOUBLING = 4
const BUCKETS = 80
const DECAY = 0.99
const LEAST_OBSERVATIONS = 20
const HIGH_SHARE = 0.95

interface TemplateTimes {
  readonly buckets: Float64Array
  weight: number
  observations: number
}

/** Response times of templates. */
export interface ResponseTimes {
  observe: (template: string, milliseconds: number) => void
  /** Time that all but a few attempts of the template need, or undefined before enough were observed. */
  highMilliseconds: (template: string) => number | undefined
}

function bucketOf (milliseconds: number): number {
  const bucket = Math.ceil(Math.log2(Math.max(milliseconds, 1)) * BUCKETS_PER_DOUBLING)
  return Math.min(bucket, BUCKETS - 1)
}

/** Makes a record without observations. */
export function createResponseTimes (): ResponseTimes {
  const templates = new Map<string, TemplateTimes>()

  return {
    observe: (template, milliseconds) => {
      let times = templates.get(template)
      if (times === undefined) {
        times = { buckets: new Float64Array(BUCKETS), weight: 1, observations: 0 }
        templates.set(template, times)
      }
      // A growing weight of new observations is the decay of the old ones without touching each bucket.
      times.weight /= DECAY
      times.buckets[bucketOf(milliseconds)]! += times.weight
      times.observations += 1
      if (times.weight < 1e100) return
      for (let bucket = 0; bucket < BUCKETS; bucket += 1) times.buckets[bucket]! /= times.weight
      times.weight = 1
    },
    highMilliseconds: template => {
      const times = templates.get(template)
      if (times === undefined || times.observations < LEAST_OBSERVATIONS) return undefined
      const total = times.buckets.reduce((sum, count) => sum + count, 0)
      let sum = 0
      for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
        sum += times.buckets[bucket]!
        if (sum >= total * HIGH_SHARE) return 2 ** (bucket / BUCKETS_PER_DOUBLING)
      }
      return undefined
    }
  }
}
