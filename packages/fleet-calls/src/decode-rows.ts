/** Decodes lists whose rows stand for themselves: a row that does not decode is skipped, and the others hold. */
import type { EventLogger } from '@baobabpost/common'
import { Result, Schema } from 'effect'

/** Least time between two lines on skipped rows of one list. */
const LOG_INTERVAL_MILLISECONDS = 1_000
/** Length of the excerpt of a skipped row in the log. */
const EXCERPT_CHARACTERS = 120

/** Returns the beginning of a row as JSON. A row may be nested deeper than the stack allows to format. */
function excerptOf (row: unknown): string {
  try {
    return (JSON.stringify(row) ?? 'undefined').slice(0, EXCERPT_CHARACTERS)
  } catch (failure) {
    return String(failure).slice(0, EXCERPT_CHARACTERS)
  }
}

/** Reports rows that were skipped. */
export type SkippedRows = (rows: readonly unknown[]) => void

/**
 * Creates the log of one list: at most one line a second, with the number of rows that were skipped since the last.
 *
 * @param list - Name of the list, such as `running`.
 * @param now - Steady clock in milliseconds.
 * @example
 * const logSkipped = createSkippedRowsLog('members', logger, now)
 */
export function createSkippedRowsLog (list: string, logger: EventLogger, now: () => number): SkippedRows {
  let loggedAt = -Infinity
  let count = 0
  return rows => {
    count += rows.length
    if (now() - loggedAt < LOG_INTERVAL_MILLISECONDS) return
    loggedAt = now()
    logger.warn('entries skipped: they do not decode', { list, skipped: count, first: excerptOf(rows[0]) })
    count = 0
  }
}

/**
 * Creates a decoder of lists. A list without a row to skip takes one pass.
 *
 * @example
 * const decodeMembers = createRowsDecoder(Member)
 * decodeMembers([{ name: 'front-1', role: 'entry', address: '10.1.0.13:99999' }], logSkipped) // []
 */
export function createRowsDecoder<Row> (
  schema: Schema.Codec<Row, unknown>
): (rows: readonly unknown[], onSkipped: SkippedRows) => readonly Row[] {
  const decodeAll = Schema.decodeUnknownResult(Schema.Array(schema))
  const decodeRow = Schema.decodeUnknownResult(schema)
  return (rows, onSkipped) => {
    const decoded = decodeAll(rows)
    if (Result.isSuccess(decoded)) return decoded.success
    const readable: Row[] = []
    const skipped: unknown[] = []
    for (const row of rows) {
      const decodedRow = decodeRow(row)
      if (Result.isSuccess(decodedRow)) readable.push(decodedRow.success)
      else skipped.push(row)
    }
    onSkipped(skipped)
    return readable
  }
}
