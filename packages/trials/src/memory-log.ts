/** In-memory log with the faults of the platform's log: outages, slowness and lost acknowledgements. */
import type { LogEntry, LogRecord } from '@baobabpost/messages'
import type { LogBatch } from '@baobabpost/platform-log'

/** An append that has not taken effect yet. */
interface PendingAppend {
  readonly record: LogRecord
  readonly dueAt: number
  /** Whether the author can still append; checked when the append is due. */
  readonly isAlive: () => boolean
}

export interface MemoryLog {
  /** Whether reads and appends fail. */
  isDown: boolean
  /** Duration of an append, and of a read by an entry. */
  delayMilliseconds: number
  /** Whether each record is appended a second time, as by a client that did not receive the acknowledgement. */
  losesAcknowledgements: boolean
  append: (record: LogRecord, now: number, isAlive: () => boolean) => void
  /** Returns the records from an offset to the current end; undefined while the log is down. */
  read: (from: number, now: number) => LogBatch | undefined
  /** Applies the pending appends that are due. */
  tick: (now: number) => void
  length: () => number
}

export function createMemoryLog (): MemoryLog {
  const entries: LogEntry[] = []
  let pending: PendingAppend[] = []

  function apply ({ record }: PendingAppend, now: number, resends: PendingAppend[]): void {
    entries.push({ offset: entries.length + 1, record })
    if (log.losesAcknowledgements) {
      resends.push({ record, dueAt: now + log.delayMilliseconds, isAlive: () => !log.losesAcknowledgements })
    }
  }

  const log: MemoryLog = {
    isDown: false,
    delayMilliseconds: 5,
    losesAcknowledgements: false,
    append (record, now, isAlive) {
      pending.push({ record, dueAt: now + log.delayMilliseconds, isAlive })
    },
    read (from, now) {
      if (log.isDown) return undefined
      return {
        entries: entries.slice(from - 1),
        firstOffset: 1,
        nextOffset: entries.length + 1,
        readStartedAt: now,
        hasReachedEnd: true
      }
    },
    tick (now) {
      if (log.isDown || pending.length === 0) return
      const waiting: PendingAppend[] = []
      for (const append of pending) {
        if (append.dueAt > now) waiting.push(append)
        else if (append.isAlive()) apply(append, now, waiting)
      }
      pending = waiting
    },
    length: () => entries.length
  }
  return log
}
