/** Log of the starts at the upstreams and of the answers to callers, checked for violations of the guarantees. */
import type { SubmissionKey } from '@baobabpost/common'
import type { OperationResult, SubmissionAnswer, TaskOutcome } from '@baobabpost/messages'
import type { RequestResult } from '@baobabpost/requests'

/** When and why a task was reported as not run. */
interface NotRunReport {
  readonly at: number
  readonly reason: string
}

interface SubmissionRecord {
  readonly taskCount: number
  /** Number of starts by task index. */
  readonly starts: Uint8Array
  /** Latest report of each task that was reported as not run, by task index. */
  readonly notRunReports: Map<number, NotRunReport>
  lastSubmittedAt: number
  /** Indexes of the tasks that were reported as succeeded. */
  readonly reportedSucceeded: Set<number>
}

interface CallRecord {
  readonly idempotent: boolean
  starts: number
  wasReportedNotRun: boolean
}

/** A violated guarantee. */
export interface Violation {
  readonly guarantee: string
  readonly detail: string
  /** Simulated time in Unix milliseconds. */
  readonly at: number
}

export interface RunLog {
  recordSubmission: (key: SubmissionKey, taskCount: number, now: number) => void
  recordCall: (call: string, idempotent: boolean) => void
  /** Records that an upstream started a task or a call. */
  recordStart: (submission: string, index: number, call: string | undefined, now: number) => void
  /** Checks an answer. `startsBefore` is the number of starts of the submission when the operation began. */
  recordAnswer: (key: SubmissionKey, result: OperationResult, startsBefore: number, now: number) => void
  startCountOf: (key: SubmissionKey) => number
  recordCallAnswer: (call: string, result: RequestResult, now: number) => void
  recordViolation: (guarantee: string, detail: string, now: number) => void
  violations: () => readonly Violation[]
  /** Number of checks of a guarantee. */
  checkCount: () => number
  startCount: () => number
  submissionCount: () => number
  /** Deletes submissions last submitted before a time, which must be outside the key window. */
  forgetBefore: (before: number) => void
}

