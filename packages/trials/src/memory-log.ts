/** A log in memory with the faults that the platform's log has: outages, slowness, lost acknowledgements. */
import type { LogEntry, LogRecord } from '@baobabpost/messages'
import type { LogBatch } from '@baobabpost/platform-log'

/** A record on its way to the log. */
interface PendingAppend {
  readonly record: LogRecord
  readonly dueAt: number
  readonly isAlive: () => boolean
}

/** The log, and its faults. */
export interface MemoryLog {
  /** Whether reads and appends fail. */
  isDown: boolean
  /** Time that an append or a read takes. */
  delayMilliseconds: number
  /** Whether each append is sent a second time, as a client does whose acknowledgement was lost. */
  losesAcknowledgements: boolean
  append: (record: LogRecord, now: number, isAlive: () => boolean) => void
  /** Reads from an offset to the end as it is now; undefined while the log is down. */
  read: (from: number, now: number) => LogBatch | undefined
  /** Lets pending appends take effect. */
  tick: (now: number) => void
  length: () => number
}

/** Makes an empty log. */
export function createMemoryLog (): MemoryLog {
  const entries: LogEntry[] = []
  let pending: PendingAppend[] = []

  function apply ({ record }: PendingAppend, now: number, repeated: PendingAppend[]): void {
    entries.push({ offset: entries.length + 1, record })
    if (log.losesAcknowledgements) {
      repeated.push({ record, dueAt: now + log.delayMilliseconds, isAlive: () => !log.losesAcknowledgements })
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
