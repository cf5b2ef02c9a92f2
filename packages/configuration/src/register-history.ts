/** The last versions of each configuration register that this process applied. */
import type { RegisterChange } from '@baobabpost/platform-log'
import type { RegisterVersion } from './configuration.js'

/** Number of versions kept per register. */
export const MAXIMUM_HISTORY_VERSIONS = 20

/** Number of registers whose history is kept; the one that changed longest ago is evicted first. */
const MAXIMUM_HISTORY_REGISTERS = 5_000

export interface RegisterHistory {
  recordVersion: (change: RegisterChange, now: number) => void
  /** Returns the versions of a register, newest first. */
  read: (register: string) => readonly RegisterVersion[]
}

export function createRegisterHistory (): RegisterHistory {
  const histories = new Map<string, RegisterVersion[]>()
  return {
    recordVersion ({ register, version, previousVersion, value }, now) {
      const versions = histories.get(register) ?? []
      // Reinserted, so that the map is ordered by the time of the last change.
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
