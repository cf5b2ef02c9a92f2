/** Lengths of buckets, windows and of the period that an error budget is for. */

export const MINUTE_MILLISECONDS = 60_000
export const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS

/** Hours over which an error budget is spent and renewed: the longest window of the report. */
export const BUDGET_PERIOD_HOURS = 72
export const BUDGET_PERIOD_MILLISECONDS = BUDGET_PERIOD_HOURS * HOUR_MILLISECONDS

/** Time that a closed bucket may take to become known everywhere; younger minutes are left out of a report. */
export const ARRIVAL_GRACE_MILLISECONDS = 15_000

/** Beginning of the span of the given length that holds a time. */
export function floorTo (time: number, lengthMilliseconds: number): number {
  return Math.floor(time / lengthMilliseconds) * lengthMilliseconds
}
