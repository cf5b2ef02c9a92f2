/** An in-memory log that returns records in the batch format of the platform log client. */
import type { LogEntry, LogRecord } from '@baobabpost/messages'
import { createNonce, type LogBatch } from '@baobabpost/platform-log'

/** A log that keeps all records. */
export interface MemoryLog {
  /** Appends a record and returns its nonce. */
  append: (author: string, changes: LogRecord['changes'], now: number) => string
  /** Returns all records from an offset to the end of the log. */
  read: (from: number, now: number) => LogBatch
  /** Returns the offset of the last record, or 0 if the log is empty. */
  lastOffset: () => number
}

/** Creates an empty log. */
export function createMemoryLog (): MemoryLog {
  const entries: LogEntry[] = []
  return {
    append (author, changes, now) {
      const nonce = createNonce(now)
      entries.push({ offset: entries.length + 1, record: { author, nonce, changes } })
      return nonce
    },
    read: (from, now) => ({
      entries: entries.slice(Math.max(0, from - 1)),
      firstOffset: 1,
      nextOffset: entries.length + 1,
      readStartedAt: now,
      hasReachedEnd: true
    }),
    lastOffset: () => entries.length
  }
}
