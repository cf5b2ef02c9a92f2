/** What is kept about one single call until its answer. */
import type { AgentIdentity, HeapItem } from '@baobabpost/common'
import type { NotRunReason } from '@baobabpost/messages'
import type { RequestCall } from './requests.js'

const MAXIMUM_EXCLUDED_AGENTS = 2

/** One attempt of a call. */
export interface Attempt {
  readonly name: string
  /** Where it was sent; undefined while it waits in the queue. */
  agent: AgentIdentity | undefined
  dispatchedAt: number
}

/** What ended attempts tell about the work: nothing of it ran, it ran and failed, or it may have run. */
export type CombinedOutcome = 'not-run' | 'failed' | 'unknown'

/** A call without an answer; `time` orders the heap of timers. */
export interface CallState extends HeapItem {
  readonly call: RequestCall
  /** Attempts without an outcome, by name. */
  readonly attempts: Map<string, Attempt>
  attemptCount: number
  notRunAttempts: number
  retryCount: number
  combinedOutcome: CombinedOutcome
  /** Detail of the last failure. */
  failureDetail: string
  excludedAgents: readonly AgentIdentity[]
  /** Unix times in milliseconds; Infinity where nothing is planned. */
  retryAt: number
  hedgeAt: number
  nextTimerAt: number
}

/** Makes the state of a call without attempts. */
export function createCallState (call: RequestCall): CallState {
  return {
    call,
    attempts: new Map(),
    attemptCount: 0,
    notRunAttempts: 0,
    retryCount: 0,
    combinedOutcome: 'not-run',
    failureDetail: '',
    excludedAgents: [],
    retryAt: Infinity,
    hedgeAt: Infinity,
    nextTimerAt: call.answerBefore,
    position: -1
  }
}

/** Adds an agent that further attempts should avoid; only the latest few are kept, so that some agent remains. */
export function excludeAgent (state: CallState, agent: AgentIdentity | undefined): void {
  if (agent === undefined || state.excludedAgents.includes(agent)) return
  state.excludedAgents = [...state.excludedAgents, agent].slice(-MAXIMUM_EXCLUDED_AGENTS)
}

/** Whether an attempt without an outcome may be running. */
export function mayBeRunning (state: CallState): boolean {
  for (const attempt of state.attempts.values()) if (attempt.agent !== undefined) return true
  return false
}

/** What a reason for not running means for a call. */
export type NotRunHandling = 'try-elsewhere' | 'invalid' | 'refused'

const HANDLING_BY_REASON: Readonly<Record<NotRunReason, NotRunHandling>> = {
  'stale-epoch': 'try-elsewhere',
  'lease-lapsed': 'try-elsewhere',
  expired: 'try-elsewhere',
  leaving: 'try-elsewhere',
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

/** Tells whether work that was not run for this reason may be tried again at once. */
export function handlingOf (reason: NotRunReason): NotRunHandling {
  return HANDLING_BY_REASON[reason]
}
