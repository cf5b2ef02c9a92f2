/** The entries that the agent deals with: those that entries name, and those that speak to it. */
import type { EntryIdentity } from '@baobabpost/common'
import type { EntryAddress } from '@baobabpost/messages'
import type { EntryPort } from './execution.js'
import { createEntryState, type EntryState } from './task-state.js'

/** The known entries. */
export interface EntryBook {
  /** Finds an entry or begins to know it. */
  heard: (identity: EntryIdentity, now: number) => EntryState
  find: (identity: EntryIdentity) => EntryState | undefined
  /** An entry named all of these. */
  named: (addresses: readonly EntryAddress[], now: number) => void
  /** Drops the entries that nobody named while others were named; without any naming, all stay. */
  forgetGone: (onGone: (entry: EntryState) => void) => void
  all: () => ReadonlyMap<EntryIdentity, EntryState>
  /** Unix time of the last naming; 0 before the first. */
  lastNamedAt: () => number
}

const GONE_AFTER_MILLISECONDS = 10_000

/**
 * Makes the book of entries of an agent.
 *
 * @param port - Is told addresses, and which entries are gone.
 */
export function createEntryBook (port: EntryPort): EntryBook {
  const entries = new Map<EntryIdentity, EntryState>()
  let lastNamedAt = 0

  function heard (identity: EntryIdentity, now: number): EntryState {
    const known = entries.get(identity)
    if (known !== undefined) {
      known.namedAt = now
      return known
    }
    const entry = createEntryState(identity, now)
    entries.set(identity, entry)
    return entry
  }

  return {
    heard,
    find: identity => entries.get(identity),
    named (addresses, now) {
      lastNamedAt = now
      for (const { identity, address } of addresses) {
        const entry = heard(identity, now)
        if (entry.address === address) continue
        entry.address = address
        port.setEntry(identity, address)
      }
    },
    forgetGone (onGone) {
      for (const entry of entries.values()) {
        if (lastNamedAt - entry.namedAt <= GONE_AFTER_MILLISECONDS) continue
        entries.delete(entry.identity)
        onGone(entry)
        port.forgetEntry(entry.identity)
      }
    },
    all: () => entries,
    lastNamedAt: () => lastNamedAt
  }
}
