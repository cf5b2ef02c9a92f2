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

describe('operations at the entry that received them', () => {
  test('a repeated forward omits the body, which is sent again if the owner does not know the submission', () => {
    const forward = begin()
    operations.tick(1_000)
    expect(forwards().map(message => message.operation.kind)).toEqual(['submit', 'query'])
    const problem = createProblem('unknown-submission', 'no')
    operations.handleForwarded({ forward, submission, result: { kind: 'problem', problem } }, 1_010)
    expect(forwards().at(-1)?.operation).toEqual(submitOperation)
    expect(results).toEqual([])
  })

  test('the body is sent to the next owner when the owner is lost', () => {
    begin()
    state = ownedBy(nextOwner, 2)
    operations.tick(50)
    expect(sent.at(-1)?.to).toBe(nextOwner)
    expect(forwards().at(-1)?.operation).toEqual(submitOperation)
  })

  test('forwards to the next owner repeat the body for a limited time', () => {
    begin()
    state = ownedBy(nextOwner, 2)
    for (const now of [50, 1_100, 2_200, 6_000]) operations.tick(now)
    expect(forwards().map(message => message.operation.kind)).toEqual(['submit', 'submit', 'submit', 'submit', 'query'])
  })

  test('a submission waits while its partition has no owner, and is executed here once this entry is the owner', () => {
    state = { kind: 'none' }
    begin()
    operations.tick(50)
    expect(sent).toEqual([])
    state = ours
    operations.tick(100)
    expect(calls).toEqual(['submit local/1'])
  })

  test('a caller gets its answer once, even if the owner repeats it', () => {
    const forward = begin()
    operations.handleForwarded({ forward, submission, result: complete }, 10)
    operations.handleForwarded({ forward, submission, result: complete }, 20)
    expect(results).toEqual([complete])
    expect(operations.pendingCount()).toBe(0)
  })

  test('an answer about another submission is ignored', () => {
    const forward = begin()
    operations.handleForwarded({ forward, submission: createSubmissionKey(2_000), result: complete }, 10)
    expect(results).toEqual([])
  })

  test('a caller gets outcome-unknown with a retry time if the owner does not answer in time', () => {
    begin(1_000)
    operations.tick(1_600)
    expect(results).toMatchObject([{ kind: 'problem', problem: { kind: 'outcome-unknown', retryAfterMilliseconds: 1_000 } }])
  })

  test('waiters of a partition that moved away are rerouted to its next owner', () => {
    state = ours
    begin()
    state = ownedBy(nextOwner, 3)
    operations.reroute(['local/1'], 10)
    expect(sent.at(-1)?.to).toBe(nextOwner)
  })
})

describe('operations that other entries forward', () => {
  const message: Forward = {
    forward: 7, submission, customer: 'c', operation: submitOperation, waitUntil: 60_000
  }

  test('are executed once while they wait, and answered to the entry that forwarded them', () => {
    state = ours
    operations.handleForward(owner, message, 0)
    operations.handleForward(owner, { ...message, operation: { kind: 'query' } }, 10)
    expect(calls).toEqual([`submit forward/${owner}/7`])
    operations.handleResult(`forward/${owner}/7`, complete)
    expect(sent).toEqual([
      { to: owner, message: { method: 'forwarded', parameters: { forward: 7, submission, result: complete } } }
    ])
  })

  test('are ignored if this entry is not the owner, because the sender looks up the owner itself', () => {
    operations.handleForward(owner, message, 0)
    expect(calls).toEqual([])
  })
})
