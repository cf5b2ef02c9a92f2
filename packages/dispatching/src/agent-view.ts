/** An entry's view of one agent and its upstream. */
import {
  EMPTY_SIZE, LEASE_MARGIN_MILLISECONDS, UNTOLD_LEASES, type LeaseLengths, type Size, type UpstreamLoad,
  type UpstreamProfile
} from '@baobabpost/fleet-calls'
import { rankFor } from './preference.js'

/** An agent as an entry sees it. Times are on the entry's steady clock in milliseconds, unless stated otherwise. */
export interface AgentView {
  readonly name: string
  /** Rank of the agent for this entry, from 0 (first) to 1; breaks ties differently at each entry. */
  readonly preference: number
  address: string
  incarnation: string
  /** Incarnations before the current one; an answer of one of them comes late and counts no more. */
  readonly formerIncarnations: Set<string>
  /** When the current incarnation first answered; the previous one had ended before that. */
  incarnationSince: number
  /** Whether runs of earlier incarnations may still be running. */
  mayHaveFormerRuns: boolean
  /** When the incarnation that had these runs was first replaced; those in between started none. */
  formerRunsSince: number
  /** Longest run lease of the incarnations whose runs may still be running, in milliseconds. */
  formerRunLeaseMilliseconds: number
  /** Highest fencing token that the current incarnation told; 0 while it has told none. */
  fence: number
  /** Highest fencing token that earlier incarnations told; 0 if they told none. */
  formerFence: number
  /** Leases that the current incarnation keeps. */
  leases: LeaseLengths
  profile: UpstreamProfile | undefined
  load: UpstreamLoad
  /** Agent's steady clock in its newest answer, in milliseconds. */
  lastAgentClock: number
  /** When the newest answer arrived. */
  lastContactAt: number
  /** Sequence number of the last report that was processed. */
  acknowledgedSequence: number
  /** Set by every answer of the agent, cleared when a watch call fails or a start call gets no answer. */
  isReachable: boolean
  /** Total size of the tasks reserved or sent there whose start the agent has not answered yet. */
  unconfirmedSize: Size
  /** Whether the agent was last told that its failure domain is evacuated; false for a new incarnation. */
  isToldEvacuated: boolean
  /** When it answered again after a silence; undefined without one. Its share of the work rises again from then. */
  silentUntil: number | undefined
  /** Credit of an agent whose share of the work is below 1; it may be chosen at 1. */
  shareCredit: number
  /** Share of the work when it was last logged. */
  loggedShare: number
  /** When tasks were last sent there; spaces the probes of an ejected agent. */
  lastSentAt: number
}

const UNKNOWN_LOAD: UpstreamLoad = { free: EMPTY_SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 }

/**
 * Creates the view of an agent of which only the address is known.
 *
 * @example
 * const view = createAgentView('entry-1', 'agent-1', '10.1.0.14:7720')
 */
export function createAgentView (entry: string, name: string, address: string): AgentView {
  return {
    name,
    preference: rankFor(entry, name),
    address,
    incarnation: '',
    formerIncarnations: new Set(),
    incarnationSince: 0,
    mayHaveFormerRuns: false,
    formerRunsSince: 0,
    formerRunLeaseMilliseconds: 0,
    fence: 0,
    formerFence: 0,
    leases: UNTOLD_LEASES,
    profile: undefined,
    load: UNKNOWN_LOAD,
    lastAgentClock: 0,
    lastContactAt: 0,
    acknowledgedSequence: 0,
    isReachable: false,
    unconfirmedSize: EMPTY_SIZE,
    isToldEvacuated: false,
    silentUntil: undefined,
    shareCredit: 0,
    loggedShare: 1,
    lastSentAt: 0
  }
}

/** Whether new work may be sent to an agent. */
export function isUsable (view: AgentView): boolean {
  return view.isReachable && view.profile?.accepting === true
}

/** Returns the longest lease of the runs that an agent and its earlier incarnations may have, in milliseconds. */
export function longestRunLease (view: AgentView): number {
  return Math.max(view.leases.runMilliseconds, view.mayHaveFormerRuns ? view.formerRunLeaseMilliseconds : 0)
}

/** Returns the time by which a run has ended that an agent said to be stopping, even if no stop gets through. */
export function latestStoppedRunEnd (view: AgentView, now: number): number {
  return now + longestRunLease(view) + 2 * LEASE_MARGIN_MILLISECONDS
}

/**
 * Returns the time by which all runs of an unresponsive agent have ended, on the entry's steady clock. A refused
 * connection does not bring it forward: the agent may be behind a partition that refuses, and renew the run lease.
 */
export function latestRunEnd (view: AgentView): number {
  return view.lastContactAt + view.leases.entryMilliseconds + longestRunLease(view) + 2 * LEASE_MARGIN_MILLISECONDS
}
