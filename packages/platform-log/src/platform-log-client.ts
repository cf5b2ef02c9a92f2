/** Contract of the client of the platform's log. */
import type { LogRecord } from '@baobabpost/messages'
import type { LogBatch } from './register-projection.js'

/** What became of an append. Whether its writes held is told by the fold. */
export type AppendOutcome =
  | { readonly kind: 'appended', readonly nonce: string, readonly offset: number }
  /** The record is not on the log and was not tried again: the queue was full or the log down for too long. */
  | { readonly kind: 'abandoned', readonly nonce: string }
  /** The record may still appear on the log. */
  | { readonly kind: 'unknown', readonly nonce: string }

/** How the client stands with the log. */
export interface LogStatus {
  /** Offset up to which records were handed over. */
  readonly position: number
  /** Offset of the last record that the log is known to have. */
  readonly end: number
  /** Start of the last read that reached the end, Unix milliseconds; undefined before the first. */
  readonly endReadStartedAt: number | undefined
  /** Since when no read reached the end, Unix milliseconds; undefined while reads reach it. */
  readonly behindSince: number | undefined
  /** Appends that wait or are in doubt. */
  readonly pendingAppends: number
}

/** Reads and appends records over HTTP. */
export interface PlatformLogClient {
  /** Queues a record and gives its nonce. */
  append: (changes: LogRecord['changes']) => string
  status: () => LogStatus
  /** Reads on from the log and hands over batches until `close`. */
  start: () => void
  /** Stops reading and ends all connections; pending appends are abandoned. */
  close: () => void
}

/** Receives the reads and the outcomes of appends. */
export interface PlatformLogListener {
  onBatch: (batch: LogBatch) => void
  onAppendOutcome: (outcome: AppendOutcome) => void
}
