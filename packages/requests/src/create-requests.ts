/** State machine of the single calls of an entry. */
import { createIndexedHeap, type Random } from '@baobabpost/common'
import { createProblem, type NotRunReason, type Problem, type TaskOutcome } from '@baobabpost/messages'
import { type Attempt, type CallState, createCallState, excludeAgent, mayBeRunning, handlingOf } from './call-state.js'
import type { RequestAction, RequestPolicy, RequestResult, Requests } from './requests.js'
import { createResponseTimes } from './response-times.js'
import { createRetryBudget } from './retry-budget.js'

const INITIAL_RETRY_DELAY_MILLISECONDS = 20
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 1_000
const INITIAL_REDISPATCH_DELAY_MILLISECONDS = 2
const MAXIMUM_REDISPATCH_DELAY_MILLISECONDS = 100
const MAXIMUM_REDISPATCHES = 16
/** Attempts with an unknown outcome after which a call is not sent again: it may crash its upstreams. */
const MAXIMUM_UNKNOWN_OUTCOMES = 2
const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000

export interface RequestsOptions extends RequestPolicy {
  readonly random: Random
}

/**
 * Creates the state machine of the single calls, without calls.
 *
 * @example
 * const requests = createRequests({ random, retryShare: 0.1, hedge: false })
 * for (const action of requests.begin(call, now)) perform(action)
 */
