import { partitionOf } from '@baobabpost/common'
import type { SubmissionKey } from '@baobabpost/common'
import type { SubmissionRecord, TaskRecord } from '@baobabpost/messages'
import { afterEach, describe, expect, it } from 'vitest'
import { attemptNumber } from '../src/job.js'
import {
  agentIdentity, COLLECTING, EPOCH, FakeOwner, jobOf, keyAt, KEY_WINDOW, NOW, SERVING, SUCCEEDED
} from './fake-owner.js'

let owner = new FakeOwner()
afterEach(() => {
  expect(owner.violations).toEqual([])
  owner = new FakeOwner()
})

function recordOf (submission: SubmissionKey, taskCount: number, tasks: readonly TaskRecord[]): SubmissionRecord {
  const header = { submission, digest: 'digest', taskCount, customer: 'medina', template: 'checkout' }
  return { header, partition: partitionOf(submission), tasks }
}

/** The owner wins the key's partition, hears what agents know and serves. */
function takeOver (key: SubmissionKey, uncertainBefore: number, ...records: [number, readonly TaskRecord[]][]): void {
  owner.outcomes.tick(NOW)
  const partition = partitionOf(key)
  owner.setState(COLLECTING, partition)
  for (const [agent, tasks] of records) {
    owner.outcomes.recordsCollected(agentIdentity(agent), [recordOf(key, 3, tasks)], NOW)
  }
  owner.setState({ ...SERVING, epoch: EPOCH, uncertainBefore } as typeof SERVING, partition)
}

