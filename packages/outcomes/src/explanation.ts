/** Explains the state of a submission. */
import { type Job, TaskState } from './job.js'
import type { SubmissionExplanation } from './outcomes.js'

/** Collects the recorded steps and the task counts of a job. */
export function explainJob (job: Job): SubmissionExplanation {
  return {
    submission: job.submission,
    customer: job.header.customer,
    template: job.header.template,
    taskCount: job.header.taskCount,
    finishedCount: job.count(TaskState.finished),
    waitingCount: job.count(TaskState.waiting) + job.count(TaskState.missingBody) + job.count(TaskState.unreported),
    dispatchedCount: job.count(TaskState.dispatched),
    cancelled: job.cancelled,
    steps: job.steps.steps(),
    omittedSteps: job.steps.omitted()
  }
}
