/**
 * Projection of the log's records onto registers. `docs/design/registers.md` explains the rules and why every reader
 * comes to the same state.
 */
import type { Invariants } from '@baobabpost/common'
import {
  NEVER_WRITTEN_VERSION, type LogEntry, type RegisterKind, type RegisterRefresh, type RegisterValue, type RegisterWrite
} from '@baobabpost/messages'
import { nonceCreatedAt } from './log-record-codec.js'
import type {
  BadRecord, LogBatch, RegisterChange, RegisterDelta, RegisterProjection, WriteOutcome
} from './register-projection.js'
import {
  createRegisterUpdater, type PendingResults, type LogHistory, type LoggedRefresh, type LoggedWrite
} from './register-updater.js'
import { isIdentityKind, parseRegisterKind, findValueFault } from './register-validation.js'
import { createRegisterTable } from './register-table.js'

/** A refresh record is ignored if it lies more than this many records after the offset in its `asOf`. */
export const MAXIMUM_REFRESH_LAG_RECORDS = 1_000
/** Minimum time between two refresh requests for the same register. */
const REFRESH_RETRY_MILLISECONDS = 5_000
/** Share of the log's retention after which a confirmed register is refreshed. */
const CONFIRMED_REFRESH_SHARE = 1 / 3
/** Share for an unconfirmed register; larger, so that readers with a complete history refresh first. */
const UNCONFIRMED_REFRESH_SHARE = 1 / 2
/** Share of the retention that each further process by rank waits for the one before it to refresh. */
const REFRESH_SHARE_PER_RANK = 1 / 12
const MAXIMUM_REFRESH_RANK = 3
/** Most writes kept of one unconfirmed register, to be applied again after a rebase. */
const MAXIMUM_KEPT_WRITES_PER_REGISTER = 1_000

export interface RegisterProjectionOptions {
  /** Time for which the log keeps records. */
  readonly retentionMilliseconds: number
  readonly invariants: Invariants
  /** Receives each record or change that was skipped. */
  readonly onBadRecord: (record: BadRecord) => void
  /** Receives the outcomes of the writes of each batch, before `apply` returns the changes. */
  readonly onOutcomes: (outcomes: readonly WriteOutcome[]) => void
}

/** Records kept of an unconfirmed register, whose earlier history this reader lacks. */
interface KeptRecords {
  base: LoggedRefresh | undefined
  writes: LoggedWrite[]
}

/**
 * Creates a projection without registers.
 *
 * @example
 * const retentionMilliseconds = 3_600_000
 * const projection = createRegisterProjection({ retentionMilliseconds, invariants, onBadRecord, onOutcomes })
 * const changes = projection.apply(batch, Date.now())
 */
