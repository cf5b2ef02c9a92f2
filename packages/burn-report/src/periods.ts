/** Lengths of the buckets and of the period that an error budget covers. */

export const MINUTE_MILLISECONDS = 60_000
export const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS

/** Rolling period that an error budget covers; also the longest window of the report. */
export const BUDGET_PERIOD_HOURS = 72
export const BUDGET_PERIOD_MILLISECONDS = BUDGET_PERIOD_HOURS * HOUR_MILLISECONDS

/** Time that a closed bucket may take to reach all entries; a report leaves out minutes that ended more recently. */
export const ARRIVAL_GRACE_MILLISECONDS = 15_000

/** Rounds a time down to a multiple of the given length. */
export function floorTo (time: number, lengthMilliseconds: number): number {
  return Math.floor(time / lengthMilliseconds) * lengthMilliseconds
}
