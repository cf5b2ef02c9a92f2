/** State of a single call until it is answered. */
import type { AgentIdentity, HeapItem } from '@baobabpost/common'
import type { NotRunReason } from '@baobabpost/messages'
import type { RequestCall } from './requests.js'

const MAXIMUM_EXCLUDED_AGENTS = 2

/** One attempt of a call. */
export interface Attempt {
  readonly name: string
  /** Agent that the attempt was sent to; undefined while the attempt waits in the queue. */
  agent: AgentIdentity | undefined
  dispatchedAt: number
}

/** Combined outcome of the ended attempts: none of them ran, one ran and failed, or one may have run. */
export type CombinedOutcome = 'not-run' | 'failed' | 'unknown'

/** State of a call without an answer; `nextTimerAt` orders the heap of timers. */
export interface CallState extends HeapItem {
  readonly call: RequestCall
  /** Attempts without an outcome, by their names. */
  readonly attempts: Map<string, Attempt>
  attemptCount: number
  notRunAttempts: number
  retryCount: number
  /** Number of attempts whose outcome is unknown: their upstream may have crashed under the call. */
  unknownOutcomes: number
  combinedOutcome: CombinedOutcome
  failureDetail: string
  excludedAgents: readonly AgentIdentity[]
  /** Unix time in milliseconds of the next retry; Infinity where none is scheduled. */
  retryAt: number
  /** Unix time in milliseconds of the hedge; Infinity where none is scheduled. */
  hedgeAt: number
  nextTimerAt: number
}

export function createCallState (call: RequestCall): CallState {
  return {
    call,
    attempts: new Map(),
    attemptCount: 0,
    notRunAttempts: 0,
    retryCount: 0,
    unknownOutcomes: 0,
    combinedOutcome: 'not-run',
    failureDetail: '',
    excludedAgents: [],
    retryAt: Infinity,
    hedgeAt: Infinity,
    nextTimerAt: call.answerBefore,
    position: -1
  }
}

/** Adds an agent that later attempts should avoid. Only the latest ones are kept, so that other agents remain. */
export function excludeAgent (state: CallState, agent: AgentIdentity | undefined): void {
  if (agent === undefined || state.excludedAgents.includes(agent)) return
  state.excludedAgents = [...state.excludedAgents, agent].slice(-MAXIMUM_EXCLUDED_AGENTS)
}

/** Whether an attempt without an outcome was sent to an agent and may be running. */
export function mayBeRunning (state: CallState): boolean {
  for (const attempt of state.attempts.values()) if (attempt.agent !== undefined) return true
  return false
}

/** How a call handles an attempt that did not run: send it to another agent, or fail as invalid or refused. */
export type NotRunHandling = 'try-elsewhere' | 'invalid' | 'refused'

const HANDLING_BY_REASON: Readonly<Record<NotRunReason, NotRunHandling>> = {
  'stale-epoch': 'try-elsewhere',
  'lease-lapsed': 'try-elsewhere',
  expired: 'try-elsewhere',
  leaving: 'try-elsewhere',
  evacuated: 'try-elsewhere',
  'window-exceeded': 'try-elsewhere',
  'owner-lost': 'try-elsewhere',
  withdrawn: 'try-elsewhere',
  'unknown-template': 'invalid',
  'unknown-customer': 'invalid',
  'unknown-parameter': 'invalid',
  'missing-parameter': 'invalid',
  overloaded: 'refused',
  deadline: 'refused',
  quota: 'refused',
  stopping: 'refused',
  'no-owner': 'refused',
  'no-worker': 'refused',
  cancelled: 'refused'
}

export function handlingOf (reason: NotRunReason): NotRunHandling {
  return HANDLING_BY_REASON[reason]
}
