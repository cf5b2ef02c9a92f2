/** Contract of the client of the platform's log. */
import type { LogRecord } from '@baobabpost/messages'
import type { LogBatch } from './register-projection.js'

/** Outcome of an append. Whether its writes took effect is reported by the projection. */
export type AppendOutcome =
  | { readonly kind: 'appended', readonly nonce: string, readonly offset: number }
  /** The record is not on the log: the queue was full, the log rejected the record or was down for too long. */
  | { readonly kind: 'abandoned', readonly nonce: string }
  /** The record will not be sent again, but may still appear on the log. */
  | { readonly kind: 'unknown', readonly nonce: string }

/** How far the client has read, and what it has still to append. */
export interface LogStatus {
  /** Offset up to which records were delivered to the listener. */
  readonly position: number
  /** Offset of the last record on the log, as of the latest read. */
  readonly end: number
  /** Start of the last read that reached the end of the log, Unix milliseconds; undefined before the first. */
  readonly endReadStartedAt: number | undefined
  /** Time since which no read has reached the end of the log, Unix milliseconds; undefined while reads reach it. */
  readonly behindSince: number | undefined
  /** Number of appends that are waiting, in flight or doubtful. */
  readonly pendingAppends: number
}

/** Reads and appends records over HTTP. */
export interface PlatformLogClient {
  /** Queues a record and returns its nonce. */
  append: (changes: LogRecord['changes']) => string
  status: () => LogStatus
  /** Reads the log continuously and delivers batches until `close`. */
  start: () => void
  /** Stops reading and closes all connections; abandons pending appends. */
  close: () => void
}

/** Receives batches read from the log and the outcomes of appends. */
export interface PlatformLogListener {
  onBatch: (batch: LogBatch) => void
  onAppendOutcome: (outcome: AppendOutcome) => void
}
