/** A log in memory, read by the probes in the form in which a client of the platform's log hands over batches. */
import type { LogEntry, LogRecord } from '@baobabpost/messages'
import { createNonce, type LogBatch } from '@baobabpost/platform-log'

/** A log whose records stay for good. */
export interface MemoryLog {
  /** Appends a record and gives its nonce. */
  append: (author: string, changes: LogRecord['changes'], now: number) => string
  /** Everything from an offset to the end. */
  read: (from: number, now: number) => LogBatch
  /** Offset of the last record. */
  end: () => number
}

/** Makes an empty log. */
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
    end: () => entries.length
  }
}
