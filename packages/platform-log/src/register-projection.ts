/** Contract of the projection of the log's records onto registers. */
import type { LogEntry, RegisterKind, RegisterValue, RegisterRefresh } from '@baobabpost/messages'

/** A register has a new value. `value` is `null` if the register was removed. */
export interface RegisterChange {
  readonly register: string
  readonly version: number
  readonly value: unknown
  /** Version before the change, `NEVER_WRITTEN_VERSION` for a new register. */
  readonly previousVersion: number
}

/** Outcome of one write of a record. */
export interface WriteOutcome {
  readonly nonce: string
  readonly register: string
  /** Whether the write took effect. */
  readonly isApplied: boolean
  /** Version of the register after the write. */
  readonly version: number
}

/** One successful read of the log. */
export interface LogBatch {
  readonly entries: readonly LogEntry[]
  /** Oldest offset that the log had kept at the time of the read. */
  readonly firstOffset: number
  /** Offset that the next append would have got at the time of the read. */
  readonly nextOffset: number
  /** Unix time in milliseconds at which the read request was sent. */
  readonly readStartedAt: number
  /** Whether the entries extend to the end of the log. */
  readonly hasReachedEnd: boolean
}

/** Registers that changed since a position. */
export interface RegisterDelta {
  readonly registers: readonly RegisterValue[]
  /** Offset up to which the receiver knows every register once it has adopted the delta. */
  readonly position: number
}

/** A record, or one change of a record, that was skipped as invalid. */
export interface BadRecord {
  readonly offset: number
  readonly register: string | undefined
  readonly fault: string
}

/** The registers of one process. */
export interface RegisterProjection {
  /**
   * Applies a batch of records in offset order and returns the changes. Entries that are already applied are skipped.
   * A gap in the offsets starts a recovery; the call whose batch reaches the end of the log returns its changes.
   */
  apply: (batch: LogBatch, now: number) => readonly RegisterChange[]
  /** Applies registers sent by a peer that are newer than this process's own; never lowers a version. */
  adopt: (delta: RegisterDelta) => readonly RegisterChange[]
  /** At most `limit` registers with a version above `position`, including removed ones; `kind` restricts them. */
  changesSince: (position: number, limit: number, kind?: RegisterKind) => RegisterDelta
  /** The register, or undefined if it is unknown, was never written, or was removed and forgotten. */
  read: (register: string) => RegisterValue | undefined
  /** The registers of the kind that have a value, without removed ones. */
  list: (kind: RegisterKind) => readonly RegisterValue[]
  /** Offset up to which every register is known, from the log or from a peer. */
  position: () => number
  /** Offset up to which the log itself was read and applied; 0 before the first read. */
  logPosition: () => number
  /** Offset at which the next read of the log should start. */
  nextReadOffset: () => number
  /**
   * Refresh records, at most `limit`, for registers that were created or last refreshed more than a third of the
   * retention ago. `rank` is the position (from 0) of this process among those that refresh; each further process waits
   * another twelfth of the retention, so that it refreshes only what those before it could not.
   */
  refreshesDue: (now: number, limit: number, rank?: number) => readonly RegisterRefresh[]
}
