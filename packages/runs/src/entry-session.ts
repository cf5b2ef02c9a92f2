/** What an agent keeps for one entry: its lease and the reports that it has not acknowledged. */
import { ENTRY_LEASE_MILLISECONDS, type CallingEntry, type RunOutcome, type RunReport } from '@baobabpost/fleet-calls'

/** One incarnation of an entry as an agent knows it. */
export interface EntrySession {
  readonly entry: string
  readonly incarnation: string
  /** Agent's steady clock up to which the entry's runs may go on, in milliseconds. */
  leaseUntil: number
  reports: RunReport[]
  lastSequence: number
  /** Reports up to this one are to be told at once; later ones wait for the other runs of their group. */
  pressingSequence: number
}

/**
 * Makes the session of an entry that calls for the first time.
 *
 * @example
 * const session = createSession(caller)
 */
export function createSession (caller: CallingEntry): EntrySession {
  return {
    entry: caller.entry,
    incarnation: caller.incarnation,
    leaseUntil: 0,
    reports: [],
    lastSequence: 0,
    pressingSequence: 0
  }
}

/**
 * Renews an entry's lease from the newest agent time that it proves to have seen.
 *
 * @example
 * renewSession(session, watch.caller, now)
 */
export function renewSession (session: EntrySession, caller: CallingEntry, now: number): void {
  if (isFromEarlierAgentClock(caller, now)) return
  session.leaseUntil = Math.max(session.leaseUntil, caller.heardAt + ENTRY_LEASE_MILLISECONDS)
}

/** Whether a caller has seen a time that is not reached yet: an earlier incarnation of the agent told it. */
export function isFromEarlierAgentClock (caller: CallingEntry, now: number): boolean {
  return caller.heardAt > now
}

/** The end of a run, before it has a sequence number. */
export interface RunCompletion {
  readonly task: string
  readonly run: number
  readonly outcome: RunOutcome
  readonly reason: string
  readonly milliseconds: number
}

/** Adds a report for the entry; a pressing one, and those before it, are to be told at once. */
export function addReport (session: EntrySession, end: RunCompletion, pressing: boolean): void {
  session.lastSequence += 1
  session.reports.push({ sequence: session.lastSequence, ...end })
  if (pressing) session.pressingSequence = session.lastSequence
}

/** Whether a report is to be told at once. */
export function hasUrgentReport (session: EntrySession): boolean {
  const [report] = session.reports
  return report !== undefined && report.sequence <= session.pressingSequence
}

/** Forgets the reports that the entry has acknowledged. */
export function acknowledgeReports (session: EntrySession, acknowledged: number): void {
  if (session.reports[0] === undefined || session.reports[0].sequence > acknowledged) return
  session.reports = session.reports.filter(report => report.sequence > acknowledged)
}
