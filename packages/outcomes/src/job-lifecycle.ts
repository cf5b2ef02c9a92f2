/** What happens to tasks once a job is known: waiting, dispatch, outcome, and the whole answer at the end. */
import type { Invariants, SubmissionKey } from '@baobabpost/common'
import type {
  JobRequest, NotRunReason, OperationResult, SubmissionAnswer, TaskOutcome
} from '@baobabpost/messages'
import { type HeldTasks, type Job, TaskState } from './job.js'
import type { JobStore } from './job-store.js'
import type { FinishedSubmission, OutcomesPorts, WaitingTasks } from './outcomes.js'
import { answerResult, runningAnswer, wholeAnswer } from './results.js'
import type { Timeline } from './timeline.js'
import { createWithdrawals } from './withdrawals.js'

const FIRST_HOLD_BACK_MILLISECONDS = 20
const LAST_HOLD_BACK_MILLISECONDS = 1_000
/** Time after which a verdict is tried again that could not be given. */
const VERDICT_RETRY_MILLISECONDS = 100

/** What falls due for a submission. */
export type DueItem =
  | { readonly kind: 'waiter', readonly waiter: string, readonly submission: SubmissionKey }
  | { readonly kind: 'resend', readonly job: Job, readonly held: HeldTasks }
  | { readonly kind: 'held-back', readonly job: Job, readonly index: number }
  | { readonly kind: 'adoption', readonly job: Job }
  | { readonly kind: 'release', readonly job: Job }
  | { readonly kind: 'expiry', readonly job: Job }

/** What the life of jobs works with. */
export interface JobLifecycleOptions {
  readonly ports: OutcomesPorts
  readonly invariants: Invariants
  readonly store: JobStore
  readonly timeline: Timeline<DueItem>
  /** Begins to watch what agents hold of a job. */
  readonly watch: (job: Job, now: number) => void
  readonly adoptionWindowMilliseconds: number
  readonly retryAfterMilliseconds: number
}

/** Steps that jobs take. */
export interface JobLifecycle {
  /** Adds a waiter, or answers it at once where the job is finished or it does not wait. */
  wait: (job: Job, waiter: string, waitUntil: number, now: number) => void
  /** The waiter's time is over. */
  waiterDue: (job: Job, waiter: string, now: number) => void
  answer: (waiter: string, result: OperationResult, now: number) => void
  /** Sets the final outcome of a task, and answers everybody once it is the last. */
  finish: (job: Job, index: number, outcome: TaskOutcome, now: number) => void
  finishAll: (job: Job, indexes: readonly number[], outcome: TaskOutcome, now: number) => void
  /** Ends tasks as not run, as soon as that may be said. */
  judgeNotRun: (job: Job, indexes: readonly number[], reason: NotRunReason, now: number) => void
  /** Tells a finished job's answer to all who wait, as soon as that may be said. */
  release: (job: Job, now: number) => void
  /** Queues tasks that did not start, or ends them where that can't be. */
  requeue: (job: Job, indexes: readonly number[], now: number) => void
  /** Queues a task again after a time that grows with its refusals. */
  holdBack: (job: Job, index: number, now: number) => void
  /** Takes in the body of a job that was taken over without one. */
  adopt: (job: Job, request: JobRequest, now: number) => void
  /** The time to adopt a job is over. */
  adoptionDue: (job: Job, now: number) => void
  cancel: (job: Job, now: number) => void
  /** Asks the agent again what was asked before: to run the tasks, or to give them up. */
  repeat: (job: Job, held: HeldTasks, now: number) => void
  waitingTasks: (job: Job, indexes: readonly number[]) => WaitingTasks | undefined
  flushWithdrawals: (now: number) => void
}

/** Makes an outcome of a task that did not run. */
export function notRun (reason: NotRunReason): TaskOutcome {
  return { status: 'not-run', reason }
}

