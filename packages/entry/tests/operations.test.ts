import { beforeEach, describe, expect, test } from 'vitest'
import { createEntryIdentity, createSubmissionKey, type EntryIdentity } from '@baobabpost/common'
import { createProblem, type Forward, type LinkMessage, type OperationResult } from '@baobabpost/messages'
import type { PartitionState } from '@baobabpost/ownership'
import { createOperations, type Operations } from '@baobabpost/entry'

interface Sent { to: string, message: LinkMessage }

const self = createEntryIdentity('self')
const owner = createEntryIdentity('owner')
const nextOwner = createEntryIdentity('next')
const submission = createSubmissionKey(1_000)
const submitOperation = {
  kind: 'submit' as const, request: { template: 't', customer: 'c', tasks: [{}] }, digest: 'd'
}
const complete: OperationResult = {
  kind: 'answer', answer: { submission, state: 'complete', taskCount: 1, finishedCount: 1, tasks: [] }
}

let state: PartitionState
let sent: Sent[]
let calls: string[]
let results: OperationResult[]
let operations: Operations

function ownedBy (entry: EntryIdentity, epoch = 1): PartitionState {
  return { kind: 'elsewhere', owner: entry, epoch }
}

const ours: PartitionState = { kind: 'ours', epoch: 2, phase: 'serving', unaccounted: 0, uncertainBefore: 0 }

function forwards (): Forward[] {
  return sent.flatMap(({ message }) => message.method === 'forward' ? [message.parameters] : [])
}

function begin (waitUntil = 60_000): number {
  return operations.begin(
    { submission, customer: 'c', operation: submitOperation, waitUntil, answer: result => { results.push(result) } }, 0)
}

beforeEach(() => {
  state = ownedBy(owner)
  sent = []
  calls = []
  results = []
  operations = createOperations({
    identity: self,
    outbox: { send: (to, message) => { sent.push({ to, message }) }, append: () => {} },
    partitionState: () => state,
    outcomes: {
      submit: ({ waiter }) => { calls.push(`submit ${waiter}`) },
      query: ({ waiter }) => { calls.push(`query ${waiter}`) },
      cancel: ({ waiter }) => { calls.push(`cancel ${waiter}`) },
      abandon: waiter => { calls.push(`abandon ${waiter}`) }
    },
    explain: () => complete
  })
})

describe('operations at the entry where they arrive', () => {
  test('a forward is repeated without its body, and brings the body again where the owner lacks it', () => {
    const forward = begin()
    operations.tick(1_000)
    expect(forwards().map(message => message.operation.kind)).toEqual(['submit', 'query'])
    const problem = createProblem('unknown-submission', 'no')
    operations.forwarded({ forward, submission, result: { kind: 'problem', problem } }, 1_010)
    expect(forwards().at(-1)?.operation).toEqual(submitOperation)
    expect(results).toEqual([])
  })

  test('the next owner gets the whole body when the owner is lost', () => {
    begin()
    state = ownedBy(nextOwner, 2)
    operations.tick(50)
    expect(sent.at(-1)?.to).toBe(nextOwner)
    expect(forwards().at(-1)?.operation).toEqual(submitOperation)
  })

  test('the next owner gets the body again while its first forward may be lost, and then no more', () => {
    begin()
    state = ownedBy(nextOwner, 2)
    for (const now of [50, 1_100, 2_200, 6_000]) operations.tick(now)
    expect(forwards().map(message => message.operation.kind)).toEqual(['submit', 'submit', 'submit', 'submit', 'query'])
  })

  test('a submission waits while its partition has no owner, and goes to this entry once it is the owner', () => {
    state = { kind: 'none' }
    begin()
    operations.tick(50)
    expect(sent).toEqual([])
    state = ours
    operations.tick(100)
    expect(calls).toEqual(['submit local/1'])
  })

  test('the answer comes once, however often the owner repeats it', () => {
    const forward = begin()
    operations.forwarded({ forward, submission, result: complete }, 10)
    operations.forwarded({ forward, submission, result: complete }, 20)
    expect(results).toEqual([complete])
    expect(operations.pending()).toBe(0)
  })

  test('an answer about another submission is not taken for this one', () => {
    const forward = begin()
    operations.forwarded({ forward, submission: createSubmissionKey(2_000), result: complete }, 10)
    expect(results).toEqual([])
  })

  test('an owner that does not answer in time leaves the outcome unknown, with a time to ask again', () => {
    begin(1_000)
    operations.tick(1_600)
    expect(results).toMatchObject([{ kind: 'problem', problem: { kind: 'outcome-unknown', retryAfterMilliseconds: 1_000 } }])
  })

  test('waiters of a partition that moved away go on to its next owner', () => {
    state = ours
    begin()
    state = ownedBy(nextOwner, 3)
    operations.rerouted(['local/1'], 10)
    expect(sent.at(-1)?.to).toBe(nextOwner)
  })
})

describe('operations that other entries forward', () => {
  const message: Forward = {
    forward: 7, submission, customer: 'c', operation: submitOperation, waitUntil: 60_000
  }

  test('are given to the submissions once while they wait, and answered to their entry', () => {
    state = ours
    operations.forward(owner, message, 0)
    operations.forward(owner, { ...message, operation: { kind: 'query' } }, 10)
    expect(calls).toEqual([`submit forward/${owner}/7`])
    operations.answered(`forward/${owner}/7`, complete)
    expect(sent).toEqual([
      { to: owner, message: { method: 'forwarded', parameters: { forward: 7, submission, result: complete } } }
    ])
  })

  test('are passed over where this entry is not the owner: the sender finds the owner itself', () => {
    operations.forward(owner, message, 0)
    expect(calls).toEqual([])
  })
})
