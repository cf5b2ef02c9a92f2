/**
 * Folds the records of the log into registers; `docs/design/registers.md` explains the rules and why every reader
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
  createRegisterJudge, type JudgedResults, type KnownHistory, type PlacedRestatement, type PlacedWrite
} from './register-updater.js'
import { isIdentityKind, parseRegisterKind, findValueFault } from './register-validation.js'
import { createRegisterTable } from './register-table.js'

/** A restatement counts only if no more than this many records lie between what it states and its own offset. */
export const MAXIMUM_REFRESH_LAG_RECORDS = 1_000
/** Time for which a register that was asked to be restated isn't asked again. */
const RESTATEMENT_PATIENCE_MILLISECONDS = 5_000
/** A register is restated once this share of the retention has passed. */
const SETTLED_RESTATEMENT_SHARE = 1 / 3
/** A reader that doesn't know the whole history leaves the first go to those that do. */
const UNSETTLED_RESTATEMENT_SHARE = 1 / 2
/** Part of the retention by which each further process waits for the one before it to restate. */
const RANK_SHARE = 1 / 12
const MAXIMUM_RANK = 3
/** Most writes of a register that isn't settled that are kept to be judged again. */
const MAXIMUM_KEPT_WRITES = 1_000

/** Settings and ports of a fold. */
export interface RegisterProjectionOptions {
  /** Time for which the log keeps records. */
  readonly retentionMilliseconds: number
  readonly invariants: Invariants
  /** Receives what was skipped. */
  readonly onBadRecord: (record: BadRecord) => void
  /** Receives what became of the writes of each batch, before the changes come back. */
  readonly onOutcomes: (outcomes: readonly WriteOutcome[]) => void
}

/** What a reader that started in the middle of the log knows of a register whose history it lacks. */
interface Evidence {
  base: PlacedRestatement | undefined
  writes: PlacedWrite[]
}

/**
 * Makes an empty fold.
 *
 * @example
 * const fold = createRegisterFold({ retentionMilliseconds: 3_600_000, invariants, onBadRecord, onOutcomes })
 * const changes = fold.apply(batch, Date.now())
 */
