/** Formats times for the output of the command line. */

/** Formats a Unix time in milliseconds as UTC, to the millisecond. */
export function formatInstant (time: number): string {
  return new Date(time).toISOString().replace('T', ' ').replace('Z', '')
}

/** Formats the time from `time` to `now`, both Unix milliseconds, in seconds, minutes or hours. */
export function formatAge (time: number, now: number): string {
  const seconds = Math.max(0, Math.round((now - time) / 1_000))
  if (seconds < 120) return `${seconds} s`
  if (seconds < 7_200) return `${Math.round(seconds / 60)} min`
  return `${Math.round(seconds / 3_600)} h`
}
