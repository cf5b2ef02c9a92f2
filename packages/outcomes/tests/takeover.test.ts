import { partitionOf } from '@baobabpost/common'
import type { SubmissionKey } from '@baobabpost/common'
import type { SubmissionRecord, TaskRecord } from '@baobabpost/messages'
import { afterEach, describe, expect, it } from 'vitest'
import { attemptNumber } from '../src/job.js'
import {
  agentIdentity, COLLECTING, EPOCH, FakeOwner, createRequest, keyAt, KEY_WINDOW_MILLISECONDS, NOW, SERVING, SUCCEEDED
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

/** Lets the owner acquire the key's partition, apply the agents' records and start serving. */
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
  it('answers a job of which agents recorded all outcomes', () => {
    const key = keyAt()
    takeOver(key, 0,
      [1, [{ index: 0, state: 'finished', outcome: SUCCEEDED }, { index: 2, state: 'finished', outcome: SUCCEEDED }]],
      [2, [{ index: 1, state: 'finished', outcome: SUCCEEDED }]])
    owner.query(key, 'ask')
    expect(owner.answer('ask')).toMatchObject({ state: 'complete', tasks: [SUCCEEDED, SUCCEEDED, SUCCEEDED] })
  })

  it('queues the tasks that no agent holds once a resubmission brings the body, and none that an agent holds', () => {
    const key = keyAt()
    takeOver(key, 0, [1, [{ index: 0, state: 'running' }]], [2, [{ index: 1, state: 'queued' }]])
    expect(owner.queued.size).toBe(0)
    owner.submit(key, createRequest(3))
    expect([...owner.queued.keys()]).toEqual([`${key}/2`])
    owner.dispatch(key, [2], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }, { index: 2, outcome: SUCCEEDED }])
    owner.report(key, 2, [{ index: 1, outcome: SUCCEEDED }])
    expect(owner.answer('local/1').state).toBe('complete')
  })

  it('finishes tasks that no agent holds as not run if no resubmission brings the body', () => {
    const key = keyAt()
    takeOver(key, 0, [1, [{ index: 0, state: 'finished', outcome: SUCCEEDED }]])
    owner.outcomes.query({ waiter: 'ask', submission: key, customer: 'medina', waitUntil: NOW + 30_000 }, NOW)
    owner.outcomes.tick(NOW + 9_900)
    expect(owner.answers.size).toBe(0)
    owner.outcomes.tick(NOW + 10_100)
    const lost = { status: 'not-run', reason: 'owner-lost' }
    expect(owner.answer('ask')).toMatchObject({ state: 'failed', tasks: [SUCCEEDED, lost, lost] })
  })

  it('finishes tasks that may have run at a departed agent with an unknown outcome, and never queues them', () => {
    const key = keyAt()
    takeOver(key, NOW + 1, [1, [{ index: 0, state: 'finished', outcome: SUCCEEDED }]])
    owner.submit(key, createRequest(3))
    const unknown = { status: 'outcome-unknown', reason: 'owner-lost' }
    expect(owner.answer('local/1')).toMatchObject({ state: 'failed', tasks: [SUCCEEDED, unknown, unknown] })
    expect(owner.queued.size).toBe(0)
  })

  it('answers outcome-unknown for a key made before uncertainBefore, and accepts a later one', () => {
    const [old, young] = [keyAt(NOW - 1), keyAt(NOW)]
    takeOver(old, NOW)
    owner.submit(old, createRequest(1), 'old')
    owner.query(old, 'ask-old')
    owner.submit(young, createRequest(1), 'young')
    expect(owner.problem('old')).toBe('outcome-unknown')
    expect(owner.problem('ask-old')).toBe('outcome-unknown')
    expect([...owner.queued.keys()]).toEqual([`${young}/0`])
  })

  it('queues a task that an agent refused, and cancels a job of which an agent recorded a withdrawal', () => {
    const [refused, withdrawn] = [keyAt(), keyAt()]
    takeOver(refused, 0, [1, [{ index: 0, state: 'finished', outcome: { status: 'not-run', reason: 'expired' } }]])
    owner.submit(refused, createRequest(3), 'refused')
    expect(owner.queued.get(`${refused}/0`)).toEqual([agentIdentity(1)])
    owner.queued.clear()
    takeOver(withdrawn, 0, [1, [{ index: 0, state: 'finished', outcome: { status: 'not-run', reason: 'withdrawn' } }]])
    owner.submit(withdrawn, createRequest(3), 'withdrawn')
    expect(owner.answer('withdrawn').tasks).toEqual(Array(3).fill({ status: 'not-run', reason: 'cancelled' }))
    expect(owner.queued.size).toBe(0)
  })

  it('parks callers while agents are being asked, and answers them outcome-unknown at their waitUntil', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.setState(COLLECTING, partitionOf(key))
    owner.submit(key, createRequest(1), 'patient')
    owner.outcomes.query({ waiter: 'hasty', submission: key, customer: 'medina', waitUntil: NOW + 100 }, NOW)
    owner.outcomes.tick(NOW + 200)
    expect(owner.problem('hasty')).toBe('outcome-unknown')
    expect(owner.answers.has('patient')).toBe(false)
    owner.setState(SERVING, partitionOf(key), NOW + 300)
    expect(owner.queued.size).toBe(1)
  })

  it('does not acknowledge a report about an unknown job while collecting', () => {
    const key = keyAt()
    owner.setState(COLLECTING, partitionOf(key))
    expect(owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }]).acknowledge).toBe(false)
    owner.state = SERVING
    expect(owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }]).acknowledge).toBe(true)
  })
})

