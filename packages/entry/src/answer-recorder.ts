/** Counts the answers that callers of this entry get: in metrics, and against the objectives of the burn report. */
import type { AgentIdentity, ErrorKind, Metrics } from '@baobabpost/common'
import type { Configuration } from '@baobabpost/configuration'
import type { JobRequest, OperationResult, SubmissionAnswer, TaskOutcome } from '@baobabpost/messages'
import type { RequestResult } from '@baobabpost/requests'
import type { BurnAccounts } from './burn-tracker.js'

/** What the accounts need. */
export interface AnswerAccountsOptions {
  readonly burn: Pick<BurnAccounts, 'record'>
  readonly configuration: Pick<Configuration, 'resolveJob'>
  readonly metrics: Metrics
}

/** An answered call. */
export interface AnsweredCall {
  readonly service: string
  readonly customer: string
  readonly result: RequestResult
  /** Unix time in milliseconds at which the call arrived. */
  readonly arrivedAt: number
  /** Agent that had the last attempt. */
  readonly agent: AgentIdentity | undefined
}

/** An answered submission of a job. */
export interface AnsweredJob {
  readonly request: JobRequest
  readonly result: OperationResult
  /** Unix time in milliseconds at which the submission arrived. */
  readonly arrivedAt: number
}

/** Counts answers. */
export interface AnswerAccounts {
  call: (answered: AnsweredCall, now: number) => void
  /** An answer that says `running` is not counted, and neither is a job that its caller cancelled. */
  job: (answered: AnsweredJob, now: number) => void
}

/** What is told about an answer: whole, failed for a reason, or nothing that counts. */
type Verdict = { readonly counts: false } | { readonly counts: true, readonly errorKind?: ErrorKind }

const UNCOUNTED: Verdict = { counts: false }

function isCancelled (task: TaskOutcome): boolean {
  return task.status === 'not-run' && task.reason === 'cancelled'
}

/** Worst kind first: work of unknown outcome, then failed work, then work that was not run. */
function verdictOfFailed (tasks: readonly TaskOutcome[]): Verdict {
  const faults = tasks.filter(task => task.status !== 'succeeded' && !isCancelled(task))
  if (faults.length === 0) return UNCOUNTED
  if (faults.some(task => task.status === 'outcome-unknown')) return { counts: true, errorKind: 'outcome-unknown' }
  if (faults.some(task => task.status === 'failed')) return { counts: true, errorKind: 'upstream-failed' }
  return { counts: true, errorKind: 'not-run' }
}

function verdictOfAnswer (answer: SubmissionAnswer): Verdict {
  switch (answer.state) {
    case 'running':
      return UNCOUNTED
    case 'complete':
      return { counts: true }
    case 'failed':
      return verdictOfFailed(answer.tasks ?? [])
  }
}

function verdictOf (result: OperationResult): Verdict {
  switch (result.kind) {
    case 'answer':
      return verdictOfAnswer(result.answer)
    case 'problem':
      return { counts: true, errorKind: result.problem.kind }
    case 'explanation':
      return UNCOUNTED
  }
}

/**
 * Makes the accounts.
 *
 * @example
 * const accounts = createAnswerAccounts({ burn, configuration, metrics })
 * accounts.job({ request, result, arrivedAt }, now)
 */
export function createAnswerAccounts (options: AnswerAccountsOptions): AnswerAccounts {
  const { burn, configuration, metrics } = options

  return {
    call ({ service, customer, result, arrivedAt, agent }, now) {
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

    job ({ request, result, arrivedAt }, now) {
      const verdict = verdictOf(result)
      if (!verdict.counts) return
      const responseMilliseconds = now - arrivedAt
      if (result.kind === 'answer') metrics.count('submissions.answered.count')
      metrics.timing('response.milliseconds', responseMilliseconds)
      const resolution = configuration.resolveJob(request)
      if (resolution.kind === 'problem') return
      const { service, customer } = resolution.request
      const { errorKind } = verdict
      burn.record({ service, customer, responseMilliseconds, ...(errorKind === undefined ? {} : { errorKind }) }, now)
    }
  }
}
