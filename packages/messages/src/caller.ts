/** Bodies of the callers' HTTP interface; `docs/INTERFACE.md` describes the routes. */
import { ErrorKindSchema, Name, SubmissionKey } from '@baobabpost/common'
import { Schema } from 'effect'
import { ForeignJsonRecord, Milliseconds, NonNegativeInt } from './json.js'
import { MAXIMUM_TASKS_PER_JOB } from './limits.js'
import { NotRunReason, TaskOutcome } from './outcome.js'

/** Body of `PUT /v1/submissions/KEY`: a job of 1 to 2,000 tasks against a template. */
export const JobRequest = Schema.Struct({
  template: Name,
  customer: Name,
  /** Input of each task; overrides the parameters of the template and the customer. */
  tasks: Schema.Array(ForeignJsonRecord).check(Schema.isMinLength(1), Schema.isMaxLength(MAXIMUM_TASKS_PER_JOB)),
  /** Whether the job has priority over jobs that are not urgent. */
  urgent: Schema.optionalKey(Schema.Boolean),
  /** Time after arrival within which a task must start; tasks that have not started by then are not run. */
  deadlineMilliseconds: Schema.optionalKey(Milliseconds)
})
export type JobRequest = typeof JobRequest.Type

/** Body of `POST /v1/calls`: a single request. */
export const CallRequest = Schema.Struct({
  template: Name,
  customer: Name,
  input: ForeignJsonRecord,
  /** Whether the request may safely be repeated; the template's call type if absent. */
  idempotent: Schema.optionalKey(Schema.Boolean),
  deadlineMilliseconds: Schema.optionalKey(Milliseconds)
})
export type CallRequest = typeof CallRequest.Type

/** State of a submission as reported to callers. */
export const SubmissionState = Schema.Literals(['running', 'complete', 'failed'])
export type SubmissionState = typeof SubmissionState.Type

/** Answer about a submission. `tasks` holds all outcomes in task order once the state is `complete` or `failed`. */
export const SubmissionAnswer = Schema.Struct({
  submission: SubmissionKey,
  state: SubmissionState,
  taskCount: NonNegativeInt,
  finishedCount: NonNegativeInt,
  tasks: Schema.optionalKey(Schema.Array(TaskOutcome)),
  retryAfterMilliseconds: Schema.optionalKey(Milliseconds)
})
export type SubmissionAnswer = typeof SubmissionAnswer.Type

/** Body of every error answer; `ran` says whether any work was run, and `next` what the caller can do. */
export const Problem = Schema.Struct({
  kind: ErrorKindSchema,
  title: Schema.String,
  detail: Schema.String,
  ran: Schema.Literals(['no', 'yes', 'unknown']),
  next: Schema.String,
  reason: Schema.optionalKey(NotRunReason),
  retryAfterMilliseconds: Schema.optionalKey(Milliseconds)
})
export type Problem = typeof Problem.Type

/** Body of the answer to a successful call. */
export const CallAnswer = Schema.Struct({ answer: Schema.Unknown })
export type CallAnswer = typeof CallAnswer.Type
