/** Interface of the single calls at an entry. */
import type { AgentIdentity } from '@baobabpost/common'
import type { Problem, TaskOutcome } from '@baobabpost/messages'

export interface RequestCall {
  /** Identity of the call, assigned by the entry. */
  readonly request: string
  readonly template: string
  readonly customer: string
  readonly service: string
  readonly idempotent: boolean
  /** Unix time in milliseconds by which the caller wants the answer. */
  readonly answerBefore: number
  readonly expectedMilliseconds: number
}

/** Final result of a call. */
export type RequestResult =
  | { readonly kind: 'answer', readonly answer: unknown }
  | { readonly kind: 'problem', readonly problem: Problem }

/** Action that the entry performs for a call. Each attempt is dispatched as a submission with a single task. */
export type RequestAction =
  | {
    readonly kind: 'attempt'
    readonly request: string
    readonly attempt: string
    readonly excludedAgents: readonly AgentIdentity[]
  }
  | { readonly kind: 'withdraw', readonly attempt: string }
  | { readonly kind: 'answer', readonly request: string, readonly result: RequestResult }

/** Policy of the deployment for single calls. */
export interface RequestPolicy {
  /** Retries and hedges that the budget allows per success, from 0 to 1. */
  readonly retryShare: number
  /** Whether idempotent calls may be hedged. */
  readonly hedge: boolean
}

/**
 * Single calls of one entry, with retries and hedges within a budget.
 *
 * An attempt whose dispatch was not recorded is still in the entry's queue, so that a `withdraw` action guarantees that
 * it does not run. The entry performs the actions in the order in which they are returned.
 */
export interface Requests {
  begin: (call: RequestCall, now: number) => readonly RequestAction[]
  /** Records that the attempt was sent to an agent. */
  recordDispatch: (attempt: string, agent: AgentIdentity, now: number) => readonly RequestAction[]
  /**
   * Handles the end of an attempt: at an agent, in the queue (not run), or by the loss of its agent (outcome unknown).
   *
   * @param retryAfterMilliseconds - Time after which the caller may retry, where the refusal contained one.
   */
  recordOutcome: (
    attempt: string, outcome: TaskOutcome, now: number, retryAfterMilliseconds?: number
  ) => readonly RequestAction[]
  /** Handles the cancellation of a call by its caller: withdraws its attempts and gives no answer. */
  abandon: (request: string, now: number) => readonly RequestAction[]
  tick: (now: number) => readonly RequestAction[]
  setPolicy: (policy: RequestPolicy) => void
  /** Number of calls without an answer. */
  pending: () => number
}
