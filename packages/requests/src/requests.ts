/** Contract of the single calls at an entry. */
import type { AgentIdentity } from '@baobabpost/common'
import type { Problem, TaskOutcome } from '@baobabpost/messages'

/** A single call as it was admitted. */
export interface RequestCall {
  /** Identity of the call, made by the entry. */
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

/** What the entry has to do for a call. An attempt is dispatched as a submission of one task of its own. */
export type RequestAction =
  | {
    readonly kind: 'attempt'
    readonly request: string
    readonly attempt: string
    readonly excludedAgents: readonly AgentIdentity[]
  }
  | { readonly kind: 'withdraw', readonly attempt: string }
  | { readonly kind: 'answer', readonly request: string, readonly result: RequestResult }

/** What the policy of the deployment says about single calls. */
export interface RequestPolicy {
  /** Retries and hedges as a share of successes, from 0 to 1. */
  readonly retryShare: number
  /** Whether idempotent calls may be hedged. */
  readonly hedge: boolean
}

/**
 * The single calls of one entry: retries and hedges within a budget.
 *
 * An attempt for which `dispatched` was not called is still in the entry's queue, so that a `withdraw` proves that it
 * does not run. The entry carries out the actions in their order.
 */
export interface Requests {
  begin: (call: RequestCall, now: number) => readonly RequestAction[]
  /** The attempt was sent to an agent. */
  recordDispatch: (attempt: string, agent: AgentIdentity, now: number) => readonly RequestAction[]
  /**
   * The attempt ended: at an agent, in the queue (not run), or with its agent (outcome unknown).
   *
   * @param retryAfterMilliseconds - When the caller may come back, where a refusal said so.
   */
  recordOutcome: (
    attempt: string, outcome: TaskOutcome, now: number, retryAfterMilliseconds?: number
  ) => readonly RequestAction[]
  /** The caller broke off. */
  abandon: (request: string, now: number) => readonly RequestAction[]
  tick: (now: number) => readonly RequestAction[]
  setPolicy: (policy: RequestPolicy) => void
  /** Number of calls that have no answer yet. */
  pending: () => number
}