export function createRegisterProjection (options: RegisterProjectionOptions): RegisterProjection {
  const { invariants, retentionMilliseconds, onBadRecord, onOutcomes } = options
  const table = createRegisterTable()
  /** Records of the unconfirmed registers, by register name. */
  const keptRecords = new Map<string, KeptRecords>()
  const history: LogHistory = { firstOffset: 1, adoptedPosition: 0 }
  const results: PendingResults = { changes: [], outcomes: [] }
  const updater = createRegisterUpdater(table, history, results, invariants)
  let readPosition = 0
  let isRecovering = false
  let hasReachedEnd = false
  let logPosition = 0

  function position (): number {
    return Math.max(logPosition, history.adoptedPosition)
  }

  function keptRecordsOf (register: string): KeptRecords {
    const kept = keptRecords.get(register) ?? { base: undefined, writes: [] }
    keptRecords.set(register, kept)
    return kept
  }

  function keepWrite (logged: LoggedWrite): void {
    const kept = keptRecordsOf(logged.write.register)
    kept.writes.push(logged)
    if (kept.writes.length > MAXIMUM_KEPT_WRITES_PER_REGISTER) kept.writes.shift()
  }

  function keepRefresh (logged: LoggedRefresh): void {
    const { register, asOf } = logged.refresh
    const kept = keptRecordsOf(register)
    if (!updater.isUsableBase(logged.refresh) || (kept.base?.refresh.asOf ?? -1) > asOf) return
    kept.base = logged
    kept.writes = kept.writes.filter(write => write.offset > asOf)
  }

  function applyRefresh (logged: LoggedRefresh): void {
    const { register } = logged.refresh
    updater.applyRefresh(logged, keptRecords.get(register)?.writes ?? [])
    if (table.get(register)?.isConfirmed === true) keptRecords.delete(register)
  }

  function beginRecovery (first: number): void {
    isRecovering = true
    history.firstOffset = first
    readPosition = first - 1
    keptRecords.clear()
    for (const [, current] of table.entries()) current.isConfirmed = false
  }

  function recoverRegister (register: string, kept: KeptRecords): void {
    const current = table.get(register)
    const base = kept.base
    if (base !== undefined && base.refresh.version > (current?.version ?? NEVER_WRITTEN_VERSION)) {
      if (!isRemoved(register, base.refresh)) {
        updater.rebase(base, kept.writes)
        return
      }
    }
    if (base !== undefined && current !== undefined) updater.applyRefresh(base, kept.writes)
    const from = base?.refresh.asOf ?? 0
    for (const logged of kept.writes) {
      if (logged.offset > from) updater.applyWrite(logged)
    }
  }

  /** Whether a peer that knew the log beyond the refresh did not have the register. */
  function isRemoved (register: string, refresh: RegisterRefresh): boolean {
    return table.get(register) === undefined && refresh.asOf <= history.adoptedPosition
  }

  function finishRecovery (): void {
    isRecovering = false
    for (const [register, kept] of keptRecords) {
      recoverRegister(register, kept)
      kept.base = undefined
      if (table.get(register)?.isConfirmed !== false) keptRecords.delete(register)
    }
    results.changes.sort((left, right) => left.version - right.version)
  }

  function applyChange (
    entry: LogEntry, nonce: string, change: RegisterWrite | RegisterRefresh, now: number
  ): void {
    const fault = findValueFault(change.register, change.value)
    if (fault !== undefined) {
      onBadRecord({ offset: entry.offset, register: change.register, fault })
      return
    }
    const time = Math.min(now, nonceCreatedAt(nonce) ?? (isRecovering ? 0 : now))
    if (change.kind === 'write') {
      const logged = { offset: entry.offset, nonce, time, write: change }
      if (isRecovering || table.get(change.register)?.isConfirmed === false) keepWrite(logged)
      if (!isRecovering) updater.applyWrite(logged)
      return
    }
    if (change.asOf >= entry.offset || change.version > change.asOf || change.version === NEVER_WRITTEN_VERSION) {
      onBadRecord({ offset: entry.offset, register: change.register, fault: 'the restatement is of the future' })
      return
    }
    if (change.asOf < entry.offset - MAXIMUM_REFRESH_LAG_RECORDS) return
    if (isRecovering) keepRefresh({ time, refresh: change })
    else applyRefresh({ time, refresh: change })
  }

  function applyEntry (entry: LogEntry, now: number): void {
    if (entry.record === undefined) {
      onBadRecord({ offset: entry.offset, register: undefined, fault: 'the record does not decode' })
      return
    }
    for (const change of entry.record.changes) applyChange(entry, entry.record.nonce, change, now)
  }

  function takeChanges (): readonly RegisterChange[] {
    const { changes, outcomes } = results
    results.changes = []
    results.outcomes = []
    if (outcomes.length > 0) onOutcomes(outcomes)
    return changes
  }

  function apply (batch: LogBatch, now: number): readonly RegisterChange[] {
    if (batch.firstOffset > readPosition + 1) beginRecovery(batch.firstOffset)
    for (const entry of batch.entries) {
      if (entry.offset <= readPosition) continue
      if (entry.offset > readPosition + 1) beginRecovery(entry.offset)
      readPosition = entry.offset
      applyEntry(entry, now)
    }
    if (batch.hasReachedEnd && isRecovering) finishRecovery()
    if (!isRecovering) logPosition = readPosition
    hasReachedEnd ||= batch.hasReachedEnd
    table.pruneForgotten(readPosition - MAXIMUM_REFRESH_LAG_RECORDS)
    return takeChanges()
  }

  function adoptRegister (value: RegisterValue, knownPosition: number): void {
    const current = table.get(value.register)
    const version = current?.version ?? NEVER_WRITTEN_VERSION
    if (value.version <= version) return
    if (current === undefined && value.version <= knownPosition) return
    const kind = parseRegisterKind(value.register)
    if (kind === undefined || findValueFault(value.register, value.value) !== undefined) return
    if (current === undefined && value.value === null && isIdentityKind(kind)) return
    const next = {
      version: value.version, value: value.value, isConfirmed: false, baseAppendedAt: 0, refreshRequestedAt: 0
    }
    updater.setRegister(value.register, next, version)
  }

  function adopt (delta: RegisterDelta): readonly RegisterChange[] {
    const knownPosition = position()
    for (const value of delta.registers) adoptRegister(value, knownPosition)
    history.adoptedPosition = Math.max(history.adoptedPosition, delta.position)
    return takeChanges()
  }

  function changesSince (since: number, limit: number, kind?: RegisterKind): RegisterDelta {
    const newer: RegisterValue[] = []
    if (since >= position()) return { registers: newer, position: position() }
    for (const [register, { version, value }] of table.entries(kind)) {
      if (version > since) newer.push({ register, version, value })
    }
    for (const [register, version] of table.forgotten) {
      if (version > since && (kind === undefined || parseRegisterKind(register) === kind)) {
        newer.push({ register, version, value: null })
      }
    }
    newer.sort((left, right) => left.version - right.version)
    if (newer.length <= limit) return { registers: newer, position: position() }
    const registers = newer.slice(0, limit)
    // The receiver lacks the registers beyond the limit, so it can't claim to know every register up to some offset.
    return { registers, position: kind === undefined ? since : registers.at(-1)?.version ?? since }
  }

  function refreshesDue (now: number, limit: number, rank = 0): readonly RegisterRefresh[] {
    const due: RegisterRefresh[] = []
    if (isRecovering || !hasReachedEnd) return due
    const asOf = position()
    const wait = Math.min(rank, MAXIMUM_REFRESH_RANK) * REFRESH_SHARE_PER_RANK
    for (const [register, current] of table.entries()) {
      if (due.length === limit) break
      const share = current.isConfirmed ? CONFIRMED_REFRESH_SHARE : UNCONFIRMED_REFRESH_SHARE
      if (now - current.baseAppendedAt < retentionMilliseconds * (share + wait)) continue
      if (now - current.refreshRequestedAt < REFRESH_RETRY_MILLISECONDS || current.version > asOf) continue
      current.refreshRequestedAt = now
      due.push({ kind: 'restatement', register, version: current.version, value: current.value, asOf })
    }
    return due
  }

  return {
    apply,
    adopt,
    changesSince,
    read (register) {
      const current = table.get(register)
      return current === undefined ? undefined : { register, version: current.version, value: current.value }
    },
    list (kind) {
      const registers: RegisterValue[] = []
      for (const [register, { version, value }] of table.entries(kind)) {
        if (value !== null) registers.push({ register, version, value })
      }
      return registers
    },
    position,
    logPosition: () => logPosition,
    nextReadOffset: () => readPosition + 1,
    refreshesDue
  }
}
