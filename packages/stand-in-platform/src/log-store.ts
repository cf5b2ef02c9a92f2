/** In-memory record store of the stand-in: offsets start at 1, and records are dropped by age and by count. */

export interface StoredRecord {
  readonly offset: number
  readonly data: string
  /** Append time in Unix milliseconds. */
  readonly appendedAt: number
}

/** Result of a read. */
export interface ReadResult {
  /** Offset of the oldest retained record; equal to `next` if no record is retained. */
  readonly first: number
  /** Offset of the next append. */
  readonly next: number
  readonly records: readonly StoredRecord[]
}

/** Limits beyond which the oldest records are dropped. */
export interface Retention {
  readonly maximumAgeMilliseconds: number
  readonly maximumRecords: number
}

export interface LogStore {
  /** Appends a record and returns its offset. */
  append: (data: string, now: number) => number
  /** Reads at most `limit` records, starting at `from` or at the oldest retained record if that is later. */
  read: (from: number, limit: number, now: number) => ReadResult
  /** Drops all records below offset `first`. */
  truncate: (first: number) => void
}

/**
 * Creates an empty log.
 *
 * @example
 * const store = createLogStore({ maximumAgeMilliseconds: 3_600_000, maximumRecords: 100_000 })
 * store.append('{}', Date.now()) // 1
 */
export function createLogStore (retention: Retention): LogStore {
  let records: StoredRecord[] = []
  let firstOffset = 1

  function truncate (newFirstOffset: number): void {
    const dropped = Math.min(Math.max(newFirstOffset - firstOffset, 0), records.length)
    if (dropped === 0) return
    records = records.slice(dropped)
    firstOffset += dropped
  }

  function expire (now: number): void {
    const retainedSince = now - retention.maximumAgeMilliseconds
    const firstKeptIndex = records.findIndex(record => record.appendedAt >= retainedSince)
    truncate(firstKeptIndex === -1 ? firstOffset + records.length : firstOffset + firstKeptIndex)
    truncate(firstOffset + records.length - retention.maximumRecords)
  }

  return {
    append (data, now) {
      expire(now)
      const offset = firstOffset + records.length
      records.push({ offset, data, appendedAt: now })
      return offset
    },
    read (from, limit, now) {
      expire(now)
      const start = Math.max(from - firstOffset, 0)
      return { first: firstOffset, next: firstOffset + records.length, records: records.slice(start, start + limit) }
    },
    truncate
  }
}