describe('takeover from the records of agents', () => {
  it('answers a job whose outcomes the agents know', () => {
    const key = keyAt()
    takeOver(key, 0,
      [1, [{ index: 0, state: 'finished', outcome: SUCCEEDED }, { index: 2, state: 'finished', outcome: SUCCEEDED }]],
      [2, [{ index: 1, state: 'finished', outcome: SUCCEEDED }]])
    owner.query(key, 'ask')
    expect(owner.answer('ask')).toMatchObject({ state: 'complete', tasks: [SUCCEEDED, SUCCEEDED, SUCCEEDED] })
  })

  it('runs what no agent has once a resubmission brings the body, and starts nothing that an agent has', () => {
    const key = keyAt()
    takeOver(key, 0, [1, [{ index: 0, state: 'running' }]], [2, [{ index: 1, state: 'queued' }]])
    expect(owner.queued.size).toBe(0)
    owner.submit(key, jobOf(3))
    expect([...owner.queued.keys()]).toEqual([`${key}/2`])
    owner.dispatch(key, [2], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }, { index: 2, outcome: SUCCEEDED }])
    owner.report(key, 2, [{ index: 1, outcome: SUCCEEDED }])
    expect(owner.answer('local/1').state).toBe('complete')
  })

  it('without a resubmission ends what did not run as not run', () => {
    const key = keyAt()
    takeOver(key, 0, [1, [{ index: 0, state: 'finished', outcome: SUCCEEDED }]])
    owner.outcomes.query({ waiter: 'ask', submission: key, customer: 'medina', waitUntil: NOW + 30_000 }, NOW)
    owner.outcomes.tick(NOW + 9_900)
    expect(owner.answers.size).toBe(0)
    owner.outcomes.tick(NOW + 10_100)
    const lost = { status: 'not-run', reason: 'owner-lost' }
    expect(owner.answer('ask')).toMatchObject({ state: 'failed', tasks: [SUCCEEDED, lost, lost] })
  })

  it('tells as unknown what may have run at an agent that is gone, and never runs it', () => {
    const key = keyAt()
    takeOver(key, NOW + 1, [1, [{ index: 0, state: 'finished', outcome: SUCCEEDED }]])
    owner.submit(key, jobOf(3))
    const unknown = { status: 'outcome-unknown', reason: 'owner-lost' }
    expect(owner.answer('local/1')).toMatchObject({ state: 'failed', tasks: [SUCCEEDED, unknown, unknown] })
    expect(owner.queued.size).toBe(0)
  })

  it('a key that may have been seen gets outcome-unknown, a younger one is served', () => {
    const [old, young] = [keyAt(NOW - 1), keyAt(NOW)]
    takeOver(old, NOW)
    owner.submit(old, jobOf(1), 'old')
    owner.query(old, 'ask-old')
    owner.submit(young, jobOf(1), 'young')
    expect(owner.problem('old')).toBe('outcome-unknown')
    expect(owner.problem('ask-old')).toBe('outcome-unknown')
    expect([...owner.queued.keys()]).toEqual([`${young}/0`])
  })

  it('a refusal at an agent is proof, a withdrawal tells that the job was cancelled', () => {
    const [refused, withdrawn] = [keyAt(), keyAt()]
    takeOver(refused, 0, [1, [{ index: 0, state: 'finished', outcome: { status: 'not-run', reason: 'expired' } }]])
    owner.submit(refused, jobOf(3), 'refused')
    expect(owner.queued.get(`${refused}/0`)).toEqual([agentIdentity(1)])
    owner.queued.clear()
    takeOver(withdrawn, 0, [1, [{ index: 0, state: 'finished', outcome: { status: 'not-run', reason: 'withdrawn' } }]])
    owner.submit(withdrawn, jobOf(3), 'withdrawn')
    expect(owner.answer('withdrawn').tasks).toEqual(Array(3).fill({ status: 'not-run', reason: 'cancelled' }))
    expect(owner.queued.size).toBe(0)
  })

  it('callers that come while agents are asked wait, and are told when their time is over', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.setState(COLLECTING, partitionOf(key))
    owner.submit(key, jobOf(1), 'patient')
    owner.outcomes.query({ waiter: 'hasty', submission: key, customer: 'medina', waitUntil: NOW + 100 }, NOW)
    owner.outcomes.tick(NOW + 200)
    expect(owner.problem('hasty')).toBe('outcome-unknown')
    expect(owner.answers.has('patient')).toBe(false)
    owner.setState(SERVING, partitionOf(key), NOW + 300)
    expect(owner.queued.size).toBe(1)
  })

  it('a report about a job that is not known yet has to be repeated', () => {
    const key = keyAt()
    owner.setState(COLLECTING, partitionOf(key))
    expect(owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }]).acknowledge).toBe(false)
    owner.state = SERVING
    expect(owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }]).acknowledge).toBe(true)
  })
})

describe('an owner that may be superseded', () => {
  it('does not tell that a task did not run until it knows that it still is the owner', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, jobOf(2))
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    owner.mayJudge = false
    owner.query(key, 'ask', NOW + 90_000)
    owner.outcomes.tasksExpired(key, [1], NOW + 60_000)
    owner.outcomes.tick(NOW + 61_000)
    expect(owner.answers.has('ask')).toBe(false)
    owner.mayJudge = true
    owner.outcomes.tick(NOW + 62_000)
    expect(owner.answer('ask').tasks?.[1]).toEqual({ status: 'not-run', reason: 'deadline' })
  })

  it('keeps a failed answer, an unknown key and a cancellation until then', () => {
    const [failed, running, unknown] = [keyAt(), keyAt(), keyAt()]
    owner.outcomes.tick(NOW)
    for (const key of [failed, running]) owner.submit(key, jobOf(1), `submit/${key}`)
    owner.outcomes.tasksExpired(failed, [0], NOW)
    expect(owner.answer(`submit/${failed}`).state).toBe('failed')
    owner.mayJudge = false
    owner.query(failed, 'failed', NOW + 5_000)
    owner.query(unknown, 'unknown', NOW + 5_000)
    owner.submit(unknown, jobOf(1), 'submit')
    owner.cancel(running, 'cancel')
    owner.outcomes.tick(NOW + 500)
    expect(owner.answers.size).toBe(1)
    expect(owner.queued.has(`${running}/0`)).toBe(true)
    owner.mayJudge = true
    owner.outcomes.tick(NOW + 1_000)
    expect(owner.answer('failed').state).toBe('failed')
    expect(owner.problem('unknown')).toBe('unknown-submission')
    expect(owner.answer('cancel').state).toBe('failed')
    expect(owner.queued.has(`${unknown}/0`)).toBe(true)
  })

  it('answers at once what is complete, which no next owner changes', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    owner.dispatch(key, [0], 1)
    owner.mayJudge = false
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answer('local/1').state).toBe('complete')
  })
})

