import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { type AgentIdentity, createAgentIdentity, createRandom } from '@baobabpost/common'
import type { NotRunReason, TaskOutcome } from '@baobabpost/messages'
import { createRequests, type RequestAction, type RequestCall, type Requests } from '@baobabpost/requests'

const NOW = 1_000_000
const AGENT = createAgentIdentity('agent-1')
const OTHER_AGENT = createAgentIdentity('agent-2')
const SUCCEEDED: TaskOutcome = { status: 'succeeded', answer: 1 }
const FAILED: TaskOutcome = { status: 'failed', detail: 'status 500' }
const LOST: TaskOutcome = { status: 'outcome-unknown', reason: 'agent-lost' }

function notRun (reason: NotRunReason): TaskOutcome {
  return { status: 'not-run', reason }
}

function callOf (fields: Partial<RequestCall> = {}): RequestCall {
  return {
    request: 'call',
    template: 'checkout',
    customer: 'dakar',
    service: 'desk',
    idempotent: true,
    answerBefore: NOW + 5_000,
    expectedMilliseconds: 100,
    ...fields
  }
}

function machineOf (fields: { retryShare?: number, hedge?: boolean } = {}): Requests {
  return createRequests({ random: createRandom(7), retryShare: 0.1, hedge: false, ...fields })
}

/** Begins a call and dispatches its first attempt. */
function dispatchCall (requests: Requests, call: RequestCall, agent: AgentIdentity = AGENT, now = NOW): string {
  const attempt = attemptOf(requests.begin(call, now))
  requests.recordDispatch(attempt, agent, now)
  return attempt
}

function attemptOf (actions: readonly RequestAction[]): string {
  for (const action of actions) if (action.kind === 'attempt') return action.attempt
  throw new Error('no attempt among the actions')
}

function kindsOf (actions: readonly RequestAction[]): string[] {
  return actions.map(action => action.kind)
}

function problemOf (actions: readonly RequestAction[]): unknown {
  for (const action of actions) {
    if (action.kind === 'answer' && action.result.kind === 'problem') return action.result.problem
  }
  return undefined
}

describe('idempotent calls', () => {
  it('are repeated elsewhere after a failure', () => {
    const requests = machineOf()
    const attempt = dispatchCall(requests, callOf())
    expect(requests.recordOutcome(attempt, FAILED, NOW + 100)).toEqual([])
    const [second] = requests.tick(NOW + 200)
    expect(second).toMatchObject({ kind: 'attempt', excludedAgents: [AGENT] })
  })

  it('get the final answer at once when the budget is spent, with a time to come back', () => {
    const requests = machineOf({ retryShare: 0 })
    const attempt = dispatchCall(requests, callOf())
    const problem = problemOf(requests.recordOutcome(attempt, FAILED, NOW + 100))
    expect(problem).toMatchObject({ kind: 'upstream-failed', retryAfterMilliseconds: 1_000 })
    expect(requests.pending()).toBe(0)
  })

  it('are told as unknown when an earlier attempt may have run, though the last one did not', () => {
    const requests = machineOf()
    const first = dispatchCall(requests, callOf())
    requests.recordOutcome(first, LOST, NOW + 100)
    const second = attemptOf(requests.tick(NOW + 200))
    const problem = problemOf(requests.recordOutcome(second, notRun('overloaded'), NOW + 200, 700))
    expect(problem).toMatchObject({ kind: 'outcome-unknown', ran: 'unknown', retryAfterMilliseconds: 700 })
  })

  it('are hedged only under a policy that allows it, and the first answer withdraws the other attempt', () => {
    const requests = machineOf({ hedge: true, retryShare: 0.1 })
    for (let count = 0; count < 30; count += 1) {
      const attempt = dispatchCall(requests, callOf({ request: `warm-${count}` }))
      requests.recordOutcome(attempt, SUCCEEDED, NOW + 100)
    }
    const first = dispatchCall(requests, callOf())
    expect(requests.tick(NOW + 99)).toEqual([])
    const second = attemptOf(requests.tick(NOW + 150))
    requests.recordDispatch(second, OTHER_AGENT, NOW + 150)
    const actions = requests.recordOutcome(second, SUCCEEDED, NOW + 240)
    expect(actions).toMatchObject([{ kind: 'withdraw', attempt: first }, { kind: 'answer', result: { kind: 'answer' } }])
    expect(requests.recordOutcome(first, SUCCEEDED, NOW + 900)).toEqual([])
  })

  it('wait for the other attempt when one of two fails', () => {
    const requests = machineOf({ hedge: true })
    for (let count = 0; count < 30; count += 1) {
      requests.recordOutcome(dispatchCall(requests, callOf({ request: `warm-${count}` })), SUCCEEDED, NOW + 100)
    }
    const first = dispatchCall(requests, callOf())
    const second = attemptOf(requests.tick(NOW + 150))
    requests.recordDispatch(second, OTHER_AGENT, NOW + 150)
    expect(requests.recordOutcome(first, FAILED, NOW + 200)).toEqual([])
    expect(kindsOf(requests.recordOutcome(second, SUCCEEDED, NOW + 240))).toEqual(['answer'])
  })
})

