/** Demand of the routes of each service at this entry, as a decaying sum of their estimated work. */
import type { JobRequest } from './job.js'

/** Jobs of a service before which the demand of an entry that has just started tells nothing. */
const MINIMUM_JOBS = 20
/** Time in which a job's weight falls to 1/e, in milliseconds. */
const DECAY_MILLISECONDS = 5_000

interface DecayingSum {
  value: number
  at: number
}

/** Recent demand of routes. Times are on the entry's steady clock, in milliseconds. */
export interface RouteDemand {
  record: (request: JobRequest, now: number) => void
  /** Returns a route's share of the recent demand on a service, 0 to 1; 0 if it had none, or too little is known. */
  shareOf: (service: string, route: string, now: number) => number
}

/**
 * Creates a record without any demand.
 *
 * @example
 * demand.record(request, now)
 * demand.shareOf('desk', 'lookup', now) // 0.4
 */
export function createRouteDemand (): RouteDemand {
  const sumsByService = new Map<string, Map<string, DecayingSum>>()
  const jobCounts = new Map<string, number>()

  function valueAt ({ value, at }: DecayingSum, now: number): number {
    return value * Math.exp((at - now) / DECAY_MILLISECONDS)
  }

  return {
    record: ({ service, route, steps }, now) => {
      jobCounts.set(service, (jobCounts.get(service) ?? 0) + 1)
      let work = 0
      for (const { taskCount, size, estimateMilliseconds } of steps) {
        work += taskCount * size.processor * estimateMilliseconds
      }
      const sums = sumsByService.get(service) ?? new Map<string, DecayingSum>()
      sumsByService.set(service, sums)
      const sum = sums.get(route) ?? { value: 0, at: now }
      sums.set(route, { value: valueAt(sum, now) + work, at: now })
    },
    shareOf: (service, route, now) => {
      if ((jobCounts.get(service) ?? 0) < MINIMUM_JOBS) return 0
      let total = 0
      for (const sum of sumsByService.get(service)?.values() ?? []) total += valueAt(sum, now)
      const own = sumsByService.get(service)?.get(route)
      return own === undefined || total <= 0 ? 0 : valueAt(own, now) / total
    }
  }
}
