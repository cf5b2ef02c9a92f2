/** Tells why a submission is where it is. */
import { type Job, TaskState } from './job.js'
import type { SubmissionExplanation } from './outcomes.js'

/** Gathers the steps and the counts of a job. */
export function explainJob (job: Job): SubmissionExplanation {
  return {
    submission: job.submission,
    customer: job.header.customer,
    template: job.header.template,
    taskCount: job.header.taskCount,
    finishedCount: job.count(TaskState.finished),
    waitingCount: job.count(TaskState.waiting) + job.count(TaskState.bodiless) + job.count(TaskState.unreported),
    dispatchedCount: job.count(TaskState.dispatched),
    cancelled: job.cancelled,
    steps: job.steps.steps(),
    omittedSteps: job.steps.omitted()
  }
}