describe('an owner that may be superseded', () => {
  it('declares a task as not run only once its ownership is confirmed', () => {
    const key = keyAt()
    owner.outcomes.tick(NOW)
    owner.submit(key, createRequest(2))
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    owner.mayDeclareNotRun = false
    owner.query(key, 'ask', NOW + 90_000)
    owner.outcomes.tasksExpired(key, [1], NOW + 60_000)
    owner.outcomes.tick(NOW + 61_000)
    expect(owner.answers.has('ask')).toBe(false)
    owner.mayDeclareNotRun = true
    owner.outcomes.tick(NOW + 62_000)
    expect(owner.answer('ask').tasks?.[1]).toEqual({ status: 'not-run', reason: 'deadline' })
  })

  it('holds a failed answer, operations on an unknown key and a cancellation until its ownership is confirmed', () => {
    const [failed, running, unknown] = [keyAt(), keyAt(), keyAt()]
    owner.outcomes.tick(NOW)
    for (const key of [failed, running]) owner.submit(key, createRequest(1), `submit/${key}`)
    owner.outcomes.tasksExpired(failed, [0], NOW)
    expect(owner.answer(`submit/${failed}`).state).toBe('failed')
    owner.mayDeclareNotRun = false
    owner.query(failed, 'failed', NOW + 5_000)
    owner.query(unknown, 'unknown', NOW + 5_000)
    owner.submit(unknown, createRequest(1), 'submit')
    owner.cancel(running, 'cancel')
    owner.outcomes.tick(NOW + 500)
    expect(owner.answers.size).toBe(1)
    expect(owner.queued.has(`${running}/0`)).toBe(true)
    owner.mayDeclareNotRun = true
    owner.outcomes.tick(NOW + 1_000)
    expect(owner.answer('failed').state).toBe('failed')
    expect(owner.problem('unknown')).toBe('unknown-submission')
    expect(owner.answer('cancel').state).toBe('failed')
    expect(owner.queued.has(`${unknown}/0`)).toBe(true)
  })

  it('sends a complete answer immediately, since no later owner can change it', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
    owner.dispatch(key, [0], 1)
    owner.mayDeclareNotRun = false
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    expect(owner.answer('local/1').state).toBe('complete')
  })
})

describe('a partition that moves away', () => {
  it('reroutes the waiters to its new owner and removes its waiting tasks from the queue', () => {
    const key = keyAt()
    owner.submit(key, createRequest(2))
    owner.setState({ kind: 'elsewhere', owner: 'x' as never, epoch: 9 }, partitionOf(key))
    expect(owner.rerouted).toEqual(['local/1'])
    expect(owner.queued.size).toBe(0)
    expect(owner.outcomes.counts()).toEqual({ remembered: 0, unfinished: 0, waiters: 0 })
  })

  it('is handed over with its outcomes, its dispatched tasks, and its waiting tasks with their body', () => {
    const key = keyAt()
    owner.submit(key, createRequest(3))
    owner.dispatch(key, [0, 1], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    const handover = owner.outcomes.exportPartition(partitionOf(key), NOW)
    const next = new FakeOwner()
    next.setState(COLLECTING, partitionOf(key))
    next.outcomes.importPartition(partitionOf(key), handover, NOW)
    next.setState(SERVING, partitionOf(key))
    expect([...next.queued.keys()]).toEqual([`${key}/2`])
    next.submit(key, createRequest(3), 'again')
    next.dispatch(key, [2], 2)
    next.report(key, 2, [{ index: 2, outcome: SUCCEEDED }])
    next.report(key, 1, [{ index: 1, outcome: SUCCEEDED }])
    expect(next.answer('again').state).toBe('complete')
    expect(next.violations).toEqual([])
  })

  it('a dispatch of the previous owner is sent again to the same agent under the new epoch', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
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

  it('a finished job is handed over and kept for the rest of the key window', () => {
    const key = keyAt()
    owner.submit(key, createRequest(1))
    owner.dispatch(key, [0], 1)
    owner.report(key, 1, [{ index: 0, outcome: SUCCEEDED }])
    const next = new FakeOwner()
    next.outcomes.tick(NOW)
    next.setState(COLLECTING, partitionOf(key))
    next.outcomes.importPartition(partitionOf(key), owner.outcomes.exportPartition(partitionOf(key), NOW), NOW)
    next.setState(SERVING, partitionOf(key))
    next.outcomes.tick(NOW + KEY_WINDOW_MILLISECONDS - 100)
    next.submit(key, createRequest(1), 'late', NOW + KEY_WINDOW_MILLISECONDS - 100)
    expect(next.answer('late')).toEqual(owner.answer('local/1'))
  })
})
