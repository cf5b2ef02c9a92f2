/** Submits jobs through an entry and waits for their answers. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Name, SubmissionKey } from '@baobabpost/common'
import { SubmissionAnswer, type JobRequest } from '@baobabpost/messages'
import { Schema } from 'effect'
import { CommandFailure } from './command-failure.js'
import type { EntryClient } from './entry-client.js'
import type { ExitName } from './exit-codes.js'
import type { Progress } from './progress.js'

/** Maximum wait of one request at the entry: short, so that progress is updated between requests. */
const LONG_POLL_MILLISECONDS = 1_000
const RETRY_DELAY_MILLISECONDS = 500
const MILLISECONDS_PER_SECOND = 1_000

/** Submission whose answer is awaited. */
export interface FollowedSubmission {
  readonly submission: SubmissionKey
  readonly customer: string | undefined
  /** Job to submit; without it, an existing submission is queried. */
  readonly request?: JobRequest
  /** Maximum wait for the complete answer. */
  readonly waitSeconds: number
}

/**
 * Validates a submission key from the command line.
 *
 * @throws CommandFailure with exit `usage` if the text is not a submission key.
 */
export function parseSubmissionKey (text: string): SubmissionKey {
  if (Schema.is(SubmissionKey)(text)) return text
  throw new CommandFailure({ exit: 'usage', detail: `'${text}' is not a submission key, which is a UUID of version 7 in lower case` })
}

/** Returns the request path of a submission. Operators name the customer that the submission belongs to. */
export function submissionPath (
  submission: SubmissionKey, customer: string | undefined, suffix = '', waitMilliseconds?: number
): string {
  const query = new URLSearchParams()
  if (customer !== undefined && Schema.is(Name)(customer)) query.set('customer', customer)
  if (waitMilliseconds !== undefined) query.set('waitMilliseconds', String(waitMilliseconds))
  const queryText = query.size === 0 ? '' : `?${query.toString()}`
  return `/v1/submissions/${submission}${suffix}${queryText}`
}

/** Whether a repetition of the request under the same submission key may succeed. */
function isTransient (error: unknown): error is CommandFailure {
  if (!(error instanceof CommandFailure)) return false
  return error.exit === 'unreachable' || error.exit === 'outcome-unknown' || error.exit === 'not-run'
}

async function requestOnce (
  client: EntryClient, followed: FollowedSubmission, waitMilliseconds: number
): Promise<SubmissionAnswer> {
  const { submission, customer, request } = followed
  const path = submissionPath(submission, customer, '', waitMilliseconds)
  if (request === undefined) return await client.request('GET', path, SubmissionAnswer)
  return await client.request('PUT', path, SubmissionAnswer, request)
}

/**
 * Submits or queries a job repeatedly until its answer is complete or the maximum wait is over. Repetitions have the
 * same submission key, so that no task runs twice, and the same body, in case the entry that had the body was lost.
 */
export async function followSubmission (
  client: EntryClient, followed: FollowedSubmission, progress: Progress
): Promise<SubmissionAnswer> {
  const deadline = Date.now() + followed.waitSeconds * MILLISECONDS_PER_SECOND
  for (;;) {
    const remainingMilliseconds = Math.max(0, deadline - Date.now())
    try {
      const answer = await requestOnce(client, followed, Math.min(remainingMilliseconds, LONG_POLL_MILLISECONDS))
      if (answer.state !== 'running' || Date.now() >= deadline) return answer
      progress.report(`${answer.finishedCount} of ${answer.taskCount} tasks finished`)
    } catch (error) {
      if (!isTransient(error) || Date.now() >= deadline) throw error
      progress.report(`${error.detail}; retrying`)
      const pauseMilliseconds = error.problem?.retryAfterMilliseconds ?? RETRY_DELAY_MILLISECONDS
      await sleep(Math.min(pauseMilliseconds, Math.max(0, deadline - Date.now())))
    }
  }
}

/** Returns the name of the exit code for the state of a submission. */
export function exitNameForAnswer (answer: SubmissionAnswer): ExitName {
  switch (answer.state) {
    case 'complete':
      return 'done'
    case 'failed':
      return answer.tasks?.some(task => task.status === 'outcome-unknown') === true ? 'outcome-unknown' : 'failed'
    case 'running':
      return 'unfinished'
  }
}

/** Renders the state of a submission, and the number of its tasks by outcome and reason. */
export function describeAnswer (answer: SubmissionAnswer): string {
  const lines = [
    `submission  ${answer.submission}`,
    `state       ${answer.state}, ${answer.finishedCount} of ${answer.taskCount} tasks finished`
  ]
  const counts = new Map<string, number>()
  for (const task of answer.tasks ?? []) {
    const label = 'reason' in task ? `${task.status} (${task.reason})` : task.status
    counts.set(label, (counts.get(label) ?? 0) + 1)
  }
  for (const [label, count] of counts) lines.push(`outcome     ${label}: ${count}`)
  return lines.join('\n')
}
