/** Builds the state machine of the single calls of an entry. */
import { createIndexedHeap, type Random } from '@baobabpost/common'
import { createProblem, type NotRunReason, type Problem, type TaskOutcome } from '@baobabpost/messages'
import { type Attempt, type CallState, createCallState, excludeAgent, mayBeRunning, meaningOf } from './call-state.js'
import type { RequestAction, RequestPolicy, RequestResult, Requests } from './requests.js'
import { createResponseTimes } from './response-times.js'
import { createRetryBudget } from './retry-budget.js'

const FIRST_REPEAT_MILLISECONDS = 20
const LONGEST_REPEAT_MILLISECONDS = 1_000
const FIRST_ELSEWHERE_MILLISECONDS = 2
const LONGEST_ELSEWHERE_MILLISECONDS = 100
const MOST_ELSEWHERE = 16
const RETRY_AFTER_MILLISECONDS = 1_000

/** What the single calls need. */
export interface RequestsOptions extends RequestPolicy {
  readonly random: Random
}

/**
 * Makes the state machine of the single calls, without calls.
 *
 * @example
 * const requests = createRequests({ random, retryShare: 0.1, hedge: false })
 * for (const action of requests.begin(call, now)) carryOut(action)
 */
export function createRequests (options: RequestsOptions): Requests {
  const budget = createRetryBudget(options.retryShare)
  const responseTimes = createResponseTimes()
  const calls = new Map<string, CallState>()
  const callsByAttempt = new Map<string, CallState>()
  const timers = createIndexedHeap<CallState>((left, right) => left.time < right.time)
  let hedge = options.hedge

  /** A delay that doubles with each repeat, of which a random half is left out. */
  function backOff (first: number, longest: number, repeats: number): number {
    const whole = Math.min(first * 2 ** Math.min(repeats, 20), longest)
    return whole * (0.5 + options.random.fraction() / 2)
  }

  function setTimer (state: CallState): void {
    state.time = Math.min(state.call.answerBefore, state.retryAt, state.hedgeAt)
    timers.moved(state)
  }

  function startAttempt (state: CallState): RequestAction {
    const { request } = state.call
    state.attemptCount += 1
    state.retryAt = Infinity
    const attempt: Attempt = { name: `${request}#${state.attemptCount}`, agent: undefined, dispatchedAt: 0 }
    state.attempts.set(attempt.name, attempt)
    callsByAttempt.set(attempt.name, state)
    setTimer(state)
    return { kind: 'attempt', request, attempt: attempt.name, excludedAgents: state.excludedAgents }
  }

  /** Forgets a call; its attempts without an outcome are withdrawn. */
  function forget (state: CallState): RequestAction[] {
    const actions: RequestAction[] = []
    for (const attempt of state.attempts.keys()) {
      callsByAttempt.delete(attempt)
      actions.push({ kind: 'withdraw', attempt })
    }
    timers.remove(state)
    calls.delete(state.call.request)
    return actions
  }

  function answer (state: CallState, result: RequestResult): RequestAction[] {
    const actions = forget(state)
    actions.push({ kind: 'answer', request: state.call.request, result })
    return actions
  }

  /** The final problem: it tells what is known of all attempts, not of the last one only. */
  function problemOf (state: CallState, reason: NotRunReason, retryAfterMilliseconds: number | undefined): Problem {
    const comeBack = { retryAfterMilliseconds: retryAfterMilliseconds ?? RETRY_AFTER_MILLISECONDS }
    const again = state.call.idempotent ? comeBack : {}
    if (state.ended === 'unknown' || mayBeRunning(state)) {
      return createProblem('outcome-unknown', 'An attempt may have run; its answer did not come', again)
    }
    if (state.ended === 'failed') return createProblem('upstream-failed', state.detail, again)
    if (meaningOf(reason) === 'invalid') return createProblem('not-run-invalid', `Not run: ${reason}`, { reason })
    return createProblem('not-run', `Not run: ${reason}`, { reason, ...comeBack })
  }

  function giveUp (state: CallState, reason: NotRunReason, retryAfterMilliseconds?: number): RequestAction[] {
    return answer(state, { kind: 'problem', problem: problemOf(state, reason, retryAfterMilliseconds) })
  }

  /** Plans another attempt, or gives up if that can't end in time. */
  function planRetry (state: CallState, delay: number, reason: NotRunReason, now: number): RequestAction[] {
    if (now + delay >= state.call.answerBefore) return giveUp(state, reason)
    state.retryAt = now + delay
    setTimer(state)
    return []
  }

  /** An attempt ran, or may have run, without an answer. */
  function repeat (state: CallState, now: number): RequestAction[] {
    if (state.attempts.size > 0) return []
    if (!state.call.idempotent) return giveUp(state, 'deadline')
    const delay = backOff(FIRST_REPEAT_MILLISECONDS, LONGEST_REPEAT_MILLISECONDS, state.repeatCount)
    if (now + delay >= state.call.answerBefore) return giveUp(state, 'deadline')
    if (!budget.take(state.call.service)) return giveUp(state, 'deadline')
    state.repeatCount += 1
    return planRetry(state, delay, 'deadline', now)
  }

  /** An attempt provably did not run. */
  function tryElsewhere (
    state: CallState, reason: NotRunReason, now: number, retryAfterMilliseconds: number | undefined
  ): RequestAction[] {
    if (state.attempts.size > 0) return []
    state.notRunCount += 1
    if (meaningOf(reason) !== 'try-elsewhere' || state.notRunCount > MOST_ELSEWHERE) {
      return giveUp(state, reason, retryAfterMilliseconds)
    }
    const delay = backOff(FIRST_ELSEWHERE_MILLISECONDS, LONGEST_ELSEWHERE_MILLISECONDS, state.notRunCount - 1)
    return planRetry(state, delay, reason, now)
  }

  function noteOutcome (
    state: CallState, attempt: Attempt, outcome: TaskOutcome, now: number, retryAfterMilliseconds: number | undefined
  ): RequestAction[] {
    switch (outcome.status) {
      case 'succeeded':
        budget.earn(state.call.service)
        responseTimes.observe(state.call.template, now - attempt.dispatchedAt)
        return answer(state, { kind: 'answer', answer: outcome.answer })
      case 'failed':
        if (state.ended === 'not-run') state.ended = 'failed'
        state.detail = outcome.detail
        excludeAgent(state, attempt.agent)
        return repeat(state, now)
      case 'outcome-unknown':
        state.ended = 'unknown'
        excludeAgent(state, attempt.agent)
        return repeat(state, now)
      case 'not-run':
        excludeAgent(state, attempt.agent)
        return tryElsewhere(state, outcome.reason, now, retryAfterMilliseconds)
    }
  }

  function hedgeNow (state: CallState): RequestAction[] {
    state.hedgeAt = Infinity
    setTimer(state)
    if (!hedge || state.attempts.size !== 1 || !mayBeRunning(state)) return []
    if (!budget.take(state.call.service)) return []
    for (const attempt of state.attempts.values()) excludeAgent(state, attempt.agent)
    return [startAttempt(state)]
  }

  function expireTimer (state: CallState, now: number): RequestAction[] {
    if (state.call.answerBefore <= now) return giveUp(state, 'deadline')
    if (state.retryAt <= now) return [startAttempt(state)]
    return hedgeNow(state)
  }

  return {
    begin: call => {
      const state = createCallState(call)
      calls.set(call.request, state)
      timers.add(state)
      return [startAttempt(state)]
    },
    recordDispatch: (name, agent, now) => {
      const state = callsByAttempt.get(name)
      const attempt = state?.attempts.get(name)
      if (state === undefined || attempt === undefined) return []
      attempt.agent = agent
      attempt.dispatchedAt = now
      if (!hedge || !state.call.idempotent || state.attempts.size > 1) return []
      const high = responseTimes.highMilliseconds(state.call.template)
      if (high === undefined) return []
      state.hedgeAt = now + high
      setTimer(state)
      return []
    },
    recordOutcome: (name, outcome, now, retryAfterMilliseconds) => {
      const state = callsByAttempt.get(name)
      const attempt = state?.attempts.get(name)
      if (state === undefined || attempt === undefined) return []
      state.attempts.delete(name)
      callsByAttempt.delete(name)
      state.hedgeAt = Infinity
      setTimer(state)
      return noteOutcome(state, attempt, outcome, now, retryAfterMilliseconds)
    },
    abandon: request => {
      const state = calls.get(request)
      return state === undefined ? [] : forget(state)
    },
    tick: now => {
      const actions: RequestAction[] = []
      for (;;) {
        const state = timers.first()
        if (state === undefined || state.time > now) return actions
        actions.push(...expireTimer(state, now))
      }
    },
    setPolicy: policy => {
      budget.setShare(policy.retryShare)
      hedge = policy.hedge
    },
    pending: () => calls.size
  }
}