/** The gravest reason for which an answer is not complete. */
function findCause (whole: SubmissionAnswer): FinishedSubmission['cause'] {
  const statuses = new Set(whole.tasks?.map(task => task.status))
  if (statuses.has('outcome-unknown')) return 'outcome-unknown'
  if (statuses.has('not-run')) return 'not-run'
  return statuses.has('failed') ? 'failed' : undefined
}

/**
 * Makes the life of jobs.
 *
 * @example
 * lifecycle.finish(job, 3, { status: 'succeeded', answer }, now)
 */
export function createJobLifecycle (options: JobLifecycleOptions): JobLifecycle {
  const { ports, invariants, store, timeline } = options
  const withdrawals = createWithdrawals(options)

  function answer (waiter: string, result: OperationResult, now: number): void {
    ports.answer(waiter, result, now)
  }

  function finish (job: Job, index: number, outcome: TaskOutcome, now: number): void {
    store.release(job, index)
    if (job.finish(index, outcome)) complete(job, now)
  }

  function complete (job: Job, now: number): void {
    const whole = wholeAnswer(job)
    invariants.check(whole.finishedCount === job.header.taskCount, 'answer-is-whole',
      () => `${job.submission}: ${whole.finishedCount} of ${job.header.taskCount} outcomes`)
    job.answer = whole
    tellFinished(job, whole, now)
    job.request = undefined
    job.resolved = undefined
    job.excludedAgents.clear()
    job.refusals.clear()
    job.steps.add('finished', job.header.taskCount, now, undefined, whole.state)
    release(job, now)
  }

  function tellFinished (job: Job, whole: SubmissionAnswer, now: number): void {
    const { customer, template } = job.header
    ports.submissionFinished?.({
      submission: job.submission,
      customer,
      template,
      state: whole.state,
      responseMilliseconds: now - (job.steps.steps()[0]?.at ?? now),
      cause: findCause(whole)
    }, now)
  }

  function release (job: Job, now: number): void {
    const { answer: whole } = job
    if (whole === undefined || job.waiters.size === 0) return
    // A failed answer may say that tasks did not run, which a next owner may have changed.
    if (whole.state === 'failed' && !ports.mayDeclareNotRun(now)) {
      timeline.add(now + VERDICT_RETRY_MILLISECONDS, { kind: 'release', job })
      return
    }
    const result = answerResult(whole)
    const waiters = [...job.waiters.keys()]
    job.waiters.clear()
    job.steps.add('answered', waiters.length, now)
    for (const waiter of waiters) answer(waiter, result, now)
  }

  function judgeNotRun (job: Job, indexes: readonly number[], reason: NotRunReason, now: number): void {
    if (ports.mayDeclareNotRun(now)) {
      finishAll(job, indexes, notRun(reason), now)
      return
    }
    for (const index of indexes) {
      store.release(job, index)
      job.setState(index, TaskState.waiting)
      timeline.add(now + VERDICT_RETRY_MILLISECONDS, { kind: 'held-back', job, index })
    }
  }

  function finishAll (job: Job, indexes: readonly number[], outcome: TaskOutcome, now: number): void {
    for (const index of indexes) finish(job, index, outcome, now)
  }

  function waitingTasks (job: Job, indexes: readonly number[]): WaitingTasks | undefined {
    if (job.resolved === undefined) return undefined
    const { submission, header, resolved } = job
    return {
      submission,
      customer: header.customer,
      template: header.template,
      job: resolved,
      indexes,
      excludedAgents: indexes.map(index => job.excludedAgents.get(index))
    }
  }

  function requeue (job: Job, indexes: readonly number[], now: number): void {
    if (indexes.length === 0) return
    if (job.cancelled) {
      judgeNotRun(job, indexes, 'cancelled', now)
      return
    }
    const tasks = waitingTasks(job, indexes)
    if (tasks === undefined) {
      awaitBody(job, indexes, now)
      return
    }
    if (now >= tasks.job.startBefore) {
      judgeNotRun(job, indexes, 'deadline', now)
      return
    }
    toState(job, indexes, TaskState.waiting)
    job.steps.add('requeued', indexes.length, now)
    ports.restore(tasks, now)
  }

  function awaitBody (job: Job, indexes: readonly number[], now: number): void {
    toState(job, indexes, TaskState.bodiless)
    job.steps.add('waiting-for-body', indexes.length, now)
    timeline.add(now + options.adoptionWindowMilliseconds, { kind: 'adoption', job })
  }

  function toState (
    job: Job, indexes: readonly number[], state: typeof TaskState.waiting | typeof TaskState.bodiless
  ): void {
    for (const index of indexes) {
      store.release(job, index)
      job.setState(index, state)
    }
  }

  return {
    wait (job, waiter, waitUntil, now) {
      job.waiters.set(waiter, waitUntil)
      release(job, now)
      if (!job.waiters.has(waiter)) return
      if (waitUntil <= now) {
        job.waiters.delete(waiter)
        answer(waiter, answerResult(runningAnswer(job, options.retryAfterMilliseconds)), now)
        return
      }
      timeline.add(waitUntil, { kind: 'waiter', waiter, submission: job.submission })
    },

    waiterDue (job, waiter, now) {
      const waitUntil = job.waiters.get(waiter)
      if (waitUntil === undefined || waitUntil > now) return
      job.waiters.delete(waiter)
      answer(waiter, answerResult(runningAnswer(job, options.retryAfterMilliseconds)), now)
    },

    answer,
    finish,
    finishAll,
    judgeNotRun,
    release,
    requeue,

    holdBack (job, index, now) {
      if (job.cancelled || job.resolved === undefined) {
        requeue(job, [index], now)
        return
      }
      const refusals = (job.refusals.get(index) ?? 0) + 1
      job.refusals.set(index, refusals)
      store.release(job, index)
      job.setState(index, TaskState.waiting)
      const delay = Math.min(LAST_HOLD_BACK_MILLISECONDS, FIRST_HOLD_BACK_MILLISECONDS * 2 ** (refusals - 1))
      timeline.add(now + delay, { kind: 'held-back', job, index })
    },

    adopt (job, request, now) {
      if (job.request !== undefined || job.answer !== undefined) return
      const resolution = ports.resolve(request, now)
      if (resolution.kind === 'refused') return
      job.request = request
      job.resolved = resolution.job
      const indexes = job.indexesIn(TaskState.bodiless)
      if (indexes.length === 0) return
      job.steps.add('adopted', indexes.length, now)
      requeue(job, indexes, now)
    },

    adoptionDue (job, now) {
      if (job.answer !== undefined || job.request !== undefined) return
      if (ports.mayDeclareNotRun(now)) finishAll(job, job.indexesIn(TaskState.bodiless), notRun('owner-lost'), now)
      else timeline.add(now + VERDICT_RETRY_MILLISECONDS, { kind: 'adoption', job })
    },

    cancel (job, now) {
      if (job.cancelled || job.answer !== undefined) return
      job.cancelled = true
      job.steps.add('cancelled', job.header.taskCount - job.count(TaskState.finished), now)
      if (job.count(TaskState.waiting) > 0) ports.removeWaiting(job.submission)
      const unstarted = [...job.indexesIn(TaskState.waiting), ...job.indexesIn(TaskState.bodiless)]
      const isRecorded = withdrawals.record(job, unstarted, now)
      for (const held of job.held.values()) withdrawals.add(job, held)
      if (!isRecorded) judgeNotRun(job, unstarted, 'cancelled', now)
    },

    repeat (job, held, now) {
      if (job.cancelled) {
        withdrawals.add(job, held)
        return
      }
      if (job.request === undefined) return
      const indexes = job.indexesAt(held.agentNumber)
      job.steps.add('resent', indexes.length, now, held.agent)
      ports.resend(held.agent, job.submission, indexes, now)
    },

    waitingTasks,

    flushWithdrawals: withdrawals.flush
  }
}
