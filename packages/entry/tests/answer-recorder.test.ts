import { describe, expect, test } from 'vitest'
import { createAgentIdentity, createSubmissionKey, silentMetrics } from '@baobabpost/common'
import type { AnsweredRequest } from '@baobabpost/burn-report'
import type { Configuration } from '@baobabpost/configuration'
import { createProblem, type OperationResult, type SubmissionAnswer, type TaskOutcome } from '@baobabpost/messages'
import { createAnswerAccounts } from '../src/answer-recorder.js'

const ARRIVED = 1_000
const REQUEST = { template: 'checkout', customer: 'medina', tasks: [{}] }
const RESOLVED = { kind: 'resolved', request: { service: 'lending', customer: 'medina' } }
const NOT_RUN: TaskOutcome = { status: 'not-run', reason: 'deadline' }
const CANCELLED: TaskOutcome = { status: 'not-run', reason: 'cancelled' }
const FAILED: TaskOutcome = { status: 'failed', detail: 'jammed' }
const UNKNOWN: TaskOutcome = { status: 'outcome-unknown', reason: 'agent-lost' }
const SUCCEEDED: TaskOutcome = { status: 'succeeded', answer: 7 }

function answered (state: SubmissionAnswer['state'], tasks: readonly TaskOutcome[]): OperationResult {
  const counts = { taskCount: tasks.length, finishedCount: tasks.length }
  return { kind: 'answer', answer: { submission: createSubmissionKey(), state, ...counts, tasks } }
}

function createAccounts (): { accounts: ReturnType<typeof createAnswerAccounts>, recorded: AnsweredRequest[] } {
  const recorded: AnsweredRequest[] = []
  const accounts = createAnswerAccounts({
    burn: { record: answer => { recorded.push(answer) } },
    configuration: { resolveJob: () => RESOLVED } as unknown as Configuration,
    metrics: silentMetrics
  })
  return { accounts, recorded }
}

describe('answers of jobs against the objectives', () => {
  test.each([
    ['complete', [SUCCEEDED, SUCCEEDED], undefined],
    ['failed', [SUCCEEDED, FAILED], 'upstream-failed'],
    ['failed', [FAILED, NOT_RUN, UNKNOWN], 'outcome-unknown'],
    ['failed', [SUCCEEDED, NOT_RUN, CANCELLED], 'not-run']
  ] as const)('a %s job is counted once with its response time and its worst fault', (state, tasks, errorKind) => {
    const { accounts, recorded } = createAccounts()
    accounts.job({ request: REQUEST, result: answered(state, tasks), arrivedAt: ARRIVED }, 1_250)
    const whole = { service: 'lending', customer: 'medina', responseMilliseconds: 250 }
    expect(recorded).toEqual([errorKind === undefined ? whole : { ...whole, errorKind }])
  })

  test('neither an answer that the job is running nor a job that its caller cancelled is counted', () => {
    const { accounts, recorded } = createAccounts()
    accounts.job({ request: REQUEST, result: answered('running', []), arrivedAt: ARRIVED }, 1_250)
    accounts.job({ request: REQUEST, result: answered('failed', [SUCCEEDED, CANCELLED]), arrivedAt: ARRIVED }, 1_250)
    expect(recorded).toEqual([])
  })

  test('a refused job is counted with the kind of the refusal', () => {
    const { accounts, recorded } = createAccounts()
    const result: OperationResult = { kind: 'problem', problem: createProblem('not-run', 'The queue is full') }
    accounts.job({ request: REQUEST, result, arrivedAt: ARRIVED }, 1_001)
    expect(recorded).toMatchObject([{ errorKind: 'not-run', responseMilliseconds: 1 }])
  })
})

test('an answered call names the upstream that it ran at', () => {
  const { accounts, recorded } = createAccounts()
  const result = { kind: 'answer', answer: 7 } as const
  const agent = createAgentIdentity('lending-3')
  accounts.call({ service: 'lending', customer: 'medina', result, arrivedAt: ARRIVED, agent }, 1_080)
  expect(recorded).toEqual([
    { service: 'lending', customer: 'medina', responseMilliseconds: 80, upstream: 'lending-3' }
  ])
})
