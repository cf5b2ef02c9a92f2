/** Times as the command line writes them. */

/** Writes a Unix time in milliseconds in UTC, to the millisecond. */
export function formatInstant (time: number): string {
  return new Date(time).toISOString().replace('T', ' ').replace('Z', '')
}

/** Writes how long ago a time was, in its largest whole unit. */
export function formatAge (time: number, now: number): string {
  const seconds = Math.max(0, Math.round((now - time) / 1_000))
  if (seconds < 120) return `${seconds} s`
  if (seconds < 7_200) return `${Math.round(seconds / 60)} min`
  return `${Math.round(seconds / 3_600)} h`
}
