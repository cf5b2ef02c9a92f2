/** The entries that the agent knows: those listed by entries, and those that send messages to the agent. */
import type { EntryIdentity } from '@baobabpost/common'
import type { EntryAddress } from '@baobabpost/messages'
import type { EntryPort } from './execution.js'
import { createEntryState, type EntryState } from './task-state.js'

export interface EntryRegistry {
  /** Finds an entry or adds it, and updates the time at which it was last seen. */
  recordContact: (identity: EntryIdentity, now: number) => EntryState
  find: (identity: EntryIdentity) => EntryState | undefined
  /** Handles the list of entries and addresses that an entry sent. */
  recordAddresses: (addresses: readonly EntryAddress[], now: number) => void
  /** Removes the entries that recent lists no longer contain; while no list arrives, all entries are kept. */
  removeGone: (onGone: (entry: EntryState) => void) => void
  all: () => ReadonlyMap<EntryIdentity, EntryState>
  /** Unix time of the last list of entries; 0 before the first. */
  lastListedAt: () => number
}

const ENTRY_EXPIRY_MILLISECONDS = 10_000

/**
 * Creates an empty registry of entries.
 *
 * @param port - Receives the addresses of entries, and the entries that were removed.
 */
export function createEntryRegistry (port: EntryPort): EntryRegistry {
  const entries = new Map<EntryIdentity, EntryState>()
  let lastListedAt = 0

  function recordContact (identity: EntryIdentity, now: number): EntryState {
    const known = entries.get(identity)
    if (known !== undefined) {
      known.lastSeenAt = now
      return known
    }
    const entry = createEntryState(identity, now)
    entries.set(identity, entry)
    return entry
  }

  return {
    recordContact,
    find: identity => entries.get(identity),
    recordAddresses (addresses, now) {
      lastListedAt = now
      for (const { identity, address } of addresses) {
        const entry = recordContact(identity, now)
        if (entry.address === address) continue
        entry.address = address
        port.setEntry(identity, address)
      }
    },
    removeGone (onGone) {
      for (const entry of entries.values()) {
        if (lastListedAt - entry.lastSeenAt <= ENTRY_EXPIRY_MILLISECONDS) continue
        entries.delete(entry.identity)
        onGone(entry)
        port.forgetEntry(entry.identity)
      }
    },
    all: () => entries,
    lastListedAt: () => lastListedAt
  }
}
