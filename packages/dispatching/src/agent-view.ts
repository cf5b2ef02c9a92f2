/** What an entry knows of one agent and its upstream. */
import { EMPTY_SIZE, type UpstreamProfile, type UpstreamLoad, type Size } from '@baobabpost/fleet-calls'
import { rankFor } from './preference.js'

/** An agent as an entry sees it. All times are of the entry's steady clock, in milliseconds. */
export interface AgentView {
  readonly name: string
  /** Where this entry ranks it for no other reason than that entries should differ, from 0 (first) to 1. */
  readonly preference: number
  address: string
  incarnation: string
  /** When that incarnation first answered: the one before was dead by then. */
  incarnationSince: number
  /** Whether runs of earlier incarnations may not have ended. */
  hasFormerRuns: boolean
  profile: UpstreamProfile | undefined
  room: UpstreamLoad
  /** Agent's clock in the newest answer. */
  heardAt: number
  /** When that answer arrived. */
  heardReceivedAt: number
  /** Last report that was taken in. */
  acknowledged: number
  /** Whether the last watch was answered. */
  reachable: boolean
  /** Since when nothing listens at its address; undefined while something does. */
  refusedSince: number | undefined
  /** Size of the tasks sent there that no answer of the agent covers yet. */
  unanswered: Size
  /** Last time at which an ejected agent was tried. */
  probedAt: number
}

const EMPTY_ROOM: UpstreamLoad = { free: EMPTY_SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 }

/**
 * Makes the view of an agent that nothing is known of but its address.
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
    incarnationSince: 0,
    hasFormerRuns: false,
    profile: undefined,
    room: EMPTY_ROOM,
    heardAt: 0,
    heardReceivedAt: 0,
    acknowledged: 0,
    reachable: false,
    refusedSince: undefined,
    unanswered: EMPTY_SIZE,
    probedAt: 0
  }
}

/** Whether new work may be sent to an agent. */
export function isUsable (view: AgentView): boolean {
  return view.reachable && view.profile?.accepting === true
}
