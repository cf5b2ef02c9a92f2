/**
 * Single calls at the entry that received them. Each attempt is dispatched as a submission of one task that has no
 * partition owner.
 */
import type { AgentIdentity, Metrics } from '@baobabpost/common'
import type { AdmissionQueue, WaitingTask } from '@baobabpost/admission'
import type { ResolvedRequest } from '@baobabpost/configuration'
import type { DispatchGroup, JsonRecord, Outbox, SubmissionReport, TaskOutcome } from '@baobabpost/messages'
import type { RequestAction, RequestResult, Requests } from '@baobabpost/requests'

const FIRST_RESEND_DELAY_MILLISECONDS = 1_000

/** A call whose template and customer have been resolved against the configuration. */
export interface CallOperation {
  /** Identity of the call, unique in the fleet. */
  readonly requestId: string
  readonly resolved: ResolvedRequest
  readonly input: JsonRecord
  readonly idempotent: boolean
  /** Unix time in milliseconds by which the caller wants the answer. */
  readonly answerBefore: number
  /** Called once with the result, the time, and the agent of the last attempt that finished. */
  readonly answer: (result: RequestResult, now: number, agent: AgentIdentity | undefined) => void
}

interface Attempt {
  readonly call: CallOperation
  readonly id: string
  agent: AgentIdentity | undefined
  sentAt: number
  resendDelayMilliseconds: number
}

export interface CallsOptions {
  readonly requests: Requests
  readonly queue: AdmissionQueue
  readonly outbox: Outbox
  readonly metrics: Metrics
  /** Returns the run time that placement has learned for a template; undefined if it has learned none. */
  readonly expectedMilliseconds: (template: string) => number | undefined
  /** Called when an attempt is sent to its agent again. */
  readonly onResent: (attemptId: string) => void
}

export interface Calls {
  begin: (call: CallOperation, now: number) => void
  /** Cancels the call of a caller that has disconnected. */
  abandon: (requestId: string, now: number) => void
  /** Whether the submission is an attempt of a call. */
  owns: (submission: string) => boolean
  /** Records the dispatch of an attempt and builds its group; returns undefined if the attempt is no longer wanted. */
  dispatch: (attemptId: string, agent: AgentIdentity, now: number) => DispatchGroup | undefined
  /** Applies an agent's report about an attempt. */
  handleReport: (report: SubmissionReport, now: number) => void
  /** Handles an attempt whose start deadline passed while it waited in the queue. */
  handleExpiry: (attemptId: string, now: number) => void
  handleAgentDeparture: (agent: AgentIdentity, now: number) => void
  tick: (now: number) => void
  pendingCount: () => number
}

