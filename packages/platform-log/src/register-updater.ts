/** Judges writes and restatements against the registers that a process holds. */
import { canonicalJson, type Invariants } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, type RegisterRefresh, type RegisterWrite } from '@baobabpost/messages'
import type { RegisterChange, WriteOutcome } from './register-projection.js'
import { isIdentityKind, parseRegisterKind } from './register-validation.js'
import type { HeldRegister, RegisterTable } from './register-table.js'

/** A write with its place on the log and its time of appending. */
export interface PlacedWrite {
  readonly offset: number
  readonly nonce: string
  readonly time: number
  readonly write: RegisterWrite
}

/** A restatement with its time of appending. */
export interface PlacedRestatement {
  readonly time: number
  readonly restatement: RegisterRefresh
}

/** How much of the history this process knows; the fold keeps it up to date. */
export interface KnownHistory {
  /** First offset of the history that was read without a gap. */
  start: number
  /** Offset up to which a peer told every register. */
  adoptedPosition: number
}

/** Changes and outcomes that were not handed over yet. */
export interface JudgedResults {
  changes: RegisterChange[]
  outcomes: WriteOutcome[]
}

/** Judges in offset order. */
export interface RegisterJudge {
  /** Gives a register a version above the one it has. */
  setRegister: (register: string, held: HeldRegister, previousVersion: number) => void
  applyWrite: (placed: PlacedWrite) => void
  /** Checks a restatement; a register that is not settled may take it over, with the writes after it. */
  applyRestatement: (placed: PlacedRestatement, keptWrites: readonly PlacedWrite[]) => void
  /** Takes over a restated version and judges the writes after it. */
  rebase: (base: PlacedRestatement, writes: readonly PlacedWrite[]) => void
  /** Whether the writes after the restated state were all read. */
  isBase: (restatement: RegisterRefresh) => boolean
}

/** Makes a judge that acts on the table and adds to the results. */
export function createRegisterJudge (
  table: RegisterTable, history: Readonly<KnownHistory>, results: JudgedResults, invariants: Invariants
): RegisterJudge {
  function setRegister (register: string, held: HeldRegister, previousVersion: number): void {
    const kind = parseRegisterKind(register)
    if (kind === undefined) return
    invariants.check(held.version > previousVersion, 'register-version-rises', () =>
      `${register} went from ${previousVersion} to ${held.version}`)
    if (held.value === null && isIdentityKind(kind)) table.forget(register, held.version)
    else table.set(register, held)
    results.changes.push({ register, version: held.version, value: held.value, previousVersion })
  }

  function tell (placed: PlacedWrite, held: boolean, version: number): void {
    results.outcomes.push({ nonce: placed.nonce, register: placed.write.register, isApplied: held, version })
  }

  /** Judges a write that is at or below the version that is held. */
  function confirmWrite (placed: PlacedWrite, held: HeldRegister): void {
    if (placed.offset < held.version) return
    held.settled = true
    tell(placed, true, held.version)
  }

  /**
   * Whether the write removes a register of one run of a process. Such a removal holds whatever version it names: a
   * reader that lacks the write that made the register may have taken a later copy of it for the first.
   */
  function isFinalRemoval ({ register, value }: RegisterWrite, held: HeldRegister | undefined): boolean {
    const kind = parseRegisterKind(register)
    return held !== undefined && value === null && kind !== undefined && isIdentityKind(kind)
  }

  function applyWrite (placed: PlacedWrite): void {
    const { register, replaces, value } = placed.write
    const held = table.get(register)
    const version = held?.version ?? NEVER_WRITTEN_VERSION
    if (held !== undefined && placed.offset <= version) {
      confirmWrite(placed, held)
      return
    }
    // A peer knew all up to that position and had no such register: it was removed since.
    if (held === undefined && placed.offset <= history.adoptedPosition) return
    if (replaces !== version && !isFinalRemoval(placed.write, held)) {
      tell(placed, false, version)
      return
    }
    const settled = held?.settled ?? history.start === 1
    const basedAt = held?.basedAt ?? placed.time
    const next = { version: placed.offset, value, settled, basedAt, restatedAt: 0 }
    setRegister(register, next, version)
    tell(placed, true, placed.offset)
  }

  function rebase (base: PlacedRestatement, writes: readonly PlacedWrite[]): void {
    const { register, version, value, asOf } = base.restatement
    const previousVersion = table.get(register)?.version ?? NEVER_WRITTEN_VERSION
    setRegister(register, { version, value, settled: true, basedAt: base.time, restatedAt: 0 }, previousVersion)
    for (const placed of writes) {
      if (placed.offset > asOf) applyWrite(placed)
    }
  }

  function isBase (restatement: RegisterRefresh): boolean {
    return restatement.asOf >= history.start - 1
  }

  function restateUnknown (placed: PlacedRestatement, keptWrites: readonly PlacedWrite[]): void {
    const { register, version, asOf } = placed.restatement
    if ((table.forgotten.get(register) ?? 0) > asOf || asOf <= history.adoptedPosition) return
    const missed = version < history.start && isBase(placed.restatement)
    invariants.check(missed, 'restatement-agrees', () => `${register} is not known, restated at ${version}`)
    if (missed) rebase(placed, keptWrites)
  }

  function restateKnown (held: HeldRegister, placed: PlacedRestatement, keptWrites: readonly PlacedWrite[]): void {
    const { register, version, value, asOf } = placed.restatement
    if (version === held.version) {
      invariants.check(canonicalJson(held.value) === canonicalJson(value), 'restatement-agrees', () =>
        `${register} at ${version} was restated with another value`)
      held.settled = true
      held.basedAt = Math.max(held.basedAt, placed.time)
    } else if (version < held.version && asOf < held.version) {
      held.basedAt = Math.max(held.basedAt, placed.time)
    } else if (held.settled) {
      invariants.check(false, 'restatement-agrees', () =>
        `${register} is at ${held.version}, restated at ${version} as of ${asOf}`)
    } else if (version > held.version && isBase(placed.restatement)) {
      rebase(placed, keptWrites)
    }
  }

  function applyRestatement (placed: PlacedRestatement, keptWrites: readonly PlacedWrite[]): void {
    const held = table.get(placed.restatement.register)
    if (held === undefined) restateUnknown(placed, keptWrites)
    else restateKnown(held, placed, keptWrites)
  }

  return { setRegister, applyWrite, applyRestatement, rebase, isBase }
}