export function createRegisterProjection (options: RegisterProjectionOptions): RegisterProjection {
  const { invariants, retentionMilliseconds, onBadRecord, onOutcomes } = options
  const table = createRegisterTable()
  /** Evidence on registers that are not settled. */
  const evidence = new Map<string, Evidence>()
  const history: KnownHistory = { start: 1, adoptedPosition: 0 }
  const results: JudgedResults = { changes: [], outcomes: [] }
  const judge = createRegisterJudge(table, history, results, invariants)
  let readTo = 0
  let recovering = false
  let reachedEndOnce = false
  let logPosition = 0

  function position (): number {
    return Math.max(logPosition, history.adoptedPosition)
  }

  function evidenceOf (register: string): Evidence {
    const known = evidence.get(register) ?? { base: undefined, writes: [] }
    evidence.set(register, known)
    return known
  }

  function keepWrite (placed: PlacedWrite): void {
    const known = evidenceOf(placed.write.register)
    known.writes.push(placed)
    if (known.writes.length > MAXIMUM_KEPT_WRITES) known.writes.shift()
  }

  function keepRestatement (placed: PlacedRestatement): void {
    const { register, asOf } = placed.restatement
    const known = evidenceOf(register)
    if (!judge.isBase(placed.restatement) || (known.base?.restatement.asOf ?? -1) > asOf) return
    known.base = placed
    known.writes = known.writes.filter(write => write.offset > asOf)
  }

  function restate (placed: PlacedRestatement): void {
    const { register } = placed.restatement
    judge.applyRestatement(placed, evidence.get(register)?.writes ?? [])
    if (table.get(register)?.settled === true) evidence.delete(register)
  }

  function beginRecovery (first: number): void {
    recovering = true
    history.start = first
    readTo = first - 1
    evidence.clear()
    for (const [, held] of table.entries()) held.settled = false
  }

  function recoverRegister (register: string, known: Evidence): void {
    const held = table.get(register)
    const base = known.base
    if (base !== undefined && base.restatement.version > (held?.version ?? NEVER_WRITTEN_VERSION)) {
      if (!isRemoved(register, base.restatement)) {
        judge.rebase(base, known.writes)
        return
      }
    }
    if (base !== undefined && held !== undefined) judge.applyRestatement(base, known.writes)
    const from = base?.restatement.asOf ?? 0
    for (const placed of known.writes) {
      if (placed.offset > from) judge.applyWrite(placed)
    }
  }

  /** Whether a peer that knew more than the restatement had no such register. */
  function isRemoved (register: string, restatement: RegisterRefresh): boolean {
    return table.get(register) === undefined && restatement.asOf <= history.adoptedPosition
  }

  function finishRecovery (): void {
    recovering = false
    for (const [register, known] of evidence) {
      recoverRegister(register, known)
      known.base = undefined
      if (table.get(register)?.settled !== false) evidence.delete(register)
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
    const time = Math.min(now, nonceCreatedAt(nonce) ?? (recovering ? 0 : now))
    if (change.kind === 'write') {
      const placed = { offset: entry.offset, nonce, time, write: change }
      if (recovering || table.get(change.register)?.settled === false) keepWrite(placed)
      if (!recovering) judge.applyWrite(placed)
      return
    }
    if (change.asOf >= entry.offset || change.version > change.asOf || change.version === NEVER_WRITTEN_VERSION) {
      onBadRecord({ offset: entry.offset, register: change.register, fault: 'the restatement is of the future' })
      return
    }
    if (change.asOf < entry.offset - MAXIMUM_REFRESH_LAG_RECORDS) return
    if (recovering) keepRestatement({ time, restatement: change })
    else restate({ time, restatement: change })
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
    if (batch.firstOffset > readTo + 1) beginRecovery(batch.firstOffset)
    for (const entry of batch.entries) {
      if (entry.offset <= readTo) continue
      if (entry.offset > readTo + 1) beginRecovery(entry.offset)
      readTo = entry.offset
      applyEntry(entry, now)
    }
    if (batch.hasReachedEnd && recovering) finishRecovery()
    if (!recovering) logPosition = readTo
    reachedEndOnce ||= batch.hasReachedEnd
    table.pruneForgotten(readTo - MAXIMUM_REFRESH_LAG_RECORDS)
    return takeChanges()
  }

  function adoptRegister (value: RegisterValue, knownTo: number): void {
    const held = table.get(value.register)
    const version = held?.version ?? NEVER_WRITTEN_VERSION
    if (value.version <= version) return
    if (held === undefined && value.version <= knownTo) return
    const kind = parseRegisterKind(value.register)
    if (kind === undefined || findValueFault(value.register, value.value) !== undefined) return
    if (held === undefined && value.value === null && isIdentityKind(kind)) return
    const next = { version: value.version, value: value.value, settled: false, basedAt: 0, restatedAt: 0 }
    judge.setRegister(value.register, next, version)
  }

  function adopt (delta: RegisterDelta): readonly RegisterChange[] {
    const knownTo = position()
    for (const value of delta.registers) adoptRegister(value, knownTo)
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
    // Without the rest, the receiver can't say that it knows every register up to some offset.
    return { registers, position: kind === undefined ? since : registers.at(-1)?.version ?? since }
  }

  function restatementsDue (now: number, limit: number, rank = 0): readonly RegisterRefresh[] {
    const due: RegisterRefresh[] = []
    if (recovering || !reachedEndOnce) return due
    const asOf = position()
    const wait = Math.min(rank, MAXIMUM_RANK) * RANK_SHARE
    for (const [register, held] of table.entries()) {
      if (due.length === limit) break
      const share = held.settled ? SETTLED_RESTATEMENT_SHARE : UNSETTLED_RESTATEMENT_SHARE
      if (now - held.basedAt < retentionMilliseconds * (share + wait)) continue
      if (now - held.restatedAt < RESTATEMENT_PATIENCE_MILLISECONDS || held.version > asOf) continue
      held.restatedAt = now
      due.push({ kind: 'restatement', register, version: held.version, value: held.value, asOf })
    }
    return due
  }

  return {
    apply,
    adopt,
    changesSince,
    read (register) {
      const held = table.get(register)
      return held === undefined ? undefined : { register, version: held.version, value: held.value }
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
    nextReadOffset: () => readTo + 1,
    refreshesDue: restatementsDue
  }
}