describe('non-idempotent calls', () => {
  it('get outcome-unknown at once when their agent is lost', () => {
    const requests = machineOf()
    const attempt = dispatchCall(requests, callOf({ idempotent: false }))
    expect(problemOf(requests.recordOutcome(attempt, LOST, NOW + 1))).toMatchObject({ kind: 'outcome-unknown' })
  })

  it('go to another agent on proof that they did not run', () => {
    const requests = machineOf()
    const attempt = dispatchCall(requests, callOf({ idempotent: false }))
    expect(requests.recordOutcome(attempt, notRun('leaving'), NOW + 1)).toEqual([])
    expect(requests.tick(NOW + 10)).toMatchObject([{ kind: 'attempt', excludedAgents: [AGENT] }])
  })

  it('never have two attempts that may start, whatever happens', () => {
    const outcomes: TaskOutcome[] = [SUCCEEDED, FAILED, LOST, notRun('leaving'), notRun('expired'), notRun('overloaded')]
    const step = fc.record({ outcome: fc.constantFrom(...outcomes), pick: fc.nat(9), wait: fc.nat(300) })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), fc.boolean(), (steps, hedge) => {
      const requests = machineOf({ hedge, retryShare: 1 })
      let now = NOW
      const open = new Map<string, string>()
      const ran = new Set<string>()
      const answered = new Set<string>()
      const carryOut = (actions: readonly RequestAction[]): void => {
        for (const action of actions) {
          if (action.kind === 'withdraw') open.delete(action.attempt)
          if (action.kind === 'answer') {
            expect(answered.has(action.request)).toBe(false)
            answered.add(action.request)
            const { result } = action
            if (result.kind === 'problem' && result.problem.ran === 'no') expect(ran.has(action.request)).toBe(false)
          }
          if (action.kind !== 'attempt') continue
          expect(ran.has(action.request)).toBe(false)
          expect([...open.values()]).not.toContain(action.request)
          open.set(action.attempt, action.request)
          carryOut(requests.recordDispatch(action.attempt, AGENT, now))
        }
      }
      for (let call = 0; call < 5; call += 1) {
        carryOut(requests.begin(callOf({ request: `call-${call}`, idempotent: false, answerBefore: now + 2_000 }), now))
      }
      for (const { outcome, pick, wait } of steps) {
        now += wait
        carryOut(requests.tick(now))
        const names = [...open.keys()]
        const attempt = names[pick % Math.max(1, names.length)]
        if (attempt === undefined) continue
        const request = open.get(attempt)!
        open.delete(attempt)
        if (outcome.status !== 'not-run') ran.add(request)
        carryOut(requests.recordOutcome(attempt, outcome, now))
      }
      carryOut(requests.tick(now + 10_000))
      expect(answered.size).toBe(5)
      expect(requests.pending()).toBe(0)
    }))
  })
})

