/** The records of the stand-in: offsets from 1, dropped by age and count. */

/** A record as it is kept. */
export interface StoredRecord {
  readonly offset: number
  readonly data: string
  /** When it was appended, Unix milliseconds. */
  readonly appendedAt: number
}

/** What a read gives. */
export interface ReadResult {
  /** Oldest offset that is kept; the next offset where nothing is kept. */
  readonly first: number
  /** Offset of the next append. */
  readonly next: number
  readonly records: readonly StoredRecord[]
}

/** How long records are kept. */
export interface Retention {
  readonly maximumAgeMilliseconds: number
  readonly maximumRecords: number
}

/** The records of one log. */
export interface LogStore {
  /** Appends and gives the offset. */
  append: (data: string, now: number) => number
  /** Reads at most `limit` records from the offset, or from the oldest that is kept. */
  read: (from: number, limit: number, now: number) => ReadResult
  /** Drops all records below the offset. */
  truncate: (first: number) => void
}

/**
 * Makes an empty log.
 *
 * @example
 * const store = createLogStore({ maximumAgeMilliseconds: 3_600_000, maximumRecords: 100_000 })
 * store.append('{}', Date.now()) // 1
 */
export function createLogStore (retention: Retention): LogStore {
  let records: StoredRecord[] = []
  let first = 1

  function truncate (upTo: number): void {
    const dropped = Math.min(Math.max(upTo - first, 0), records.length)
    if (dropped === 0) return
    records = records.slice(dropped)
    first += dropped
  }

  function expire (now: number): void {
    const oldest = now - retention.maximumAgeMilliseconds
    const young = records.findIndex(record => record.appendedAt >= oldest)
    truncate(young === -1 ? first + records.length : first + young)
    truncate(first + records.length - retention.maximumRecords)
  }

  return {
    append (data, now) {
      expire(now)
      const offset = first + records.length
      records.push({ offset, data, appendedAt: now })
      return offset
    },
    read (from, limit, now) {
      expire(now)
      const start = Math.max(from - first, 0)
      return { first, next: first + records.length, records: records.slice(start, start + limit) }
    },
    truncate
  }
}
