/** State changes of known jobs: queueing, outcomes, cancellation, and the complete answer to waiters. */
import type { Invariants, SubmissionKey } from '@baobabpost/common'
import type {
  JobRequest, NotRunReason, OperationResult, SubmissionAnswer, TaskOutcome
} from '@baobabpost/messages'
import { type HeldTasks, type Job, TaskState } from './job.js'
import type { JobStore } from './job-store.js'
import type { FinishedSubmission, OutcomesPorts, WaitingTasks } from './outcomes.js'
import { answerResult, buildRunningAnswer, buildCompleteAnswer } from './results.js'
import type { Timeline } from './timeline.js'
import { createWithdrawals } from './withdrawals.js'

const FIRST_BACKOFF_MILLISECONDS = 20
const MAXIMUM_BACKOFF_MILLISECONDS = 1_000
/** Time between checks whether this entry may declare tasks as not run. */
const NOT_RUN_RETRY_MILLISECONDS = 100

/** A timer of a submission. */
export type DueItem =
  | { readonly kind: 'waiter', readonly waiter: string, readonly submission: SubmissionKey }
  | { readonly kind: 'resend', readonly job: Job, readonly held: HeldTasks }
  | { readonly kind: 'held-back', readonly job: Job, readonly index: number }
  | { readonly kind: 'adoption', readonly job: Job }
  | { readonly kind: 'release', readonly job: Job }
  | { readonly kind: 'expiry', readonly job: Job }

export interface JobLifecycleOptions {
  readonly ports: OutcomesPorts
  readonly invariants: Invariants
  readonly store: JobStore
  readonly timeline: Timeline<DueItem>
  /** Schedules the expiry of a job and the resends to the agents that hold its tasks. */
  readonly scheduleTimers: (job: Job, now: number) => void
  readonly adoptionWindowMilliseconds: number
  readonly retryAfterMilliseconds: number
}

export interface JobLifecycle {
  /** Adds a waiter, or answers it immediately if the job is finished or `waitUntil` has passed. */
  addWaiter: (job: Job, waiter: string, waitUntil: number, now: number) => void
  /** Answers the waiter that the job is running if its `waitUntil` has passed. */
  waiterDue: (job: Job, waiter: string, now: number) => void
  answer: (waiter: string, result: OperationResult, now: number) => void
  /** Sets the final outcome of a task; after the last one, builds the complete answer and answers all waiters. */
  finish: (job: Job, index: number, outcome: TaskOutcome, now: number) => void
  finishAll: (job: Job, indexes: readonly number[], outcome: TaskOutcome, now: number) => void
  /** Finishes tasks as not run, or retries later while this entry may not declare that. */
  declareNotRun: (job: Job, indexes: readonly number[], reason: NotRunReason, now: number) => void
  /** Sends a finished job's answer to its waiters; a failed one only once this entry may declare tasks as not run. */
  answerWaiters: (job: Job, now: number) => void
  /** Queues tasks that did not start, or finishes them as not run if they can't be queued. */
  requeue: (job: Job, indexes: readonly number[], now: number) => void
  /** Queues a refused task again after a delay that doubles with each refusal. */
  requeueWithBackoff: (job: Job, index: number, now: number) => void
  /** Adds the body to a job that was taken over without one, and queues its tasks. */
  adopt: (job: Job, request: JobRequest, now: number) => void
  /** Finishes as not run the tasks whose body was not sent again within the adoption window. */
  adoptionDue: (job: Job, now: number) => void
  cancel: (job: Job, now: number) => void
  /** Sends the dispatch to the agent again or, after a cancellation, the withdrawal. */
  resendOrWithdraw: (job: Job, held: HeldTasks, now: number) => void
  waitingTasks: (job: Job, indexes: readonly number[]) => WaitingTasks | undefined
  flushWithdrawals: (now: number) => void
}

export function notRun (reason: NotRunReason): TaskOutcome {
  return { status: 'not-run', reason }
}

/** Returns the gravest reason why the answer's state is not `complete`: unknown before not run before failed. */
function findCause (completeAnswer: SubmissionAnswer): FinishedSubmission['cause'] {
  const statuses = new Set(completeAnswer.tasks?.map(task => task.status))
  if (statuses.has('outcome-unknown')) return 'outcome-unknown'
  if (statuses.has('not-run')) return 'not-run'
  return statuses.has('failed') ? 'failed' : undefined
}