export function createRunLog (): RunLog {
  const submissions = new Map<string, SubmissionRecord>()
  const calls = new Map<string, CallRecord>()
  const violations: Violation[] = []
  let checkCount = 0
  let startCount = 0
  let submissionCount = 0

  function check (condition: boolean, guarantee: string, detail: () => string, now: number): void {
    checkCount += 1
    if (!condition) violations.push({ guarantee, detail: detail(), at: now })
  }

  function checkTaskStart (record: SubmissionRecord, key: string, index: number, now: number): void {
    record.starts[index]! += 1
    check(record.starts[index] === 1, 'no task starts twice', () => `${key}/${index}`, now)
    const notRunReport = record.notRunReports.get(index)
    check(notRunReport === undefined || record.lastSubmittedAt > notRunReport.at, 'work reported as not run did not run',
      () => `${key}/${index} started after it was reported as not run (${notRunReport?.reason}) at ${notRunReport?.at}`, now)
  }

  function checkCallStart (record: CallRecord, call: string, now: number): void {
    record.starts += 1
    check(record.idempotent || record.starts === 1, 'a non-idempotent call runs at most once', () => call, now)
    check(!record.wasReportedNotRun, 'work reported as not run did not run', () => `call ${call}`, now)
  }

  function checkAnswer (record: SubmissionRecord, key: string, answer: SubmissionAnswer, now: number): void {
    const tasks = answer.tasks ?? []
    check(tasks.length === record.taskCount && answer.taskCount === record.taskCount, 'an answer has all tasks',
      () => `${key}: ${tasks.length} of ${record.taskCount}`, now)
    const succeeded = tasks.every(task => task.status === 'succeeded')
    check(succeeded === (answer.state === 'complete'), 'a submission is complete if and only if every task succeeded',
      () => `${key}: ${answer.state}`, now)
    for (const [index, task] of tasks.entries()) checkOutcome(record, key, index, task, now)
  }

  function checkOutcome (record: SubmissionRecord, key: string, index: number, task: TaskOutcome, now: number): void {
    const starts = record.starts[index] ?? 0
    // A lost process may turn a known outcome into an unknown one, but never into the opposite outcome.
    const isContradiction = record.reportedSucceeded.has(index) && (task.status === 'failed' || task.status === 'not-run')
    check(!isContradiction, 'a task reported as succeeded is never reported as failed or not run', () => `${key}/${index}`, now)
    switch (task.status) {
      case 'succeeded': {
        const { submission, place } = task.answer as { submission: string, place: number }
        check(starts === 1 && submission === key && place === index, 'a caller gets the answer to its own task',
          () => `${key}/${index}: ${starts} starts, answer of ${submission}/${place}`, now)
        record.reportedSucceeded.add(index)
        return
      }
      case 'failed':
        check(starts === 1, 'work reported as failed did start', () => `${key}/${index}`, now)
        return
      case 'not-run':
        check(starts === 0, 'work reported as not run did not run',
          () => `${key}/${index} (${task.reason}) had started`, now)
        record.notRunReports.set(index, { at: now, reason: task.reason })
        break
      case 'outcome-unknown':
    }
  }

  return {
    recordSubmission (key, taskCount, now) {
      const known = submissions.get(key)
      if (known !== undefined) {
        known.lastSubmittedAt = now
        return
      }
      submissionCount += 1
      submissions.set(key, {
        taskCount,
        starts: new Uint8Array(taskCount),
        notRunReports: new Map(),
        lastSubmittedAt: now,
        reportedSucceeded: new Set()
      })
    },
    recordCall (call, idempotent) {
      calls.set(call, { idempotent, starts: 0, wasReportedNotRun: false })
    },
    recordStart (submission, index, call, now) {
      startCount += 1
      const record = submissions.get(submission)
      if (record !== undefined) checkTaskStart(record, submission, index, now)
      const callRecord = call === undefined ? undefined : calls.get(call)
      if (call !== undefined && callRecord !== undefined) checkCallStart(callRecord, call, now)
    },
    startCountOf (key) {
      let count = 0
      for (const starts of submissions.get(key)?.starts ?? []) count += starts
      return count
    },
    recordAnswer (key, result, startsBefore, now) {
      const record = submissions.get(key)
      if (record === undefined) return
      if (result.kind === 'answer') {
        if (result.answer.state !== 'running') checkAnswer(record, key, result.answer, now)
        return
      }
      if (result.kind !== 'problem' || result.problem.ran !== 'no') return
      if (result.problem.kind === 'unknown-submission') {
        // Another connection may submit the key concurrently, so only starts before this operation count.
        check(startsBefore === 0, 'a submission reported as unknown had not run', () => key, now)
        return
      }
      for (let index = 0; index < record.taskCount; index += 1) {
        check(record.starts[index] === 0, 'work reported as not run did not run',
          () => `${key}/${index} had started: ${result.problem.kind}`, now)
      }
    },
    recordCallAnswer (call, result, now) {
      const record = calls.get(call)
      if (record === undefined) return
      if (result.kind === 'answer') {
        check(record.starts > 0 && (result.answer as { call: string }).call === call,
          'a caller gets the answer to its own call', () => call, now)
        return
      }
      if (result.problem.ran === 'no') {
        check(record.starts === 0, 'work reported as not run did not run', () => `call ${call} had started`, now)
        record.wasReportedNotRun = true
      }
      if (result.problem.ran === 'yes') check(record.starts > 0, 'work reported as failed did start', () => call, now)
    },
    recordViolation (guarantee, detail, now) {
      violations.push({ guarantee, detail, at: now })
    },
    violations: () => violations,
    checkCount: () => checkCount,
    startCount: () => startCount,
    submissionCount: () => submissionCount,
    forgetBefore (before) {
      for (const [key, record] of submissions) {
        if (record.lastSubmittedAt < before) submissions.delete(key)
      }
    }
  }
}
