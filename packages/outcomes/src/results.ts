/** Results that are sent to waiters. */
import type { SubmissionKey } from '@baobabpost/common'
import {
  createProblem, type OperationResult, type Problem, type ProblemFields, type SubmissionAnswer, type TaskOutcome
} from '@baobabpost/messages'
import { type Job, TaskState } from './job.js'

/** Builds the complete answer of a finished job: state `complete` if all tasks succeeded, `failed` otherwise. */
export function buildCompleteAnswer (job: Job): SubmissionAnswer {
  const tasks: TaskOutcome[] = []
  let isComplete = true
  for (let index = 0; index < job.header.taskCount; index += 1) {
    const outcome = job.outcome(index)
    if (outcome === undefined) break
    if (outcome.status !== 'succeeded') isComplete = false
    tasks.push(outcome)
  }
  return {
    submission: job.submission,
    state: isComplete ? 'complete' : 'failed',
    taskCount: job.header.taskCount,
    finishedCount: tasks.length,
    tasks
  }
}

/** Builds the answer of an unfinished job: its progress, without outcomes. */
export function buildRunningAnswer (job: Job, retryAfterMilliseconds: number): SubmissionAnswer {
  return {
    submission: job.submission,
    state: 'running',
    taskCount: job.header.taskCount,
    finishedCount: job.count(TaskState.finished),
    retryAfterMilliseconds
  }
}

export function answerResult (answer: SubmissionAnswer): OperationResult {
  return { kind: 'answer', answer }
}

export function problemResult (kind: Problem['kind'], detail: string, fields: ProblemFields = {}): OperationResult {
  return { kind: 'problem', problem: createProblem(kind, detail, fields) }
}

/** Builds the result for a key that an earlier owner may have accepted. */
export function uncertainResult (submission: SubmissionKey, retryAfterMilliseconds: number): OperationResult {
  const detail = `Submission ${submission} may have been seen by an owner that is gone`
  return problemResult('outcome-unknown', detail, { retryAfterMilliseconds })
}