/**
 * Creates the lifecycle operations of jobs.
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
    store.releaseFromAgent(job, index)
    if (job.finish(index, outcome)) completeJob(job, now)
  }

  function completeJob (job: Job, now: number): void {
    const completeAnswer = buildCompleteAnswer(job)
    invariants.check(completeAnswer.finishedCount === job.header.taskCount, 'answer-is-whole',
      () => `${job.submission}: the complete answer has ${completeAnswer.finishedCount} of ${job.header.taskCount} outcomes`)
    job.answer = completeAnswer
    notifyFinished(job, completeAnswer, now)
    job.request = undefined
    job.resolved = undefined
    job.excludedAgents.clear()
    job.refusals.clear()
    job.steps.add('finished', job.header.taskCount, now, undefined, completeAnswer.state)
    answerWaiters(job, now)
  }

  function notifyFinished (job: Job, completeAnswer: SubmissionAnswer, now: number): void {
    const { customer, template } = job.header
    ports.submissionFinished?.({
      submission: job.submission,
      customer,
      template,
      state: completeAnswer.state,
      responseMilliseconds: now - (job.steps.steps()[0]?.at ?? now),
      cause: findCause(completeAnswer)
    }, now)
  }

  function answerWaiters (job: Job, now: number): void {
    const { answer: completeAnswer } = job
    if (completeAnswer === undefined || job.waiters.size === 0) return
    // A failed answer may report tasks as not run that a later owner has run since.
    if (completeAnswer.state === 'failed' && !ports.mayDeclareNotRun(now)) {
      timeline.add(now + NOT_RUN_RETRY_MILLISECONDS, { kind: 'release', job })
      return
    }
    const result = answerResult(completeAnswer)
    const waiters = [...job.waiters.keys()]
    job.waiters.clear()
    job.steps.add('answered', waiters.length, now)
    for (const waiter of waiters) answer(waiter, result, now)
  }

  function declareNotRun (job: Job, indexes: readonly number[], reason: NotRunReason, now: number): void {
    if (ports.mayDeclareNotRun(now)) {
      finishAll(job, indexes, notRun(reason), now)
      return
    }
    for (const index of indexes) {
      store.releaseFromAgent(job, index)
      job.setState(index, TaskState.waiting)
      timeline.add(now + NOT_RUN_RETRY_MILLISECONDS, { kind: 'held-back', job, index })
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
      declareNotRun(job, indexes, 'cancelled', now)
      return
    }
    const tasks = waitingTasks(job, indexes)
    if (tasks === undefined) {
      awaitBody(job, indexes, now)
      return
    }
    if (now >= tasks.job.startBefore) {
      declareNotRun(job, indexes, 'deadline', now)
      return
    }
    setStates(job, indexes, TaskState.waiting)
    job.steps.add('requeued', indexes.length, now)
    ports.restore(tasks, now)
  }

  function awaitBody (job: Job, indexes: readonly number[], now: number): void {
    setStates(job, indexes, TaskState.missingBody)
    job.steps.add('waiting-for-body', indexes.length, now)
    timeline.add(now + options.adoptionWindowMilliseconds, { kind: 'adoption', job })
  }

  function setStates (
    job: Job, indexes: readonly number[], state: typeof TaskState.waiting | typeof TaskState.missingBody
  ): void {
    for (const index of indexes) {
      store.releaseFromAgent(job, index)
      job.setState(index, state)
    }
  }

  return {
    addWaiter (job, waiter, waitUntil, now) {
      job.waiters.set(waiter, waitUntil)
      answerWaiters(job, now)
      if (!job.waiters.has(waiter)) return
      if (waitUntil <= now) {
        job.waiters.delete(waiter)
        answer(waiter, answerResult(buildRunningAnswer(job, options.retryAfterMilliseconds)), now)
        return
      }
      timeline.add(waitUntil, { kind: 'waiter', waiter, submission: job.submission })
    },

    waiterDue (job, waiter, now) {
      const waitUntil = job.waiters.get(waiter)
      if (waitUntil === undefined || waitUntil > now) return
      job.waiters.delete(waiter)
      answer(waiter, answerResult(buildRunningAnswer(job, options.retryAfterMilliseconds)), now)
    },

    answer,
    finish,
    finishAll,
    declareNotRun,
    answerWaiters,
    requeue,

    requeueWithBackoff (job, index, now) {
      if (job.cancelled || job.resolved === undefined) {
        requeue(job, [index], now)
        return
      }
      const refusals = (job.refusals.get(index) ?? 0) + 1
      job.refusals.set(index, refusals)
      store.releaseFromAgent(job, index)
      job.setState(index, TaskState.waiting)
      const delay = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** (refusals - 1))
      timeline.add(now + delay, { kind: 'held-back', job, index })
    },

    adopt (job, request, now) {
      if (job.request !== undefined || job.answer !== undefined) return
      const resolution = ports.resolve(request, now)
      if (resolution.kind === 'refused') return
      job.request = request
      job.resolved = resolution.job
      const indexes = job.indexesIn(TaskState.missingBody)
      if (indexes.length === 0) return
      job.steps.add('adopted', indexes.length, now)
      requeue(job, indexes, now)
    },

    adoptionDue (job, now) {
      if (job.answer !== undefined || job.request !== undefined) return
      if (ports.mayDeclareNotRun(now)) finishAll(job, job.indexesIn(TaskState.missingBody), notRun('owner-lost'), now)
      else timeline.add(now + NOT_RUN_RETRY_MILLISECONDS, { kind: 'adoption', job })
    },

    cancel (job, now) {
      if (job.cancelled || job.answer !== undefined) return
      job.cancelled = true
      job.steps.add('cancelled', job.header.taskCount - job.count(TaskState.finished), now)
      if (job.count(TaskState.waiting) > 0) ports.removeWaiting(job.submission)
      const unstarted = [...job.indexesIn(TaskState.waiting), ...job.indexesIn(TaskState.missingBody)]
      const isRecorded = withdrawals.recordAtAgent(job, unstarted, now)
      for (const held of job.heldTasks.values()) withdrawals.add(job, held)
      if (!isRecorded) declareNotRun(job, unstarted, 'cancelled', now)
    },

    resendOrWithdraw (job, held, now) {
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
