/** Tells which clients were refused or closed, in a bounded volume. */
import type { LogFields } from '@baobabpost/common'

/** Shortest time between two lines for one server and reason. */
const REPORT_INTERVAL_MILLISECONDS = 1_000

/** Closings for one reason since the last line. */
interface ClosingClass {
  count: number
  largest: number
  reportedAt: number
}

export interface ClosingReport {
  /** Counts a closing. */
  add: (reason: string, heldBytes: number, now: number) => void
  /** Writes the lines that are due. */
  flush: (now: number) => void
}

/**
 * Creates a report for one server; each line tells the closings since the last one for the same reason.
 *
 * @example
 * const report = createClosingReport('callers', fields => { logger.warn('clients closed', fields) })
 * report.add('bytes', 262_144, performance.now())
 */
export function createClosingReport (server: string, write: (fields: LogFields) => void): ClosingReport {
  const classes = new Map<string, ClosingClass>()

  function writeIfDue (reason: string, known: ClosingClass, now: number): void {
    if (known.count === 0 || now - known.reportedAt < REPORT_INTERVAL_MILLISECONDS) return
    write({ server, reason, clients: known.count, largest: known.largest })
    Object.assign(known, { count: 0, largest: 0, reportedAt: now })
  }

  return {
    add: (reason, heldBytes, now) => {
      const known = classes.get(reason) ?? { count: 0, largest: 0, reportedAt: -Infinity }
      classes.set(reason, known)
      known.count += 1
      known.largest = Math.max(known.largest, heldBytes)
      writeIfDue(reason, known, now)
    },
    flush: now => { for (const [reason, known] of classes) writeIfDue(reason, known, now) }
  }
}
