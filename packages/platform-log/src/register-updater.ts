/** Applies the writes and refresh records of the log to the register table of this process. */
import { canonicalJson, type Invariants } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, type RegisterRefresh, type RegisterWrite } from '@baobabpost/messages'
import type { RegisterChange, WriteOutcome } from './register-projection.js'
import { isIdentityKind, parseRegisterKind } from './register-validation.js'
import type { RegisterState, RegisterTable } from './register-table.js'

/** A write with the offset, nonce and append time (Unix milliseconds) of its record. */
export interface LoggedWrite {
  readonly offset: number
  readonly nonce: string
  readonly time: number
  readonly write: RegisterWrite
}

/** A refresh with the append time (Unix milliseconds) of its record. */
export interface LoggedRefresh {
  readonly time: number
  readonly refresh: RegisterRefresh
}

/** How much of the log's history this process knows; the projection keeps it up to date. */
export interface LogHistory {
  /** First offset of the range that was read without a gap. */
  firstOffset: number
  /** Offset up to which a peer has sent every register. */
  adoptedPosition: number
}

/** Changes and write outcomes that are not yet delivered to the listeners. */
export interface PendingResults {
  changes: RegisterChange[]
  outcomes: WriteOutcome[]
}

/** Applies writes and refresh records, which must come in offset order. */
export interface RegisterUpdater {
  /** Sets a register to a higher version than its present one. */
  setRegister: (register: string, state: RegisterState, previousVersion: number) => void
  applyWrite: (logged: LoggedWrite) => void
  /** Checks a refresh against the register; an unconfirmed register may be rebased on it and `keptWrites`. */
  applyRefresh: (logged: LoggedRefresh, keptWrites: readonly LoggedWrite[]) => void
  /** Sets a register to the refreshed version and applies the writes after it. */
  rebase: (base: LoggedRefresh, writes: readonly LoggedWrite[]) => void
  /** Whether every record after the offset that the refresh is valid for (`asOf`) was read. */
  isUsableBase: (refresh: RegisterRefresh) => boolean
}

/** Creates an updater that changes the table and adds to the results. */
export function createRegisterUpdater (
  table: RegisterTable, history: Readonly<LogHistory>, results: PendingResults, invariants: Invariants
): RegisterUpdater {
  function setRegister (register: string, state: RegisterState, previousVersion: number): void {
    const kind = parseRegisterKind(register)
    if (kind === undefined) return
    invariants.check(state.version > previousVersion, 'register-version-rises', () =>
      `${register} went from version ${previousVersion} to ${state.version}`)
    if (state.value === null && isIdentityKind(kind)) table.forget(register, state.version)
    else table.set(register, state)
    results.changes.push({ register, version: state.version, value: state.value, previousVersion })
  }

  function reportOutcome (logged: LoggedWrite, isApplied: boolean, version: number): void {
    results.outcomes.push({ nonce: logged.nonce, register: logged.write.register, isApplied, version })
  }

  /** Confirms the register if the write is the one that made its present version; ignores older writes. */
  function confirmWrite (logged: LoggedWrite, current: RegisterState): void {
    if (logged.offset < current.version) return
    current.isConfirmed = true
    reportOutcome(logged, true, current.version)
  }

  /**
   * Whether the write removes a register that belongs to one process run. Such a removal takes effect whatever version
   * it replaces: a reader that missed the write that created the register may have taken a later duplicate of that
   * write as the first one, and so have another version.
   */
  function isFinalRemoval ({ register, value }: RegisterWrite, current: RegisterState | undefined): boolean {
    const kind = parseRegisterKind(register)
    return current !== undefined && value === null && kind !== undefined && isIdentityKind(kind)
  }

  function applyWrite (logged: LoggedWrite): void {
    const { register, replaces, value } = logged.write
    const current = table.get(register)
    const version = current?.version ?? NEVER_WRITTEN_VERSION
    if (current !== undefined && logged.offset <= version) {
      confirmWrite(logged, current)
      return
    }
    // The peer knew every register up to that position and did not have this one: it was removed after this write.
    if (current === undefined && logged.offset <= history.adoptedPosition) return
    if (replaces !== version && !isFinalRemoval(logged.write, current)) {
      reportOutcome(logged, false, version)
      return
    }
    const isConfirmed = current?.isConfirmed ?? history.firstOffset === 1
    const baseAppendedAt = current?.baseAppendedAt ?? logged.time
    const next = { version: logged.offset, value, isConfirmed, baseAppendedAt, refreshRequestedAt: 0 }
    setRegister(register, next, version)
    reportOutcome(logged, true, logged.offset)
  }

  function rebase (base: LoggedRefresh, writes: readonly LoggedWrite[]): void {
    const { register, version, value, asOf } = base.refresh
    const previousVersion = table.get(register)?.version ?? NEVER_WRITTEN_VERSION
    setRegister(register, {
      version, value, isConfirmed: true, baseAppendedAt: base.time, refreshRequestedAt: 0
    }, previousVersion)
    for (const logged of writes) {
      if (logged.offset > asOf) applyWrite(logged)
    }
  }

  function isUsableBase (refresh: RegisterRefresh): boolean {
    return refresh.asOf >= history.firstOffset - 1
  }

  function refreshUnknownRegister (logged: LoggedRefresh, keptWrites: readonly LoggedWrite[]): void {
    const { register, version, asOf } = logged.refresh
    if ((table.forgotten.get(register) ?? 0) > asOf || asOf <= history.adoptedPosition) return
    const isMissingFromHistory = version < history.firstOffset && isUsableBase(logged.refresh)
    invariants.check(isMissingFromHistory, 'restatement-agrees', () =>
      `${register} is unknown here, but was refreshed at version ${version}`)
    if (isMissingFromHistory) rebase(logged, keptWrites)
  }

  function refreshKnownRegister (
    current: RegisterState, logged: LoggedRefresh, keptWrites: readonly LoggedWrite[]
  ): void {
    const { register, version, value, asOf } = logged.refresh
    if (version === current.version) {
      invariants.check(canonicalJson(current.value) === canonicalJson(value), 'restatement-agrees', () =>
        `${register} at version ${version} was refreshed with another value`)
      current.isConfirmed = true
      current.baseAppendedAt = Math.max(current.baseAppendedAt, logged.time)
    } else if (version < current.version && asOf < current.version) {
      current.baseAppendedAt = Math.max(current.baseAppendedAt, logged.time)
    } else if (current.isConfirmed) {
      invariants.check(false, 'restatement-agrees', () =>
        `${register} is at version ${current.version}, but was refreshed at version ${version} as of offset ${asOf}`)
    } else if (version > current.version && isUsableBase(logged.refresh)) {
      rebase(logged, keptWrites)
    }
  }

  function applyRefresh (logged: LoggedRefresh, keptWrites: readonly LoggedWrite[]): void {
    const current = table.get(logged.refresh.register)
    if (current === undefined) refreshUnknownRegister(logged, keptWrites)
    else refreshKnownRegister(current, logged, keptWrites)
  }

  return { setRegister, applyWrite, applyRefresh, rebase, isUsableBase }
}
