import { afterEach, describe, expect, it } from 'vitest'
import { attemptNumber } from '../src/job.js'
import { agentIdentity, EPOCH, FakeOwner, createRequest, keyAt, KEY_WINDOW_MILLISECONDS, NOW, CLOCK_SKEW_MILLISECONDS, SUCCEEDED } from './fake-owner.js'

let owner = new FakeOwner()
afterEach(() => {
  expect(owner.violations).toEqual([])
  owner = new FakeOwner()
})

const refusal = (index: number, attempt?: number) => ({
  index, outcome: { status: 'not-run', reason: 'lease-lapsed' } as const, ...attempt === undefined ? {} : { attempt }
})

describe('submission keys', () => {
  it('a resubmission joins the running job and gets the same answer', () => {
    const key = keyAt()
    owner.submit(key, createRequest(2), 'local/1')
    owner.submit(key, createRequest(2), 'local/2')
    expect(owner.queued.size).toBe(2)
    owner.dispatch(key, [0, 1], 1)
    owner.report(key, 1, [{ index: 1, outcome: SUCCEEDED }])
    expect(owner.answers.size).toBe(0)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answer('local/1')).toEqual(owner.answer('local/2'))
    expect(owner.answer('local/1')).toMatchObject({ state: 'complete', tasks: [SUCCEEDED, SUCCEEDED] })
    owner.submit(key, createRequest(2), 'local/3', NOW + KEY_WINDOW_MILLISECONDS - 1)
    expect(owner.answer('local/3')).toEqual(owner.answer('local/1'))
    expect(owner.queued.size).toBe(0)
  })

  it('refuses a known key with another body or customer, an expired key and a key from the future', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
    owner.submit(key, createRequest(1), 'other-body', NOW, 'other')
    owner.submit(key, { ...createRequest(1), customer: 'plateau' }, 'other-customer')
    owner.submit(keyAt(NOW - KEY_WINDOW_MILLISECONDS - 1), createRequest(1), 'old')
    owner.submit(keyAt(NOW + CLOCK_SKEW_MILLISECONDS + 1), createRequest(1), 'future')
    owner.submit(keyAt(NOW + CLOCK_SKEW_MILLISECONDS), createRequest(1), 'skewed')
    expect(owner.problem('other-body')).toBe('key-conflict')
    expect(owner.problem('other-customer')).toBe('key-conflict')
    expect(owner.problem('old')).toBe('key-expired')
    expect(owner.problem('future')).toBe('malformed-request')
    expect(owner.answers.has('skewed')).toBe(false)
  })

  it('removes a finished job after the key window and refuses its key from then on', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, createRequest(1))
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    const later = NOW + KEY_WINDOW_MILLISECONDS + 2 * CLOCK_SKEW_MILLISECONDS + 100
    owner.outcomes.tick(later)
    expect(owner.outcomes.counts().remembered).toBe(0)
    owner.submit(key, createRequest(1), 'late', later)
    expect(owner.problem('late')).toBe('key-expired')
  })

  it('does not keep a job that the queue refused, so that the same key can be submitted again', () => {
    const key = keyAt()
    owner.queueDecision = { kind: 'refused', reason: 'overloaded', retryAfterMilliseconds: 300 }
    owner.submit(key, createRequest(1))
    const result = owner.result('local/1')
    expect(result).toMatchObject({ problem: { kind: 'not-run', reason: 'overloaded', retryAfterMilliseconds: 300 } })
    owner.queueDecision = { kind: 'admitted' }
    owner.submit(key, createRequest(1), 'local/2')
    expect(owner.queued.size).toBe(1)
  })
})

