/** Order of the log lines of one job that several processes wrote. */
import type { LogEvent } from './log-events.js'

/** Time and event of a log line. */
export interface OrderedLogLine {
  /** Unix time in milliseconds. */
  readonly at: number
  readonly event: unknown
}

const FIRST_EVENT: LogEvent = 'job received'
const LAST_EVENT: LogEvent = 'job answered'

function rankOf (event: unknown): number {
  if (event === FIRST_EVENT) return 0
  return event === LAST_EVENT ? 2 : 1
}

/**
 * Compares two log lines of one job by time. Within one millisecond a job is received before anything else happens to
 * it, and its answer follows the completions that it rests on, whichever process wrote first. A stable sort keeps the
 * order of the other lines, in which each process wrote them.
 *
 * @returns a negative number if `left` comes first, a positive one if `right` does, 0 if neither is known to.
 * @example
 * steps.sort(compareLogLines)
 */
export function compareLogLines (left: OrderedLogLine, right: OrderedLogLine): number {
  return left.at - right.at || rankOf(left.event) - rankOf(right.event)
}
