/** What really started at the upstreams, and whether what callers were told agrees with it. */
import type { SubmissionKey } from '@baobabpost/common'
import type { OperationResult, SubmissionAnswer, TaskOutcome } from '@baobabpost/messages'
import type { RequestResult } from '@baobabpost/requests'

/** When, and why, a task was told as not run. */
interface ToldNotRun {
  readonly at: number
  readonly reason: string
}

/** What was asked and what came of it. */
interface SubmissionAccount {
  readonly taskCount: number
  readonly starts: Uint8Array
  /** What was told of tasks that did not run, by index. */
  readonly toldNotRunAt: Map<number, ToldNotRun>
  lastSubmittedAt: number
  /** Tasks that were told as succeeded. */
  readonly toldSucceeded: Set<number>
}

interface CallAccount {
  readonly idempotent: boolean
  starts: number
  toldNotRun: boolean
}

/** A broken promise. */
export interface Violation {
  readonly promise: string
  readonly detail: string
  readonly at: number
}

/** The account of all starts and answers of a run. */
export interface RunLog {
  submitted: (key: SubmissionKey, taskCount: number, now: number) => void
  called: (call: string, idempotent: boolean) => void
  /** A task or a call starts at an upstream. */
  started: (submission: string, index: number, call: string | undefined, now: number) => void
  /** `startsBefore` is the number of starts when the operation began. */
  answered: (key: SubmissionKey, result: OperationResult, startsBefore: number, now: number) => void
  startsOf: (key: SubmissionKey) => number
  callAnswered: (call: string, result: RequestResult, now: number) => void
  violate: (promise: string, detail: string, now: number) => void
  violations: () => readonly Violation[]
  /** Number of promises that were checked. */
  checks: () => number
  startCount: () => number
  submissionCount: () => number
  /** Forgets the submissions that were last submitted before a time; their keys have to be past the key window. */
  forget: (before: number) => void
}

/** Makes an empty ledger. */
export function createRunLog (): RunLog {
  const submissions = new Map<string, SubmissionAccount>()
  const calls = new Map<string, CallAccount>()
  const violations: Violation[] = []
  let checks = 0
  let startCount = 0
  let submissionCount = 0

  function check (condition: boolean, promise: string, detail: () => string, now: number): void {
    checks += 1
    if (!condition) violations.push({ promise, detail: detail(), at: now })
  }

  function startTask (account: SubmissionAccount, key: string, index: number, now: number): void {
    account.starts[index]! += 1
    check(account.starts[index] === 1, 'no task starts twice', () => `${key}/${index}`, now)
    const told = account.toldNotRunAt.get(index)
    check(told === undefined || account.lastSubmittedAt > told.at, 'what was told as not run did not run',
      () => `${key}/${index} started after it was told as not run (${told?.reason}) at ${told?.at}`, now)
  }

  function startCall (account: CallAccount, call: string, now: number): void {
    account.starts += 1
    check(account.idempotent || account.starts === 1, 'a non-idempotent call runs at most once', () => call, now)
    check(!account.toldNotRun, 'what was told as not run did not run', () => `call ${call}`, now)
  }

  function checkAnswer (account: SubmissionAccount, key: string, answer: SubmissionAnswer, now: number): void {
    const tasks = answer.tasks ?? []
    check(tasks.length === account.taskCount && answer.taskCount === account.taskCount, 'an answer is whole',
      () => `${key}: ${tasks.length} of ${account.taskCount}`, now)
    const succeeded = tasks.every(task => task.status === 'succeeded')
    check(succeeded === (answer.state === 'complete'), 'complete means that every task succeeded',
      () => `${key}: ${answer.state}`, now)
    for (const [index, task] of tasks.entries()) checkOutcome(account, key, index, task, now)
  }

  function checkOutcome (account: SubmissionAccount, key: string, index: number, task: TaskOutcome, now: number): void {
    const starts = account.starts[index] ?? 0
    // Knowledge may be lost with its holders; it never turns into its contrary.
    const isContrary = account.toldSucceeded.has(index) && (task.status === 'failed' || task.status === 'not-run')
    check(!isContrary, 'what was told as succeeded is not told as failed or not run', () => `${key}/${index}`, now)
    switch (task.status) {
      case 'succeeded': {
        const { submission, place } = task.answer as { submission: string, place: number }
        check(starts === 1 && submission === key && place === index, 'a caller gets the answer to its own task',
          () => `${key}/${index}: ${starts} starts, answer of ${submission}/${place}`, now)
        account.toldSucceeded.add(index)
        return
      }
      case 'failed':
        check(starts === 1, 'what failed did start', () => `${key}/${index}`, now)
        return
      case 'not-run':
        check(starts === 0, 'what was told as not run did not run',
          () => `${key}/${index} (${task.reason}) had started`, now)
        account.toldNotRunAt.set(index, { at: now, reason: task.reason })
        break
      case 'outcome-unknown':
    }
  }

  return {
    submitted (key, taskCount, now) {
      const known = submissions.get(key)
      if (known !== undefined) {
        known.lastSubmittedAt = now
        return
      }
      submissionCount += 1
      submissions.set(key, {
        taskCount,
        starts: new Uint8Array(taskCount),
        toldNotRunAt: new Map(),
        lastSubmittedAt: now,
        toldSucceeded: new Set()
      })
    },
    called (call, idempotent) {
      calls.set(call, { idempotent, starts: 0, toldNotRun: false })
    },
    started (submission, index, call, now) {
      startCount += 1
      const account = submissions.get(submission)
      if (account !== undefined) startTask(account, submission, index, now)
      const callAccount = call === undefined ? undefined : calls.get(call)
      if (call !== undefined && callAccount !== undefined) startCall(callAccount, call, now)
    },
    startsOf (key) {
      let count = 0
      for (const starts of submissions.get(key)?.starts ?? []) count += starts
      return count
    },
    answered (key, result, startsBefore, now) {
      const account = submissions.get(key)
      if (account === undefined) return
      if (result.kind === 'answer') {
        if (result.answer.state !== 'running') checkAnswer(account, key, result.answer, now)
        return
      }
      if (result.kind !== 'problem' || result.problem.ran !== 'no') return
      if (result.problem.kind === 'unknown-submission') {
        // Another connection may submit it at the same time, so only what ran before counts.
        check(startsBefore === 0, 'what was told as unknown had not run', () => key, now)
        return
      }
      for (let index = 0; index < account.taskCount; index += 1) {
        check(account.starts[index] === 0, 'what was told as not run did not run',
          () => `${key}/${index} had started: ${result.problem.kind}`, now)
      }
    },
    callAnswered (call, result, now) {
      const account = calls.get(call)
      if (account === undefined) return
      if (result.kind === 'answer') {
        check(account.starts > 0 && (result.answer as { call: string }).call === call,
          'a caller gets the answer to its own call', () => call, now)
        return
      }
      if (result.problem.ran === 'no') {
        check(account.starts === 0, 'what was told as not run did not run', () => `call ${call} had started`, now)
        account.toldNotRun = true
      }
      if (result.problem.ran === 'yes') check(account.starts > 0, 'what failed did start', () => call, now)
    },
    violate (promise, detail, now) {
      violations.push({ promise, detail, at: now })
    },
    violations: () => violations,
    checks: () => checks,
    startCount: () => startCount,
    submissionCount: () => submissionCount,
    forget (before) {
      for (const [key, account] of submissions) {
        if (account.lastSubmittedAt < before) submissions.delete(key)
      }
    }
  }
}