describe('answers', () => {
  it('a failed answer lists the outcomes of all tasks in order', () => {
    const key = keyAt()
    owner.submit(key, createRequest(3))
    owner.dispatch(key, [0], 1)
    owner.dispatch(key, [2], 2)
    owner.report(key, 2, [{ index: 2, outcome: { status: 'failed', detail: 'no drill' } }])
    owner.outcomes.tasksExpired(key, [1], NOW)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answer('local/1')).toMatchObject({
      state: 'failed',
      tasks: [SUCCEEDED, { status: 'not-run', reason: 'deadline' }, { status: 'failed', detail: 'no drill' }]
    })
  })

  it('answers a waiter at its waitUntil that the job is running and when to ask again', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, createRequest(2))
    owner.outcomes.tick(NOW + 30_100)
    expect(owner.answer('local/1')).toMatchObject({ state: 'running', taskCount: 2, finishedCount: 0 })
    expect(owner.answer('local/1').tasks).toBeUndefined()
    owner.query(key, 'ask')
    expect(owner.answer('ask')).toMatchObject({ state: 'running', retryAfterMilliseconds: 1_000 })
  })

  it('a caller that disconnected gets the answer by a query', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
    owner.outcomes.abandon('local/1', key)
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answers.size).toBe(0)
    owner.query(key, 'ask')
    expect(owner.answer('ask').state).toBe('complete')
  })

  it('a job fails immediately when its agent departs, with an unknown outcome for the unreported task', () => {
    const key = keyAt()
    owner.submit(key, createRequest(3))
    owner.dispatch(key, [0, 1], 1)
    owner.dispatch(key, [2], 2)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    owner.report(key, 2, [{ index: 2, outcome: SUCCEEDED }])
    owner.outcomes.agentDeparted(agentIdentity(1), NOW)
    expect(owner.answer('local/1')).toMatchObject({
      state: 'failed', tasks: [SUCCEEDED, { status: 'outcome-unknown', reason: 'agent-lost' }, SUCCEEDED]
    })
    owner.report(key, 1, [{ index: 1, outcome: SUCCEEDED }])
    owner.query(key, 'ask')
    expect(owner.answer('ask')).toEqual(owner.answer('local/1'))
  })
})

describe('dispatch', () => {
  it('sets startBefore to the earlier of the deadline and the end of the lease', () => {
    const key = keyAt()
    owner.submit(key, createRequest(2))
    const group = owner.dispatch(key, [1], 1)
    expect(group).toMatchObject({
      header: { submission: key, digest: 'digest', taskCount: 2, customer: 'medina', template: 'checkout' },
      ownership: { epoch: 7 },
      parameters: { desk: 1 },
      startBefore: NOW + 60_000,
      tasks: [{ index: 1, input: { place: 1 }, attempt: attemptNumber(EPOCH, 1) }]
    })
    expect(owner.outcomes.dispatch(key, [0], agentIdentity(1), 7, NOW + 5, NOW)?.startBefore).toBe(NOW + 5)
    expect(owner.outcomes.dispatch(key, [0], agentIdentity(1), 7, NOW + 5, NOW)).toBeUndefined()
  })

  it('dispatches nothing under another epoch', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
    expect(owner.outcomes.dispatch(key, [0], agentIdentity(1), 6, NOW + 5, NOW)).toBeUndefined()
  })

  it('queues a refused task again and excludes the agent that refused it without an attempt number', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
    owner.dispatch(key, [0], 1)
    expect(owner.report(key, 1, [refusal(0)]).settled).toMatchObject([{ index: 0, effect: 'requeued' }])
    expect([...owner.queued.values()]).toEqual([[agentIdentity(1)]])
    owner.dispatch(key, [0], 2)
    owner.report(key, 1, [refusal(0)])
    expect(owner.queued.size).toBe(0)
    owner.report(key, 2, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answer('local/1').state).toBe('complete')
  })

  it('ignores a refusal of an earlier attempt at the same agent', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, createRequest(1))
    const [first, second] = [attemptNumber(EPOCH, 1), attemptNumber(EPOCH, 2)]
    expect(owner.dispatch(key, [0], 1)?.tasks[0]?.attempt).toBe(first)
    owner.report(key, 1, [refusal(0, first)])
    expect(owner.queued.size).toBe(0)
    owner.outcomes.tick(NOW + 200)
    expect([...owner.queued.values()]).toEqual([[]])
    expect(owner.dispatch(key, [0], 1, NOW + 200)?.tasks[0]?.attempt).toBe(second)
    expect(owner.report(key, 1, [refusal(0, first)], NOW + 300).settled).toEqual([])
    owner.outcomes.tick(NOW + 400)
    expect(owner.queued.size).toBe(0)
  })

  it('ignores a refusal of a dispatch under another epoch', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
    owner.dispatch(key, [0], 1)
    expect(owner.report(key, 1, [refusal(0)], NOW, 6).settled).toEqual([])
    expect(owner.queued.size).toBe(0)
  })

  it('resends a dispatch without a report to the same agent only, at growing intervals', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, createRequest(2))
    owner.dispatch(key, [0, 1], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    for (let now = NOW; now <= NOW + 7_000; now += 50) owner.outcomes.tick(now)
    expect(owner.resent).toEqual([
      { agent: agentIdentity(1), indexes: [1] }, { agent: agentIdentity(1), indexes: [1] }
    ])
    const again = owner.outcomes.buildResendGroup(key, [0, 1], agentIdentity(1), 7, NOW + 9_000)
    expect(again?.tasks).toEqual([{ index: 1, input: { place: 1 }, attempt: attemptNumber(EPOCH, 1) }])
    expect(owner.outcomes.buildResendGroup(key, [1], agentIdentity(2), 7, NOW + 9_000)).toBeUndefined()
  })

  it('finishes a refused task as not run once its startBefore has passed', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [refusal(0)], NOW + 60_000)
    expect(owner.answer('local/1').tasks).toEqual([{ status: 'not-run', reason: 'deadline' }])
  })
})

