/** What an agent knows of one run. */
import type { RunOrder } from '@baobabpost/fleet-calls'
import type { EntrySession } from './entry-session.js'

/**
 * State of a run at an agent.
 *
 * - `waiting`: accepted, not ordered at the upstream;
 * - `ordered`: the order to start is under way;
 * - `unsure`: the order got no answer; it may be carried out, now or later;
 * - `running`: the upstream said so;
 * - `stopping`: it must not run any more; its end, or proof that it can't start, is awaited.
 */
export type RunState = 'waiting' | 'ordered' | 'unsure' | 'running' | 'stopping'

/** The runs that one start asked for: their ends are told together. */
export interface RunGroup {
  /** Runs that have not ended. */
  open: number
}

/** One run. */
export interface RunRecord {
  readonly order: RunOrder
  readonly session: EntrySession
  readonly group: RunGroup
  readonly specification: string
  readonly priority: number
  /** Agent time after which it no longer waits for room. */
  readonly patientUntil: number
  /** Agent time at which it was accepted. */
  readonly acceptedAt: number
  state: RunState
  /** Number of the run at the upstream: the entry's, or a higher one where the upstream has seen that. */
  upstreamRun: number
  runNumberAttempts: number
  /** Agent time of the order; 0 before. */
  orderedAt: number
  /** Whether the upstream ever said that it runs. */
  confirmed: boolean
  /** Progress at the last listing that showed more than the one before, 0 to 100 … */
  percent: number
  /** … and the agent time of that listing. */
  progressedAt: number
  /** Agent time from which on a listing without it proves that it is gone; undefined before its fate was asked for. */
  goneFrom: number | undefined
  /** Why it is stopped. */
  stopReason: string
  /** Whether another entry asked for the same task: its caller sent the job again. */
  superseded: boolean
}

/** Whether a run takes room at the upstream, or may yet. */
export function isBooked (record: RunRecord): boolean {
  return record.state !== 'waiting'
}