describe('a partition that moves away', () => {
  it('sends the waiters to the next owner and drops the tasks that wait', () => {
    const key = keyAt()
    owner.submit(key, jobOf(2))
    owner.setState({ kind: 'elsewhere', owner: 'x' as never, epoch: 9 }, partitionOf(key))
    expect(owner.rerouted).toEqual(['local/1'])
    expect(owner.queued.size).toBe(0)
    expect(owner.outcomes.counts()).toEqual({ remembered: 0, unfinished: 0, waiters: 0 })
  })

  it('is handed over whole: outcomes, what agents hold, what waits with its body', () => {
    const key = keyAt()
    owner.submit(key, jobOf(3))
    owner.dispatch(key, [0, 1], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    const handed = owner.outcomes.exportPartition(partitionOf(key), NOW)
    const next = new FakeOwner()
    next.setState(COLLECTING, partitionOf(key))
    next.outcomes.importPartition(partitionOf(key), handed, NOW)
    next.setState(SERVING, partitionOf(key))
    expect([...next.queued.keys()]).toEqual([`${key}/2`])
    next.submit(key, jobOf(3), 'again')
    next.dispatch(key, [2], 2)
    next.report(key, 2, [{ index: 2, outcome: SUCCEEDED }])
    next.report(key, 1, [{ index: 1, outcome: SUCCEEDED }])
    expect(next.answer('again').state).toBe('complete')
    expect(next.violations).toEqual([])
  })

  it('a dispatch that the previous owner made is repeated under the new epoch, to the same agent', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    owner.dispatch(key, [0], 1)
    const handed = owner.outcomes.exportPartition(partitionOf(key), NOW)
    const next = new FakeOwner()
    next.outcomes.tick(NOW)
    next.setState(COLLECTING, partitionOf(key))
    next.outcomes.importPartition(partitionOf(key), handed, NOW)
    next.setState(SERVING, partitionOf(key))
    next.outcomes.tick(NOW + 2_100)
    expect(next.resent).toEqual([{ agent: agentIdentity(1), indexes: [0] }])
    const again = next.outcomes.buildResendGroup(key, [0], agentIdentity(1), EPOCH, NOW + 9_000)
    expect(again?.tasks[0]?.attempt).toBe(attemptNumber(EPOCH, 1))
    const stale = { index: 0, outcome: { status: 'not-run', reason: 'stale-epoch' } as const }
    expect(next.report(key, 1, [stale], NOW + 2_200, 3).settled).toEqual([])
    expect(next.report(key, 1, [{ ...stale, attempt: attemptNumber(3, 1) }], NOW + 2_200).settled).toEqual([])
  })

  it('a finished job is handed over and stays known for the rest of the key window', () => {
    const key = keyAt()
    owner.submit(key, jobOf(1))
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    const next = new FakeOwner()
    next.outcomes.tick(NOW)
    next.setState(COLLECTING, partitionOf(key))
    next.outcomes.importPartition(partitionOf(key), owner.outcomes.exportPartition(partitionOf(key), NOW), NOW)
    next.setState(SERVING, partitionOf(key))
    next.outcomes.tick(NOW + KEY_WINDOW - 100)
    next.submit(key, jobOf(1), 'late', NOW + KEY_WINDOW - 100)
    expect(next.answer('late')).toEqual(owner.answer('local/1'))
  })
})
