/** In-memory table of the registers that one process knows, by kind. */
import type { RegisterKind } from '@baobabpost/messages'
import { isIdentityKind, parseRegisterKind } from './register-validation.js'

/** State of one register in the table. */
export interface RegisterState {
  version: number
  value: unknown
  /**
   * Whether the log itself proves this version, by a history without a gap or by a refresh record. An unconfirmed
   * register is corrected by the next refresh record.
   */
  isConfirmed: boolean
  /**
   * Append time of the record from which a new reader can derive the register: its latest refresh record, or the write
   * that created it. Unix milliseconds; 0 if unknown. Later writes don't count, because a reader that starts with one
   * can't tell whether it took effect.
   */
  baseAppendedAt: number
  /** When this process last requested a refresh of the register, Unix milliseconds; 0 if never. */
  refreshRequestedAt: number
}

export interface RegisterTable {
  get: (register: string) => RegisterState | undefined
  set: (register: string, state: RegisterState) => void
  /** The registers of one kind, or of all kinds; includes removed registers that are not forgotten. */
  entries: (kind?: RegisterKind) => Iterable<[string, RegisterState]>
  /** Removed registers of process identities that are no longer in the table, with the offsets of their removals. */
  forgotten: ReadonlyMap<string, number>
  /** Deletes a removed register from the table and records the offset of its removal. */
  forget: (register: string, offset: number) => void
  /** Drops the recorded removals up to the offset. */
  pruneForgotten: (upTo: number) => void
}

export function createRegisterTable (): RegisterTable {
  const byKind = new Map<RegisterKind, Map<string, RegisterState>>()
  const forgotten = new Map<string, number>()

  function registersOf (register: string): Map<string, RegisterState> | undefined {
    const kind = parseRegisterKind(register)
    return kind === undefined ? undefined : byKind.get(kind)
  }

  function * allEntries (): Iterable<[string, RegisterState]> {
    for (const registers of byKind.values()) yield * registers
  }

  return {
    get: register => registersOf(register)?.get(register),
    set (register, state) {
      const kind = parseRegisterKind(register)
      if (kind === undefined) return
      const registers = byKind.get(kind) ?? new Map<string, RegisterState>()
      byKind.set(kind, registers)
      registers.set(register, state)
      if (isIdentityKind(kind)) forgotten.delete(register)
    },
    entries: kind => kind === undefined ? allEntries() : byKind.get(kind) ?? [],
    forgotten,
    forget (register, offset) {
      registersOf(register)?.delete(register)
      forgotten.delete(register)
      forgotten.set(register, offset)
    },
    pruneForgotten (upTo) {
      for (const [register, offset] of forgotten) {
        if (offset > upTo) return
        forgotten.delete(register)
      }
    }
  }
}
