import { describe, expect, test } from 'vitest'
import { createAgentIdentity, createSubmissionKey, silentMetrics } from '@baobabpost/common'
import type { AnsweredRequest } from '@baobabpost/burn-report'
import type { Configuration } from '@baobabpost/configuration'
import { createProblem, type OperationResult, type SubmissionAnswer, type TaskOutcome } from '@baobabpost/messages'
import { createAnswerRecorder } from '../src/answer-recorder.js'

const ARRIVED_AT = 1_000
const REQUEST = { template: 'checkout', customer: 'medina', tasks: [{}] }
const RESOLUTION = { kind: 'resolved', request: { service: 'lending', customer: 'medina' } }
const NOT_RUN: TaskOutcome = { status: 'not-run', reason: 'deadline' }
const CANCELLED: TaskOutcome = { status: 'not-run', reason: 'cancelled' }
const FAILED: TaskOutcome = { status: 'failed', detail: 'jammed' }
const UNKNOWN: TaskOutcome = { status: 'outcome-unknown', reason: 'agent-lost' }
const SUCCEEDED: TaskOutcome = { status: 'succeeded', answer: 7 }

function answered (state: SubmissionAnswer['state'], tasks: readonly TaskOutcome[]): OperationResult {
  const counts = { taskCount: tasks.length, finishedCount: tasks.length }
  return { kind: 'answer', answer: { submission: createSubmissionKey(), state, ...counts, tasks } }
}

function createRecorder (): { recorder: ReturnType<typeof createAnswerRecorder>, recorded: AnsweredRequest[] } {
  const recorded: AnsweredRequest[] = []
  const recorder = createAnswerRecorder({
    burn: { record: answer => { recorded.push(answer) } },
    configuration: { resolveJob: () => RESOLUTION } as unknown as Configuration,
    metrics: silentMetrics
  })
  return { recorder, recorded }
}

describe('counting answers to jobs against the objectives', () => {
  test.each([
    ['complete', [SUCCEEDED, SUCCEEDED], undefined],
    ['failed', [SUCCEEDED, FAILED], 'upstream-failed'],
    ['failed', [FAILED, NOT_RUN, UNKNOWN], 'outcome-unknown'],
    ['failed', [SUCCEEDED, NOT_RUN, CANCELLED], 'not-run']
  ] as const)('a %s job is counted once with its response time and its worst fault', (state, tasks, errorKind) => {
    const { recorder, recorded } = createRecorder()
    recorder.recordJob({ request: REQUEST, result: answered(state, tasks), arrivedAt: ARRIVED_AT }, 1_250)
    const answeredRequest = { service: 'lending', customer: 'medina', responseMilliseconds: 250 }
    expect(recorded).toEqual([errorKind === undefined ? answeredRequest : { ...answeredRequest, errorKind }])
  })

  test('neither an answer that the job is running nor a job that its caller cancelled is counted', () => {
    const { recorder, recorded } = createRecorder()
    recorder.recordJob({ request: REQUEST, result: answered('running', []), arrivedAt: ARRIVED_AT }, 1_250)
    recorder.recordJob({ request: REQUEST, result: answered('failed', [SUCCEEDED, CANCELLED]), arrivedAt: ARRIVED_AT }, 1_250)
    expect(recorded).toEqual([])
  })

  test('a refused job is counted with the kind of the refusal', () => {
    const { recorder, recorded } = createRecorder()
    const result: OperationResult = { kind: 'problem', problem: createProblem('not-run', 'The queue is full') }
    recorder.recordJob({ request: REQUEST, result, arrivedAt: ARRIVED_AT }, 1_001)
    expect(recorded).toMatchObject([{ errorKind: 'not-run', responseMilliseconds: 1 }])
  })
})

test('an answered call is recorded with the upstream that ran it', () => {
  const { recorder, recorded } = createRecorder()
  const result = { kind: 'answer', answer: 7 } as const
  const agent = createAgentIdentity('lending-3')
  recorder.recordCall({ service: 'lending', customer: 'medina', result, arrivedAt: ARRIVED_AT, agent }, 1_080)
  expect(recorded).toEqual([
    { service: 'lending', customer: 'medina', responseMilliseconds: 80, upstream: 'lending-3' }
  ])
})