describe('deadlines', () => {
  it('of a call that still waits in the queue withdraw it first and then say not-run', () => {
    const requests = machineOf()
    requests.begin(callOf({ answerBefore: NOW + 50 }), NOW)
    const actions = requests.tick(NOW + 50)
    expect(kindsOf(actions)).toEqual(['withdraw', 'answer'])
    expect(problemOf(actions)).toMatchObject({ kind: 'not-run', reason: 'deadline', ran: 'no' })
  })

  it('of a call that may be running say outcome-unknown', () => {
    const requests = machineOf()
    dispatchCall(requests, callOf({ answerBefore: NOW + 50 }))
    expect(problemOf(requests.tick(NOW + 50))).toMatchObject({ kind: 'outcome-unknown' })
  })

  it('that a retry can not meet give the answer at once', () => {
    const requests = machineOf()
    const attempt = dispatchCall(requests, callOf({ answerBefore: NOW + 105 }))
    expect(problemOf(requests.recordOutcome(attempt, FAILED, NOW + 100))).toMatchObject({ kind: 'upstream-failed' })
  })
})

describe('refusals', () => {
  it('of the entry itself are final and carry the time to come back', () => {
    const requests = machineOf()
    const attempt = attemptOf(requests.begin(callOf(), NOW))
    const problem = problemOf(requests.recordOutcome(attempt, notRun('overloaded'), NOW, 400))
    expect(problem).toMatchObject({ kind: 'not-run', reason: 'overloaded', retryAfterMilliseconds: 400 })
  })

  it('that never end are given up after a bounded number', () => {
    const requests = machineOf()
    let attempt = attemptOf(requests.begin(callOf({ answerBefore: NOW + 600_000 }), NOW))
    let now = NOW
    let count = 1
    for (; requests.pending() > 0 && count < 100; count += 1) {
      requests.recordDispatch(attempt, AGENT, now)
      requests.recordOutcome(attempt, notRun('window-exceeded'), now)
      now += 1_000
      const actions = requests.tick(now)
      if (actions.length > 0) attempt = attemptOf(actions)
    }
    expect(count).toBeLessThan(20)
  })

  it('of a caller that broke off withdraw what is open and answer nobody', () => {
    const requests = machineOf()
    const attempt = dispatchCall(requests, callOf())
    expect(requests.abandon('call', NOW)).toEqual([{ kind: 'withdraw', attempt }])
    expect(requests.recordOutcome(attempt, SUCCEEDED, NOW)).toEqual([])
  })
})

describe('the budget', () => {
  it.each([100, 1_000])('keeps the extra load under 10 %% when %i calls all fail', calls => {
    const requests = machineOf({ hedge: true, retryShare: 0.1 })
    let sent = 0
    let now = NOW
    for (let call = 0; call < calls; call += 1) {
      now += 10
      let attempts = [...requests.begin(callOf({ request: `call-${call}`, answerBefore: now + 5_000 }), now)]
      attempts = attempts.concat(requests.tick(now))
      for (const action of attempts) {
        if (action.kind !== 'attempt') continue
        sent += 1
        requests.recordDispatch(action.attempt, AGENT, now)
        requests.recordOutcome(action.attempt, FAILED, now + 5)
      }
    }
    expect(sent).toBeGreaterThanOrEqual(calls)
    expect(sent).toBeLessThan(1.1 * calls)
  })

  it('bounds repeats to a share of successes when a third of the calls fails', () => {
    const requests = machineOf({ retryShare: 0.1 })
    const random = createRandom(3)
    let sent = 0
    let now = NOW
    for (let call = 0; call < 2_000; call += 1) {
      now += 10
      const actions = [...requests.begin(callOf({ request: `call-${call}`, answerBefore: now + 5_000 }), now)]
      for (const action of actions.concat(requests.tick(now))) {
        if (action.kind !== 'attempt') continue
        sent += 1
        requests.recordDispatch(action.attempt, AGENT, now)
        requests.recordOutcome(action.attempt, random.below(3) === 0 ? FAILED : SUCCEEDED, now + 5)
      }
    }
    expect(sent).toBeGreaterThan(2_050)
    expect(sent).toBeLessThan(2_200)
  })
})
