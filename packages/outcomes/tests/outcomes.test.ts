import { afterEach, describe, expect, it } from 'vitest'
import { attemptNumber } from '../src/job.js'
import { agentIdentity, EPOCH, FakeOwner, jobOf, keyAt, KEY_WINDOW, NOW, SKEW, SUCCEEDED } from './fake-owner.js'

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
    owner.submit(key, jobOf(2), 'local/1')
    owner.submit(key, jobOf(2), 'local/2')
    expect(owner.queued.size).toBe(2)
    owner.dispatch(key, [0, 1], 1)
    owner.report(key, 1, [{ index: 1, outcome: SUCCEEDED }])
    expect(owner.answers.size).toBe(0)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answer('local/1')).toEqual(owner.answer('local/2'))
    expect(owner.answer('local/1')).toMatchObject({ state: 'complete', tasks: [SUCCEEDED, SUCCEEDED] })
    owner.submit(key, jobOf(2), 'local/3', NOW + KEY_WINDOW - 1)
    expect(owner.answer('local/3')).toEqual(owner.answer('local/1'))
    expect(owner.queued.size).toBe(0)
  })

  it('refuses another body, another customer, an old key and a key from the future', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    owner.submit(key, jobOf(1), 'other-body', NOW, 'other')
    owner.submit(key, { ...jobOf(1), customer: 'plateau' }, 'other-customer')
    owner.submit(keyAt(NOW - KEY_WINDOW - 1), jobOf(1), 'old')
    owner.submit(keyAt(NOW + SKEW + 1), jobOf(1), 'future')
    owner.submit(keyAt(NOW + SKEW), jobOf(1), 'skewed')
    expect(owner.problem('other-body')).toBe('key-conflict')
    expect(owner.problem('other-customer')).toBe('key-conflict')
    expect(owner.problem('old')).toBe('key-expired')
    expect(owner.problem('future')).toBe('malformed-request')
    expect(owner.answers.has('skewed')).toBe(false)
  })

  it('forgets a finished job after the key window and refuses its key from then on', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, jobOf(1))
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    const later = NOW + KEY_WINDOW + 2 * SKEW + 100
    owner.outcomes.tick(later)
    expect(owner.outcomes.counts().remembered).toBe(0)
    owner.submit(key, jobOf(1), 'late', later)
    expect(owner.problem('late')).toBe('key-expired')
  })

  it('a job that the queue refuses leaves no trace, so that it may be sent again', () => {
    const key = keyAt()
    owner.decision = { kind: 'refused', reason: 'overloaded', retryAfterMilliseconds: 300 }
    owner.submit(key, jobOf(1))
    const result = owner.result('local/1')
    expect(result).toMatchObject({ problem: { kind: 'not-run', reason: 'overloaded', retryAfterMilliseconds: 300 } })
    owner.decision = { kind: 'admitted' }
    owner.submit(key, jobOf(1), 'local/2')
    expect(owner.queued.size).toBe(1)
  })
})

describe('answers', () => {
  it('a failed job tells every task in order', () => {
    const key = keyAt()
    owner.submit(key, jobOf(3))
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

  it('a waiter whose time is over is told that the job runs and when to ask again', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, jobOf(2))
    owner.outcomes.tick(NOW + 30_100)
    expect(owner.answer('local/1')).toMatchObject({ state: 'running', taskCount: 2, finishedCount: 0 })
    expect(owner.answer('local/1').tasks).toBeUndefined()
    owner.query(key, 'ask')
    expect(owner.answer('ask')).toMatchObject({ state: 'running', retryAfterMilliseconds: 1_000 })
  })

  it('a caller that breaks off gets the answer when it asks again', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    owner.outcomes.abandon('local/1', key)
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answers.size).toBe(0)
    owner.query(key, 'ask')
    expect(owner.answer('ask').state).toBe('complete')
  })

  it('a job of an agent that departed fails at once and names what is unknown', () => {
    const key = keyAt()
    owner.submit(key, jobOf(3))
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
  it('builds the group with the earlier of deadline and lease end', () => {
    const key = keyAt()
    owner.submit(key, jobOf(2))
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

  it('dispatches nothing under another epoch or while collecting', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    expect(owner.outcomes.dispatch(key, [0], agentIdentity(1), 6, NOW + 5, NOW)).toBeUndefined()
  })

  it('a refused task waits again and avoids an agent that would refuse it for good', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    owner.dispatch(key, [0], 1)
    expect(owner.report(key, 1, [refusal(0)]).settled).toMatchObject([{ index: 0, effect: 'requeued' }])
    expect([...owner.queued.values()]).toEqual([[agentIdentity(1)]])
    owner.dispatch(key, [0], 2)
    owner.report(key, 1, [refusal(0)])
    expect(owner.queued.size).toBe(0)
    owner.report(key, 2, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answer('local/1').state).toBe('complete')
  })

  it('an old refusal does not undo a later attempt at the same agent', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, jobOf(1))
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

  it('a refusal under another epoch does not undo a dispatch of this one', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    owner.dispatch(key, [0], 1)
    expect(owner.report(key, 1, [refusal(0)], NOW, 6).settled).toEqual([])
    expect(owner.queued.size).toBe(0)
  })

  it('a dispatch without a report is sent again, to the same agent only, ever more slowly', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, jobOf(2))
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

  it('a refused task whose time to start is over is not run', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [refusal(0)], NOW + 60_000)
    expect(owner.answer('local/1').tasks).toEqual([{ status: 'not-run', reason: 'deadline' }])
  })
})

describe('cancellation', () => {
  it('asks each agent once, for what it holds and for a record of what never went anywhere', () => {
    const [first, second] = [keyAt(), keyAt()]
    owner.submit(first, jobOf(4), 'first')
    owner.submit(second, jobOf(2), 'second')
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
    // Nobody is told that task 3 did not run before an agent keeps the record of it.
    expect(owner.answers.get('cancel-first')).toBeUndefined()
    owner.report(first, 1, [{ index: 3, outcome: { status: 'not-run', reason: 'withdrawn' } }])
    owner.report(first, 2, [{ index: 2, outcome: { status: 'not-run', reason: 'withdrawn' } }])
    const cancelled = { status: 'not-run', reason: 'cancelled' }
    expect(owner.answer('cancel-first').tasks).toEqual([SUCCEEDED, cancelled, cancelled, cancelled])
    expect(owner.answer('first')).toEqual(owner.answer('cancel-first'))
  })

  it('repeats a withdrawal that may be lost, and sends the work no more', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, jobOf(1))
    owner.dispatch(key, [0], 1)
    owner.cancel(key, 'cancel')
    owner.outcomes.flush(NOW)
    owner.outcomes.tick(NOW + 2_100)
    expect(owner.withdrawn).toHaveLength(2)
    expect(owner.resent).toEqual([])
  })
})

describe('explanation', () => {
  it('tells the steps with agents and reasons, and stays bounded', () => {
    const key = keyAt()
    owner.submit(key, jobOf(3))
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
    for (let round = 0; round < 200; round += 1) owner.submit(key, jobOf(3), `local/${round + 2}`)
    expect(owner.outcomes.explain(key)!.steps.length).toBeLessThanOrEqual(64)
  })
})