export function createCalls (options: CallsOptions): Calls {
  const { requests, queue, outbox } = options
  const calls = new Map<string, CallOperation>()
  const attempts = new Map<string, Attempt>()
  /** Agent of the last finished attempt of each call; undefined from the first attempt until one has finished. */
  const lastAgentByRequest = new Map<string, AgentIdentity | undefined>()

  function perform (actions: readonly RequestAction[], now: number): void {
    for (const action of actions) {
      switch (action.kind) {
        case 'attempt':
          enqueue(action.request, action.attempt, action.excludedAgents, now)
          break
        case 'withdraw':
          withdraw(action.attempt)
          break
        case 'answer':
          answer(action.request, action.result, now)
      }
    }
  }

  function enqueue (requestId: string, attemptId: string, excludedAgents: readonly string[], now: number): void {
    const call = calls.get(requestId)
    if (call === undefined) return
    if (lastAgentByRequest.has(requestId)) options.metrics.count('requests.retried.count')
    else lastAgentByRequest.set(requestId, undefined)
    attempts.set(attemptId, {
      call, id: attemptId, agent: undefined, sentAt: now, resendDelayMilliseconds: FIRST_RESEND_DELAY_MILLISECONDS
    })
    const { resolved } = call
    const task: WaitingTask = {
      submission: attemptId,
      index: 0,
      customer: resolved.customer,
      team: resolved.team,
      service: resolved.service,
      template: resolved.template,
      urgent: true,
      startBefore: call.answerBefore,
      waitingSince: now,
      expectedMilliseconds: options.expectedMilliseconds(resolved.template) ?? resolved.expectedMilliseconds,
      excludedAgents
    }
    const decision = queue.offer([task], now)
    if (decision.kind === 'admitted') return
    settleAttempt(attemptId, { status: 'not-run', reason: decision.reason }, now, decision.retryAfterMilliseconds)
  }

  function withdraw (attemptId: string): void {
    const attempt = attempts.get(attemptId)
    if (attempt === undefined) return
    attempts.delete(attemptId)
    if (attempt.agent === undefined) {
      queue.withdraw(attemptId)
      return
    }
    const selections = [{ submission: attemptId, indexes: [0] }]
    outbox.send(attempt.agent, { method: 'withdraw', parameters: { selections } })
  }

  function answer (requestId: string, result: RequestResult, now: number): void {
    const call = calls.get(requestId)
    if (call === undefined) return
    calls.delete(requestId)
    const agent = lastAgentByRequest.get(requestId)
    lastAgentByRequest.delete(requestId)
    call.answer(result, now, agent)
  }

  function settleAttempt (attemptId: string, outcome: TaskOutcome, now: number, retryAfterMilliseconds?: number): void {
    const attempt = attempts.get(attemptId)
    if (attempt === undefined) return
    attempts.delete(attemptId)
    const { requestId } = attempt.call
    if (calls.has(requestId)) lastAgentByRequest.set(requestId, attempt.agent)
    perform(requests.recordOutcome(attemptId, outcome, now, retryAfterMilliseconds), now)
  }

  function buildGroup (attempt: Attempt): DispatchGroup {
    const { resolved, input, answerBefore } = attempt.call
    return {
      header: {
        submission: attempt.id,
        digest: '',
        taskCount: 1,
        customer: resolved.customer,
        template: resolved.template
      },
      path: resolved.path,
      timeoutMilliseconds: resolved.timeoutMilliseconds,
      parameters: resolved.parameters,
      urgent: true,
      startBefore: answerBefore,
      tasks: [{ index: 0, input }]
    }
  }

  return {
    begin (call, now) {
      calls.set(call.requestId, call)
      const { resolved, requestId, idempotent, answerBefore } = call
      const expected = options.expectedMilliseconds(resolved.template) ?? resolved.expectedMilliseconds
      perform(requests.begin({
        request: requestId,
        template: resolved.template,
        customer: resolved.customer,
        service: resolved.service,
        idempotent,
        answerBefore,
        expectedMilliseconds: expected
      }, now), now)
    },

    abandon (requestId, now) {
      if (!calls.delete(requestId)) return
      lastAgentByRequest.delete(requestId)
      perform(requests.abandon(requestId, now), now)
    },

    owns: submission => attempts.has(submission),

    dispatch (attemptId, agent, now) {
      const attempt = attempts.get(attemptId)
      if (attempt === undefined) return undefined
      attempt.agent = agent
      attempt.sentAt = now
      perform(requests.recordDispatch(attemptId, agent, now), now)
      return buildGroup(attempt)
    },

    handleReport (report, now) {
      for (const task of report.tasks) settleAttempt(report.submission, task.outcome, now)
    },

    handleExpiry (attemptId, now) {
      settleAttempt(attemptId, { status: 'not-run', reason: 'deadline' }, now)
    },

    handleAgentDeparture (agent, now) {
      for (const attempt of [...attempts.values()]) {
        if (attempt.agent === agent) settleAttempt(attempt.id, { status: 'outcome-unknown', reason: 'agent-lost' }, now)
      }
    },

    tick (now) {
      perform(requests.tick(now), now)
      for (const attempt of attempts.values()) {
        if (attempt.agent === undefined || now - attempt.sentAt < attempt.resendDelayMilliseconds) continue
        attempt.sentAt = now
        attempt.resendDelayMilliseconds *= 2
        options.onResent(attempt.id)
        outbox.send(attempt.agent, { method: 'dispatch', parameters: { groups: [buildGroup(attempt)], backlog: 0 } })
      }
    },

    pendingCount: () => calls.size
  }
}