describe('cancellation', () => {
  it('sends each agent one withdrawal, for the tasks it holds and for those never dispatched, which it records', () => {
    const [first, second] = [keyAt(), keyAt()]
    owner.submit(first, createRequest(4), 'first')
    owner.submit(second, createRequest(2), 'second')
    owner.dispatch(first, [0, 1], 1)
    owner.dispatch(first, [2], 2)
    owner.dispatch(second, [0], 1)
    owner.cancel(first, 'cancel-first')
    owner.cancel(second, 'cancel-second')
    owner.outcomes.flush(NOW)
    expect(owner.queued.size).toBe(0)
    const asked = owner.withdrawn.map(({ agent, selections }) => ({
      agent, selections: selections.map(({ submission, indexes }) => ({ submission, indexes }))
    }))
    expect(asked).toEqual([
      {
        agent: agentIdentity(1),
        selections: [{ submission: first, indexes: [0, 1, 3] }, { submission: second, indexes: [0, 1] }]
      },
      { agent: agentIdentity(2), selections: [{ submission: first, indexes: [2] }] }
    ])
    const origins = owner.withdrawn.flatMap(({ selections }) => selections.map(({ origin }) => origin))
    expect(origins.map(origin => origin?.header.submission)).toEqual([first, second, first])
    expect(origins.map(origin => origin?.ownership.epoch)).toEqual([EPOCH, EPOCH, EPOCH])
    owner.report(first, 1, [
      { index: 0, outcome: SUCCEEDED }, { index: 1, outcome: { status: 'not-run', reason: 'withdrawn' } }
    ])
    // Task 3 is not reported as not run before an agent has recorded its cancellation.
    expect(owner.answers.get('cancel-first')).toBeUndefined()
    owner.report(first, 1, [{ index: 3, outcome: { status: 'not-run', reason: 'withdrawn' } }])
    owner.report(first, 2, [{ index: 2, outcome: { status: 'not-run', reason: 'withdrawn' } }])
    const cancelled = { status: 'not-run', reason: 'cancelled' }
    expect(owner.answer('cancel-first').tasks).toEqual([SUCCEEDED, cancelled, cancelled, cancelled])
    expect(owner.answer('first')).toEqual(owner.answer('cancel-first'))
  })

  it('resends a withdrawal without a report, and no longer resends the dispatch', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, createRequest(1))
    owner.dispatch(key, [0], 1)
    owner.cancel(key, 'cancel')
    owner.outcomes.flush(NOW)
    owner.outcomes.tick(NOW + 2_100)
    expect(owner.withdrawn).toHaveLength(2)
    expect(owner.resent).toEqual([])
  })
})

describe('explanation', () => {
  it('lists the steps with their agents and task counts, up to a maximum number of steps', () => {
    const key = keyAt()
    owner.submit(key, createRequest(3))
    owner.dispatch(key, [0, 1], 1)
    owner.report(key, 1, [refusal(0)])
    owner.dispatch(key, [0], 2)
    expect(owner.outcomes.explain(key)).toMatchObject({
      taskCount: 3, waitingCount: 1, dispatchedCount: 2, omittedSteps: 0
    })
    expect(owner.outcomes.explain(key)?.steps.map(({ step, agent, tasks }) => [step, agent, tasks])).toEqual([
      ['accepted', undefined, 3],
      ['dispatched', agentIdentity(1), 2],
      ['refused', agentIdentity(1), 1],
      ['requeued', undefined, 1],
      ['dispatched', agentIdentity(2), 1]
    ])
    for (let round = 0; round < 200; round += 1) owner.submit(key, createRequest(3), `local/${round + 2}`)
    expect(owner.outcomes.explain(key)!.steps.length).toBeLessThanOrEqual(64)
  })
})
