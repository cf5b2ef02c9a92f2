/** The registers that a process holds, by kind. */
import type { RegisterKind } from '@baobabpost/messages'
import { isIdentityKind, parseRegisterKind } from './register-validation.js'

/** A register as it is held. */
export interface HeldRegister {
  version: number
  value: unknown
  /**
   * Whether the log itself showed this version: a history without a gap, or a restatement. A register that is not
   * settled is corrected by the next restatement.
   */
  settled: boolean
  /**
   * When the record was appended from which a new reader can work out the register: its latest restatement, or the
   * write that made it. Unix milliseconds; 0 where it is not known. Other writes don't count, as a reader that starts
   * with one can't tell whether it held.
   */
  basedAt: number
  /** When this process last asked for a restatement, Unix milliseconds. */
  restatedAt: number
}

/** Registers by kind and name. */
export interface RegisterTable {
  get: (register: string) => HeldRegister | undefined
  set: (register: string, held: HeldRegister) => void
  /** The registers of one kind, or of all kinds; removed ones too. */
  entries: (kind?: RegisterKind) => Iterable<[string, HeldRegister]>
  /** Removals of identity registers, which are forgotten, with their offsets. */
  forgotten: ReadonlyMap<string, number>
  /** Forgets a removed register and notes the offset. */
  forget: (register: string, offset: number) => void
  /** Drops the notes of removals up to the offset. */
  pruneForgotten: (upTo: number) => void
}

/** Makes an empty table. */
export function createRegisterTable (): RegisterTable {
  const byKind = new Map<RegisterKind, Map<string, HeldRegister>>()
  const forgotten = new Map<string, number>()

  function registersOf (register: string): Map<string, HeldRegister> | undefined {
    const kind = parseRegisterKind(register)
    return kind === undefined ? undefined : byKind.get(kind)
  }

  function * allEntries (): Iterable<[string, HeldRegister]> {
    for (const registers of byKind.values()) yield * registers
  }

  return {
    get: register => registersOf(register)?.get(register),
    set (register, held) {
      const kind = parseRegisterKind(register)
      if (kind === undefined) return
      const registers = byKind.get(kind) ?? new Map<string, HeldRegister>()
      byKind.set(kind, registers)
      registers.set(register, held)
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
