/** Contract of the fold that turns the records of the log into registers. */
import type { LogEntry, RegisterKind, RegisterValue, RegisterRefresh } from '@baobabpost/messages'

/** A register took a new value. `value` is `null` where the register was removed. */
export interface RegisterChange {
  readonly register: string
  readonly version: number
  readonly value: unknown
  /** Version before the change, `NEVER_WRITTEN` for a new register. */
  readonly previousVersion: number
}

/** What became of one write of a record. */
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
  /** Oldest offset that the log still had. */
  readonly firstOffset: number
  /** Offset that the next append would have got. */
  readonly nextOffset: number
  /** Unix time in milliseconds at which the read was sent. */
  readonly readStartedAt: number
  /** Whether the entries go up to the end of the log. */
  readonly hasReachedEnd: boolean
}

/** Registers that changed since a position. */
export interface RegisterDelta {
  readonly registers: readonly RegisterValue[]
  /** Offset up to which the receiver knows every register once it adopted the delta. */
  readonly position: number
}

/** Something on the log that was skipped. */
export interface BadRecord {
  readonly offset: number
  readonly register: string | undefined
  readonly fault: string
}

/** The registers of one process. */
export interface RegisterProjection {
  /**
   * Applies a read of the log, in offset order. Entries that were applied before are passed over. A read that starts
   * after a gap starts a recovery; its changes come out of the call whose batch reaches the end of the log.
   */
  apply: (batch: LogBatch, now: number) => readonly RegisterChange[]
  /** Takes what a peer knows and this process doesn't; never lowers a version. */
  adopt: (delta: RegisterDelta) => readonly RegisterChange[]
  /** Registers with a version above the position, removed ones too; `kind` restricts them. */
  changesSince: (position: number, limit: number, kind?: RegisterKind) => RegisterDelta
  /** The register, or undefined if it was never written, was removed and forgotten, or is not known. */
  read: (register: string) => RegisterValue | undefined
  /** Registers of a kind that have a value. */
  list: (kind: RegisterKind) => readonly RegisterValue[]
  /** Offset up to which all is known, from the log or from a peer. */
  position: () => number
  /** Offset up to which the log itself was read and applied; 0 before the first read. */
  logPosition: () => number
  /** Offset that the next read should start from. */
  nextReadOffset: () => number
  /**
   * Restatements of registers that were made or last restated more than a third of the retention ago. `rank` is the
   * place of this process among those that restate; each further one waits a twelfth of the retention longer, so that
   * it restates only what those before it could not.
   */
  refreshesDue: (now: number, limit: number, rank?: number) => readonly RegisterRefresh[]
}
