/** Submits, follows and cancels jobs through an entry. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Name, SubmissionKey } from '@baobabpost/common'
import { SubmissionAnswer, type JobRequest } from '@baobabpost/messages'
import { Schema } from 'effect'
import { CommandFailure } from './command-failure.js'
import type { EntryClient } from './entry-client.js'
import type { ExitName } from './exit-codes.js'
import type { Progress } from './progress.js'

/** How long one request waits at the entry, so that progress is shown meanwhile. */
const STEP_MILLISECONDS = 1_000
const RETRY_MILLISECONDS = 500
const MILLISECONDS_PER_SECOND = 1_000

/** A submission that is followed to its end. */
export interface FollowedSubmission {
  readonly submission: SubmissionKey
  readonly customer: string | undefined
  /** The job, where it is to be submitted; the submission is asked for otherwise. */
  readonly request?: JobRequest
  /** Longest time to wait for the end. */
  readonly waitSeconds: number
}

/**
 * Checks a submission key that was given on the command line.
 *
 * @throws CommandFailure with exit `usage`.
 */
export function parseSubmissionKey (text: string): SubmissionKey {
  if (Schema.is(SubmissionKey)(text)) return text
  throw new CommandFailure({ exit: 'usage', detail: `'${text}' is not a submission key: a UUID of version 7` })
}

/** Writes the path of a submission; an operator names the customer that it belongs to. */
export function submissionPath (
  submission: SubmissionKey, customer: string | undefined, suffix = '', waitMilliseconds?: number
): string {
  const query = new URLSearchParams()
  if (customer !== undefined && Schema.is(Name)(customer)) query.set('customer', customer)
  if (waitMilliseconds !== undefined) query.set('waitMilliseconds', String(waitMilliseconds))
  const tail = query.size === 0 ? '' : `?${query.toString()}`
  return `/v1/submissions/${submission}${suffix}${tail}`
}

/** Whether asking again under the same key may still bring the answer. */
function isTransient (failure: unknown): failure is CommandFailure {
  if (!(failure instanceof CommandFailure)) return false
  return failure.exit === 'unreachable' || failure.exit === 'outcome-unknown' || failure.exit === 'not-run'
}

async function askOnce (client: EntryClient, followed: FollowedSubmission, wait: number): Promise<SubmissionAnswer> {
  const { submission, customer, request } = followed
  const path = submissionPath(submission, customer, '', wait)
  if (request === undefined) return await client.ask('GET', path, SubmissionAnswer)
  return await client.ask('PUT', path, SubmissionAnswer, request)
}

/**
 * Submits or asks until the answer is there or the time is over. Every repetition goes under the same key, so that
 * nothing runs twice; it also carries the body again, in case the first was lost with its entry.
 */
export async function followSubmission (
  client: EntryClient, followed: FollowedSubmission, progress: Progress
): Promise<SubmissionAnswer> {
  const deadline = Date.now() + followed.waitSeconds * MILLISECONDS_PER_SECOND
  for (;;) {
    const left = Math.max(0, deadline - Date.now())
    try {
      const answer = await askOnce(client, followed, Math.min(left, STEP_MILLISECONDS))
      if (answer.state !== 'running' || Date.now() >= deadline) return answer
      progress.report(`${answer.finishedCount} of ${answer.taskCount} tasks finished`)
    } catch (failure) {
      if (!isTransient(failure) || Date.now() >= deadline) throw failure
      progress.report(`${failure.detail}; asking again`)
      const pause = failure.problem?.retryAfterMilliseconds ?? RETRY_MILLISECONDS
      await sleep(Math.min(pause, Math.max(0, deadline - Date.now())))
    }
  }
}

/** Tells how to exit after an answer about a submission. */
export function exitOf (answer: SubmissionAnswer): ExitName {
  switch (answer.state) {
    case 'complete':
      return 'done'
    case 'failed':
      return answer.tasks?.some(task => task.status === 'outcome-unknown') === true ? 'outcome-unknown' : 'failed'
    case 'running':
      return 'unfinished'
  }
}

/** Writes the state of a submission with its outcomes counted by status and reason. */
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
