/** An agent's session of one entry: the entry's lease and the reports that it has not acknowledged. */
import type { CallingEntry, RunOutcome, RunReport, Stop } from '@baobabpost/fleet-calls'

/** A run of the entry that has started and of which no start order is open. */
interface ConfirmedRun {
  readonly task: string
  readonly run: number
  /** Clock of the first answer that named it; undefined before. */
  toldAt: number | undefined
}

/** Session of one incarnation of an entry. */
export interface EntrySession {
  readonly entry: string
  readonly incarnation: string
  /** Time of the agent's newest answer that this incarnation has received, as the answer told it; 0 without one. */
  heardAt: number
  /** End of the entry's lease on the agent's steady clock, in milliseconds; the entry's runs are stopped then. */
  leaseUntil: number
  reports: RunReport[]
  /** Runs of these reports, as `TASK RUN`. */
  reportedRuns: Set<string>
  /** Confirmed runs by task, until the entry has received an answer that names them or they have ended. */
  readonly confirmed: Map<string, ConfirmedRun>
  lastSequence: number
  /** Reports up to this sequence number are sent at once; later ones wait for the other runs of their group. */
  urgentSequence: number
}

/**
 * Creates the session of an entry that calls for the first time.
 *
 * @example
 * const session = createSession(caller)
 */
export function createSession (caller: CallingEntry): EntrySession {
  return {
    entry: caller.entry,
    incarnation: caller.incarnation,
    heardAt: 0,
    leaseUntil: 0,
    reports: [],
    reportedRuns: new Set(),
    confirmed: new Map(),
    lastSequence: 0,
    urgentSequence: 0
  }
}

/** Contents of a run report that has no sequence number yet. */
export interface RunCompletion {
  readonly task: string
  readonly run: number
  readonly outcome: RunOutcome
  readonly reason: string
  readonly milliseconds: number
  readonly openOrderMilliseconds?: number
}

function reportKey ({ task, run }: { readonly task: string, readonly run: number }): string {
  return `${task} ${run}`
}

/** Whether a report on a run has not been acknowledged. */
export function hasReport (session: EntrySession, task: string, run: number): boolean {
  return session.reportedRuns.has(reportKey({ task, run }))
}

/** Adds a report for the entry; an urgent one is sent at once, together with those before it. */
export function addReport (session: EntrySession, completion: RunCompletion, isUrgent: boolean): void {
  session.lastSequence += 1
  session.reports.push({ sequence: session.lastSequence, ...completion })
  session.reportedRuns.add(reportKey(completion))
  if (isUrgent) session.urgentSequence = session.lastSequence
}

/** Whether there is a report that must be sent at once. */
export function hasUrgentReport (session: EntrySession): boolean {
  const [report] = session.reports
  return report !== undefined && report.sequence <= session.urgentSequence
}

/** Drops the reports that the entry has acknowledged. */
export function acknowledgeReports (session: EntrySession, acknowledged: number): void {
  if (session.reports[0] === undefined || session.reports[0].sequence > acknowledged) return
  session.reports = session.reports.filter(report => report.sequence > acknowledged)
  session.reportedRuns = new Set(session.reports.map(reportKey))
}

/**
 * Returns the confirmed runs for an answer, and drops those that the entry has heard of.
 *
 * @param clock - Time that the answer carries.
 */
export function tellConfirmed (session: EntrySession, clock: number): Stop['runs'] {
  const told: Array<Stop['runs'][number]> = []
  for (const [task, confirmed] of session.confirmed) {
    if (confirmed.toldAt !== undefined && confirmed.toldAt <= session.heardAt) {
      session.confirmed.delete(task)
      continue
    }
    confirmed.toldAt ??= clock
    told.push({ task, run: confirmed.run })
  }
  return told
}
