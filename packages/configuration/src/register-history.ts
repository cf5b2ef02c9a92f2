/** The last versions of each configuration register that this process applied. */
import type { RegisterChange } from '@baobabpost/platform-log'
import type { RegisterVersion } from './configuration.js'

/** Versions that are kept of each register. */
export const MAXIMUM_HISTORY_VERSIONS = 20

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
      histories.set(register, versions)
      versions.unshift({ version, previousVersion, value, appliedAt: now })
      if (versions.length > MAXIMUM_HISTORY_VERSIONS) versions.pop()
    },
    read: register => histories.get(register) ?? []
  }
}
