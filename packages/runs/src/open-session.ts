/** Sessions of the entries' incarnations at an agent: which one is open, and the end of its lease. */
import { ENTRY_LEASE_MILLISECONDS, type CallingEntry } from '@baobabpost/fleet-calls'
import { createSession, type EntrySession } from './entry-session.js'
import { applyEvacuations } from './evacuations.js'
import { exceedFormerFence } from './fencing-token.js'
import { stopRun } from './stop-orders.js'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'

/**
 * Whether a call was meant for an earlier incarnation of this agent: its runs, report numbers and clock are not those
 * of this one. The clock tells it for an entry that does not name the incarnation.
 */
export function isForEarlierAgent (state: RunRegistryState, caller: CallingEntry, now: number): boolean {
  const isNamedEarlier = (caller.heardFrom ?? state.incarnation) !== state.incarnation
  return isNamedEarlier || caller.heardAt > toldClock(state, now)
}

/** Returns the time that answers to entries carry at `now`. */
export function toldClock (state: RunRegistryState, now: number): number {
  return now + state.suspendedMilliseconds
}

/** Returns the end of the lease that a call grants, counted from the newest answer that the entry has received. */
export function leaseEnd (state: RunRegistryState, caller: CallingEntry): number {
  return caller.heardAt - state.suspendedMilliseconds + ENTRY_LEASE_MILLISECONDS
}

/** Whether calls of this session count: no later incarnation of its entry has opened one. */
export function isOpen (state: RunRegistryState, session: EntrySession): boolean {
  return state.sessions.get(session.entry) === session
}

/** Renews an entry's lease by a call that shows when the entry last heard from this agent. */
function renewSession (state: RunRegistryState, session: EntrySession, caller: CallingEntry): void {
  session.heardAt = Math.max(session.heardAt, caller.heardAt)
  session.leaseUntil = Math.max(session.leaseUntil, leaseEnd(state, caller))
}

/**
 * Returns the session of a calling entry, with its lease renewed. A new incarnation opens one, and the runs of the
 * earlier one are stopped, with its first call that shows a later answer of this agent than the earlier one received.
 * Its call before that may be a late one of an earlier incarnation, and gets a session that isn't open.
 */
export function openSession (
  state: RunRegistryState, ports: RunRegistryPorts, caller: CallingEntry, now: number
): EntrySession {
  if (caller.formerFence !== undefined) exceedFormerFence(state, ports, caller.formerFence)
  if (caller.evacuations !== undefined) applyEvacuations(state, ports, caller.evacuations, caller.entry, now)
  const known = state.sessions.get(caller.entry)
  if (known?.incarnation === caller.incarnation) {
    if (!isForEarlierAgent(state, caller, now)) renewSession(state, known, caller)
    return known
  }
  const session = createSession(caller)
  const hasHeard = !isForEarlierAgent(state, caller, now)
  if (known !== undefined && (!hasHeard || caller.heardAt <= known.heardAt)) return session
  if (hasHeard) renewSession(state, session, caller)
  state.sessions.set(caller.entry, session)
  ports.logger.info('entry found', { entry: caller.entry, incarnation: caller.incarnation })
  if (known !== undefined) stopRunsOfEntry(state, ports, known, 'entry restarted', now)
  return session
}

/** Stops all runs that an entry's session started. */
export function stopRunsOfEntry (
  state: RunRegistryState, ports: RunRegistryPorts, session: EntrySession, reason: string, now: number
): void {
  for (const record of [...state.runsBySession.get(session) ?? []]) stopRun(state, ports, record, reason, now)
}
