/** Results that are told to waiters. */
import type { SubmissionKey } from '@baobabpost/common'
import {
  createProblem, type OperationResult, type Problem, type ProblemFields, type SubmissionAnswer, type TaskOutcome
} from '@baobabpost/messages'
import { type Job, TaskState } from './job.js'

/** Builds the whole answer of a job whose tasks are all finished: complete if all succeeded, else failed. */
export function wholeAnswer (job: Job): SubmissionAnswer {
  const tasks: TaskOutcome[] = []
  let complete = true
  for (let index = 0; index < job.header.taskCount; index += 1) {
    const outcome = job.outcome(index)
    if (outcome === undefined) break
    if (outcome.status !== 'succeeded') complete = false
    tasks.push(outcome)
  }
  return {
    submission: job.submission,
    state: complete ? 'complete' : 'failed',
    taskCount: job.header.taskCount,
    finishedCount: tasks.length,
    tasks
  }
}

/** Tells how far a job is, without any outcome. */
export function runningAnswer (job: Job, retryAfterMilliseconds: number): SubmissionAnswer {
  return {
    submission: job.submission,
    state: 'running',
    taskCount: job.header.taskCount,
    finishedCount: job.count(TaskState.finished),
    retryAfterMilliseconds
  }
}

/** Wraps an answer. */
export function answerResult (answer: SubmissionAnswer): OperationResult {
  return { kind: 'answer', answer }
}

/** Wraps a problem. */
export function problemResult (kind: Problem['kind'], detail: string, fields: ProblemFields = {}): OperationResult {
  return { kind: 'problem', problem: createProblem(kind, detail, fields) }
}

/** The key was seen by an earlier owner, or may have been. */
export function uncertainResult (submission: SubmissionKey, retryAfterMilliseconds: number): OperationResult {
  const detail = `Submission ${submission} may have been seen by an owner that is gone`
  return problemResult('outcome-unknown', detail, { retryAfterMilliseconds })
}
