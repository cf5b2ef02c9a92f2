/** The last versions of each configuration register that this process applied. */
import type { RegisterChange } from '@baobabpost/platform-log'
import type { RegisterVersion } from './configuration.js'

/** Versions that are kept of each register. */
export const MAXIMUM_HISTORY_VERSIONS = 20

/** Registers whose history is kept; the one that changed longest ago is dropped first. */
const MAXIMUM_HISTORY_REGISTERS = 5_000

/** History by register. */
export interface RegisterHistory {
  note: (change: RegisterChange, now: number) => void
  /** Newest first. */
  read: (register: string) => readonly RegisterVersion[]
}

/** Makes an empty history. */
export function createRegisterHistory (): RegisterHistory {
  const histories = new Map<string, RegisterVersion[]>()
  return {
    note ({ register, version, previousVersion, value }, now) {
      const versions = histories.get(register) ?? []
      // Set anew, so that the order of the map is that of the last changes.
      histories.delete(register)
      histories.set(register, versions)
      versions.unshift({ version, previousVersion, value, appliedAt: now })
      if (versions.length > MAXIMUM_HISTORY_VERSIONS) versions.pop()
      const [oldest] = histories.keys()
      if (oldest !== undefined && histories.size > MAXIMUM_HISTORY_REGISTERS) histories.delete(oldest)
    },
    read: register => histories.get(register) ?? []
  }
}
