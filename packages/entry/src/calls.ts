/** Single calls at the entry where they arrive: each attempt travels as a submission of one task without an owner. */
import type { AgentIdentity, Metrics } from '@baobabpost/common'
import type { AdmissionQueue, WaitingTask } from '@baobabpost/admission'
import type { ResolvedRequest } from '@baobabpost/configuration'
import type { DispatchGroup, JsonRecord, Outbox, SubmissionReport, TaskOutcome } from '@baobabpost/messages'
import type { RequestAction, RequestResult, Requests } from '@baobabpost/requests'

const RESEND_MILLISECONDS = 1_000

/** A call as it arrived, resolved. */
export interface CallOperation {
  /** Identity of the call, unique in the fleet. */
  readonly request: string
  readonly resolved: ResolvedRequest
  readonly input: JsonRecord
  readonly idempotent: boolean
  /** Unix time in milliseconds by which the caller wants the answer. */
  readonly answerBefore: number
  /** Called once with the result, the time, and the agent that had the last attempt to end. */
  readonly answer: (result: RequestResult, now: number, agent: AgentIdentity | undefined) => void
}

interface Attempt {
  readonly call: CallOperation
  readonly attempt: string
  agent: AgentIdentity | undefined
  sentAt: number
  resendMilliseconds: number
}

/** What the calls need. */
export interface CallsOptions {
  readonly requests: Requests
  readonly queue: AdmissionQueue
  readonly outbox: Outbox
  readonly metrics: Metrics
  /** Learned run time of a template in milliseconds, if any. */
  readonly expectedMilliseconds: (template: string) => number | undefined
  /** Told of an attempt that is sent again to its agent. */
  readonly onResent: (attempt: string) => void
}

/** Single calls of one entry. */
export interface Calls {
  begin: (call: CallOperation, now: number) => void
  /** The caller broke off. */
  abandon: (request: string, now: number) => void
  /** Whether the submission is an attempt of a call. */
  owns: (submission: string) => boolean
  /** Notes an attempt as dispatched and builds its group; undefined where it is no longer wanted. */
  dispatch: (attempt: string, agent: AgentIdentity, now: number) => DispatchGroup | undefined
  /** Takes in a report about an attempt. */
  report: (report: SubmissionReport, now: number) => void
  /** The attempt's time to start passed in the queue. */
  expired: (attempt: string, now: number) => void
  agentDeparted: (agent: AgentIdentity, now: number) => void
  tick: (now: number) => void
  pending: () => number
}

/** Makes the calls of an entry. */
export function createCalls (options: CallsOptions): Calls {
  const { requests, queue, outbox } = options
  const calls = new Map<string, CallOperation>()
  const attempts = new Map<string, Attempt>()
  /** Calls that were tried, with the agent of the last attempt that ended. */
  const lastAgents = new Map<string, AgentIdentity | undefined>()

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

  function enqueue (request: string, attempt: string, excludedAgents: readonly string[], now: number): void {
    const call = calls.get(request)
    if (call === undefined) return
    if (lastAgents.has(request)) options.metrics.count('requests.retried.count')
    else lastAgents.set(request, undefined)
    attempts.set(attempt, { call, attempt, agent: undefined, sentAt: now, resendMilliseconds: RESEND_MILLISECONDS })
    const { resolved } = call
    const task: WaitingTask = {
      submission: attempt,
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
    settle(attempt, { status: 'not-run', reason: decision.reason }, now, decision.retryAfterMilliseconds)
  }

  function withdraw (name: string): void {
    const attempt = attempts.get(name)
    if (attempt === undefined) return
    attempts.delete(name)
    if (attempt.agent === undefined) {
      queue.withdraw(name)
      return
    }
    const selections = [{ submission: name, indexes: [0] }]
    outbox.send(attempt.agent, { method: 'withdraw', parameters: { selections } })
  }

  function answer (request: string, result: RequestResult, now: number): void {
    const call = calls.get(request)
    if (call === undefined) return
    calls.delete(request)
    const agent = lastAgents.get(request)
    lastAgents.delete(request)
    call.answer(result, now, agent)
  }

  function settle (name: string, outcome: TaskOutcome, now: number, retryAfterMilliseconds?: number): void {
    const attempt = attempts.get(name)
    if (attempt === undefined) return
    attempts.delete(name)
    const { request } = attempt.call
    if (calls.has(request)) lastAgents.set(request, attempt.agent)
    perform(requests.recordOutcome(name, outcome, now, retryAfterMilliseconds), now)
  }

  function groupOf (attempt: Attempt): DispatchGroup {
    const { resolved, input, answerBefore } = attempt.call
    return {
      header: {
        submission: attempt.attempt,
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
      calls.set(call.request, call)
      const { resolved, request, idempotent, answerBefore } = call
      const expected = options.expectedMilliseconds(resolved.template) ?? resolved.expectedMilliseconds
      perform(requests.begin({
        request,
        template: resolved.template,
        customer: resolved.customer,
        service: resolved.service,
        idempotent,
        answerBefore,
        expectedMilliseconds: expected
      }, now), now)
    },

    abandon (request, now) {
      if (!calls.delete(request)) return
      lastAgents.delete(request)
      perform(requests.abandon(request, now), now)
    },

    owns: submission => attempts.has(submission),

    dispatch (name, agent, now) {
      const attempt = attempts.get(name)
      if (attempt === undefined) return undefined
      attempt.agent = agent
      attempt.sentAt = now
      perform(requests.recordDispatch(name, agent, now), now)
      return groupOf(attempt)
    },

    report (report, now) {
      for (const task of report.tasks) settle(report.submission, task.outcome, now)
    },

    expired (name, now) {
      settle(name, { status: 'not-run', reason: 'deadline' }, now)
    },

    agentDeparted (agent, now) {
      for (const attempt of [...attempts.values()]) {
        if (attempt.agent === agent) settle(attempt.attempt, { status: 'outcome-unknown', reason: 'agent-lost' }, now)
      }
    },

    tick (now) {
      perform(requests.tick(now), now)
      for (const attempt of attempts.values()) {
        if (attempt.agent === undefined || now - attempt.sentAt < attempt.resendMilliseconds) continue
        attempt.sentAt = now
        attempt.resendMilliseconds *= 2
        options.onResent(attempt.attempt)
        outbox.send(attempt.agent, { method: 'dispatch', parameters: { groups: [groupOf(attempt)], backlog: 0 } })
      }
    },

    pending: () => calls.size
  }
}
