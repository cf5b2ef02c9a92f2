/** Counts the answers to callers of this entry in the metrics and against the objectives of the burn report. */
import type { AgentIdentity, ErrorKind, Metrics } from '@baobabpost/common'
import type { Configuration } from '@baobabpost/configuration'
import type { JobRequest, OperationResult, SubmissionAnswer, TaskOutcome } from '@baobabpost/messages'
import type { RequestResult } from '@baobabpost/requests'
import type { BurnTracker } from './burn-tracker.js'

export interface AnswerRecorderOptions {
  readonly burn: Pick<BurnTracker, 'record'>
  readonly configuration: Pick<Configuration, 'resolveJob'>
  readonly metrics: Metrics
}

export interface AnsweredCall {
  readonly service: string
  readonly customer: string
  readonly result: RequestResult
  /** Unix time in milliseconds at which the call arrived. */
  readonly arrivedAt: number
  /** Agent of the last attempt that finished. */
  readonly agent: AgentIdentity | undefined
}

export interface AnsweredJob {
  readonly request: JobRequest
  readonly result: OperationResult
  /** Unix time in milliseconds at which the submission arrived. */
  readonly arrivedAt: number
}

export interface AnswerRecorder {
  recordCall: (answered: AnsweredCall, now: number) => void
  /** Counts the answer to a job, except an answer with state `running` and a job that its caller cancelled. */
  recordJob: (answered: AnsweredJob, now: number) => void
}

/** How an answer counts: as a success, as a failure of an error kind, or not at all. */
type Classification = { readonly isCounted: false } | { readonly isCounted: true, readonly errorKind?: ErrorKind }

const UNCOUNTED: Classification = { isCounted: false }

function isCancelled (task: TaskOutcome): boolean {
  return task.status === 'not-run' && task.reason === 'cancelled'
}

/** Returns the worst kind among the tasks: first an unknown outcome, then a failure, then a task that was not run. */
function classifyFailedTasks (tasks: readonly TaskOutcome[]): Classification {
  const unsuccessfulTasks = tasks.filter(task => task.status !== 'succeeded' && !isCancelled(task))
  if (unsuccessfulTasks.length === 0) return UNCOUNTED
  if (unsuccessfulTasks.some(task => task.status === 'outcome-unknown')) return { isCounted: true, errorKind: 'outcome-unknown' }
  if (unsuccessfulTasks.some(task => task.status === 'failed')) return { isCounted: true, errorKind: 'upstream-failed' }
  return { isCounted: true, errorKind: 'not-run' }
}

function classifyAnswer (answer: SubmissionAnswer): Classification {
  switch (answer.state) {
    case 'running':
      return UNCOUNTED
    case 'complete':
      return { isCounted: true }
    case 'failed':
      return classifyFailedTasks(answer.tasks ?? [])
  }
}

function classifyResult (result: OperationResult): Classification {
  switch (result.kind) {
    case 'answer':
      return classifyAnswer(result.answer)
    case 'problem':
      return { isCounted: true, errorKind: result.problem.kind }
    case 'explanation':
      return UNCOUNTED
  }
}

/**
 * Creates the recorder of an entry's answers.
 *
 * @example
 * const recorder = createAnswerRecorder({ burn, configuration, metrics })
 * recorder.recordJob({ request, result, arrivedAt }, now)
 */
export function createAnswerRecorder (options: AnswerRecorderOptions): AnswerRecorder {
  const { burn, configuration, metrics } = options

  return {
    recordCall ({ service, customer, result, arrivedAt, agent }, now) {
      const responseMilliseconds = now - arrivedAt
      metrics.count('requests.answered.count')
      metrics.timing('response.milliseconds', responseMilliseconds)
      burn.record({
        service,
        customer,
        responseMilliseconds,
        ...(result.kind === 'problem' ? { errorKind: result.problem.kind } : {}),
        ...(agent === undefined ? {} : { upstream: agent.split('@')[0] ?? agent })
      }, now)
    },

    recordJob ({ request, result, arrivedAt }, now) {
      const classification = classifyResult(result)
      if (!classification.isCounted) return
      const responseMilliseconds = now - arrivedAt
      if (result.kind === 'answer') metrics.count('submissions.answered.count')
      metrics.timing('response.milliseconds', responseMilliseconds)
      const resolution = configuration.resolveJob(request)
      if (resolution.kind === 'problem') return
      const { service, customer } = resolution.request
      const { errorKind } = classification
      burn.record({ service, customer, responseMilliseconds, ...(errorKind === undefined ? {} : { errorKind }) }, now)
    }
  }
}