export function createRequests (options: RequestsOptions): Requests {
  const budget = createRetryBudget(options.retryShare)
  const responseTimes = createResponseTimes()
  const calls = new Map<string, CallState>()
  const callsByAttempt = new Map<string, CallState>()
  const timers = createIndexedHeap<CallState>((left, right) => left.nextTimerAt < right.nextTimerAt)
  let mayHedge = options.hedge

  /** Exponential back-off with jitter: a random delay between half and all of a delay that doubles with each retry. */
  function backoffMilliseconds (initialMilliseconds: number, maximumMilliseconds: number, retries: number): number {
    const fullMilliseconds = Math.min(initialMilliseconds * 2 ** Math.min(retries, 20), maximumMilliseconds)
    return fullMilliseconds * (0.5 + options.random.fraction() / 2)
  }

  function setTimer (state: CallState): void {
    state.nextTimerAt = Math.min(state.call.answerBefore, state.retryAt, state.hedgeAt)
    timers.reposition(state)
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

  /** Removes a call and withdraws its attempts without an outcome. */
  function removeCall (state: CallState): RequestAction[] {
    const actions: RequestAction[] = []
    for (const attempt of state.attempts.keys()) {
      callsByAttempt.delete(attempt)
      actions.push({ kind: 'withdraw', attempt })
    }
    timers.remove(state)
    calls.delete(state.call.request)
    return actions
  }

  function answerCall (state: CallState, result: RequestResult): RequestAction[] {
    const actions = removeCall(state)
    actions.push({ kind: 'answer', request: state.call.request, result })
    return actions
  }

  /** Creates the problem that answers the call, according to all of its attempts and not just the last one. */
  function createFinalProblem (
    state: CallState, reason: NotRunReason, retryAfterMilliseconds: number | undefined
  ): Problem {
    const retryAfter = { retryAfterMilliseconds: retryAfterMilliseconds ?? DEFAULT_RETRY_AFTER_MILLISECONDS }
    const retryAfterIfIdempotent = state.call.idempotent ? retryAfter : {}
    if (state.combinedOutcome === 'unknown' || mayBeRunning(state)) {
      return createProblem('outcome-unknown', 'An attempt may have run; its answer did not come', retryAfterIfIdempotent)
    }
    if (state.combinedOutcome === 'failed') return createProblem('upstream-failed', state.failureDetail, retryAfterIfIdempotent)
    if (handlingOf(reason) === 'invalid') return createProblem('not-run-invalid', `Not run: ${reason}`, { reason })
    return createProblem('not-run', `Not run: ${reason}`, { reason, ...retryAfter })
  }

  function failCall (state: CallState, reason: NotRunReason, retryAfterMilliseconds?: number): RequestAction[] {
    return answerCall(state, { kind: 'problem', problem: createFinalProblem(state, reason, retryAfterMilliseconds) })
  }

  /** Schedules another attempt, or fails the call if the attempt can't start before the caller's deadline. */
  function scheduleAttempt (
    state: CallState, delayMilliseconds: number, reason: NotRunReason, now: number
  ): RequestAction[] {
    if (now + delayMilliseconds >= state.call.answerBefore) return failCall(state, reason)
    state.retryAt = now + delayMilliseconds
    setTimer(state)
    return []
  }

  /** Handles an attempt that failed or whose outcome is unknown. */
  function retryAfterRun (state: CallState, now: number): RequestAction[] {
    if (state.attempts.size > 0) return []
    if (!state.call.idempotent || state.unknownOutcomes >= MAXIMUM_UNKNOWN_OUTCOMES) return failCall(state, 'deadline')
    const delayMilliseconds = backoffMilliseconds(
      INITIAL_RETRY_DELAY_MILLISECONDS, MAXIMUM_RETRY_DELAY_MILLISECONDS, state.retryCount
    )
    if (now + delayMilliseconds >= state.call.answerBefore) return failCall(state, 'deadline')
    if (!budget.tryTake(state.call.service)) return failCall(state, 'deadline')
    state.retryCount += 1
    return scheduleAttempt(state, delayMilliseconds, 'deadline', now)
  }

  /** Handles an attempt that provably did not run. */
  function redispatchAfterNotRun (
    state: CallState, reason: NotRunReason, now: number, retryAfterMilliseconds: number | undefined
  ): RequestAction[] {
    if (state.attempts.size > 0) return []
    state.notRunAttempts += 1
    if (handlingOf(reason) !== 'try-elsewhere' || state.notRunAttempts > MAXIMUM_REDISPATCHES) {
      return failCall(state, reason, retryAfterMilliseconds)
    }
    const delayMilliseconds = backoffMilliseconds(
      INITIAL_REDISPATCH_DELAY_MILLISECONDS, MAXIMUM_REDISPATCH_DELAY_MILLISECONDS, state.notRunAttempts - 1
    )
    return scheduleAttempt(state, delayMilliseconds, reason, now)
  }

  function handleOutcome (
    state: CallState, attempt: Attempt, outcome: TaskOutcome, now: number, retryAfterMilliseconds: number | undefined
  ): RequestAction[] {
    switch (outcome.status) {
      case 'succeeded':
        budget.deposit(state.call.service)
        responseTimes.observe(state.call.template, now - attempt.dispatchedAt)
        return answerCall(state, { kind: 'answer', answer: outcome.answer })
      case 'failed':
        if (state.combinedOutcome === 'not-run') state.combinedOutcome = 'failed'
        state.failureDetail = outcome.detail
        excludeAgent(state, attempt.agent)
        return retryAfterRun(state, now)
      case 'outcome-unknown':
        state.combinedOutcome = 'unknown'
        state.unknownOutcomes += 1
        excludeAgent(state, attempt.agent)
        return retryAfterRun(state, now)
      case 'not-run':
        excludeAgent(state, attempt.agent)
        return redispatchAfterNotRun(state, outcome.reason, now, retryAfterMilliseconds)
    }
  }

  function startHedge (state: CallState): RequestAction[] {
    state.hedgeAt = Infinity
    setTimer(state)
    if (!mayHedge || state.attempts.size !== 1 || !mayBeRunning(state) || state.unknownOutcomes > 0) return []
    if (!budget.tryTake(state.call.service)) return []
    for (const attempt of state.attempts.values()) excludeAgent(state, attempt.agent)
    return [startAttempt(state)]
  }

  function handleTimer (state: CallState, now: number): RequestAction[] {
    if (state.call.answerBefore <= now) return failCall(state, 'deadline')
    if (state.retryAt <= now) return [startAttempt(state)]
    return startHedge(state)
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
      if (!mayHedge || !state.call.idempotent || state.attempts.size > 1) return []
      const hedgeDelayMilliseconds = responseTimes.hedgeDelayMilliseconds(state.call.template)
      if (hedgeDelayMilliseconds === undefined) return []
      state.hedgeAt = now + hedgeDelayMilliseconds
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
      return handleOutcome(state, attempt, outcome, now, retryAfterMilliseconds)
    },
    abandon: request => {
      const state = calls.get(request)
      return state === undefined ? [] : removeCall(state)
    },
    tick: now => {
      const actions: RequestAction[] = []
      for (;;) {
        const state = timers.first()
        if (state === undefined || state.nextTimerAt > now) return actions
        actions.push(...handleTimer(state, now))
      }
    },
    setPolicy: policy => {
      budget.setShare(policy.retryShare)
      mayHedge = policy.hedge
    },
    pending: () => calls.size
  }
}
