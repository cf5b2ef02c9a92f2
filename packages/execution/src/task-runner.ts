/** Queues tasks, checks the start rules immediately before each start, and handles the results of calls. */
import type { Invariants, Metrics } from '@baobabpost/common'
import { MAXIMUM_ANSWER_BYTES, type NotRunReason, type TaskOutcome } from '@baobabpost/messages'
import type { AnswerBudget } from './answer-budget.js'
import type { TaskResult, UpstreamPort } from './execution.js'
import type { Reporter } from './reporter.js'
import { findRefusal, START_RULES, type StartContext, type StartRule } from './start-rules.js'
import { createStartQueue } from './start-queue.js'
import { createUrgentReserve } from './urgent-reserve.js'
import type { TaskState, TaskWork } from './task-state.js'

/** Queue and slots of an agent. */
export interface TaskRunner {
  /** Queues a new task until a slot is free. */
  accept: (task: TaskState, work: TaskWork) => void
  /** Records that a task that never started will not run, and reports it. */
  refuse: (task: TaskState, reason: NotRunReason, now: number) => void
  /** Fills the free slots. */
  startNext: (now: number) => void
  handleResult: (task: TaskState, result: TaskResult, now: number) => void
  /** Refuses the queued tasks that match the predicate. */
  refuseQueued: (reason: NotRunReason, now: number, predicate: (task: TaskState) => boolean) => void
  /** Refuses the queued tasks that may no longer start. */
  refuseIneligible: (now: number) => void
  /** Aborts calls that exceeded their time-out. */
  abortOverdue: (now: number) => void
  /** All queued and running tasks. */
  unfinished: () => Iterable<TaskState>
  /** Finds the reason to refuse a task that would start now; doesn't check whether the task is already known. */
  findRefusalReason: (work: Pick<TaskWork, 'group' | 'epoch'>, now: number) => NotRunReason | undefined
  /** False from a failed connection to the upstream until a probe connects. */
  isUpstreamReachable: () => boolean
  setUpstreamReachable: (isReachable: boolean) => void
  queuedCount: () => number
  runningCount: () => number
  startedCount: () => number
}

export interface TaskRunnerOptions {
  readonly slots: number
  readonly startRules: readonly StartRule[]
  readonly upstream: UpstreamPort
  readonly reporter: Reporter
  readonly answers: AnswerBudget
  readonly invariants: Invariants
  readonly metrics: Metrics
  readonly leaseUntil: () => number
  readonly isLeaving: () => boolean
  readonly isDrained: () => boolean
  readonly isEvacuated: () => boolean
  readonly highestEpoch: (partition: number) => number
  /** Slots kept free of jobs for each urgent task that runs on average. */
  readonly reservedSlotsPerUrgentTask: () => number
}

const MAXIMUM_DETAIL_CHARACTERS = 500

function outcomeOf (result: TaskResult, isWithdrawn: boolean): TaskOutcome {
  switch (result.kind) {
    case 'succeeded':
      if (result.answerBytes <= MAXIMUM_ANSWER_BYTES) return { status: 'succeeded', answer: result.answer }
      return { status: 'failed', detail: `The answer of ${result.answerBytes} bytes exceeds ${MAXIMUM_ANSWER_BYTES}` }
    case 'failed':
      return { status: 'failed', detail: result.detail.slice(0, MAXIMUM_DETAIL_CHARACTERS) }
    case 'unreached':
      return { status: 'not-run', reason: isWithdrawn ? 'withdrawn' : 'no-worker' }
    case 'silent':
      return { status: 'outcome-unknown', reason: 'upstream-silent' }
  }
}

/**
 * Creates the queue and slots of an agent.
 *
 * @example
 * runner.accept(task, work)
 * runner.startNext(now)
 */
export function createTaskRunner (options: TaskRunnerOptions): TaskRunner {
  const { slots, startRules, upstream, reporter, answers, invariants, metrics } = options
  const queue = createStartQueue()
  const reserve = createUrgentReserve({ slots, slotsPerUrgentTask: options.reservedSlotsPerUrgentTask })
  const unfinished = new Set<TaskState>()
  const running = new Set<TaskState>()
  let queuedCount = 0
  let startedCount = 0
  let isReachable = true

  function startFactsOf ({ group, epoch }: Pick<TaskWork, 'group' | 'epoch'>, now: number): StartContext {
    const partition = group.ownership?.partition
    return {
      now,
      epoch,
      highestEpoch: partition === undefined ? 0 : options.highestEpoch(partition),
      startBefore: group.startBefore,
      leaseUntil: options.leaseUntil(),
      isLeaving: options.isLeaving(),
      isDrained: options.isDrained(),
      isEvacuated: options.isEvacuated()
    }
  }

  function findRefusalReason (work: Pick<TaskWork, 'group' | 'epoch'>, now: number): NotRunReason | undefined {
    return findRefusal(startRules, startFactsOf(work, now)) ?? (isReachable ? undefined : 'no-worker')
  }

  function finish (task: TaskState, outcome: TaskOutcome, now: number): void {
    task.state = 'finished'
    task.outcome = outcome
    task.submission.lastEventAt = now
    if (task.work !== undefined) {
      task.work.entry.unfinishedCount -= 1
      task.submission.unfinishedCount -= 1
      task.work = undefined
      unfinished.delete(task)
    }
    reporter.reportOutcome(task, now)
  }

  function refuse (task: TaskState, reason: NotRunReason, now: number): void {
    invariants.check(task.startedAt === 0, 'not-run-never-started',
      () => `${task.submission.key}/${task.index} is reported ${reason} after its start`)
    if (task.work !== undefined) queuedCount -= 1
    metrics.count('tasks.refused.count', 1, reason)
    finish(task, { status: 'not-run', reason }, now)
  }

  function start (task: TaskState, work: TaskWork, now: number): void {
    const { submission, index } = task
    invariants.check(task.startedAt === 0 && !running.has(task), 'task-started-once',
      () => `${submission.key}/${index} is started again`)
    // Checks all rules, so that a start is detected as a violation in tests that omit a rule from `startRules`.
    const refusal = findRefusal(START_RULES, startFactsOf(work, now))
    invariants.check(refusal === undefined, 'start-allowed',
      () => `${submission.key}/${index} is started in spite of ${refusal}`)
    queuedCount -= 1
    startedCount += 1
    running.add(task)
    if (work.group.urgent) reserve.recordStart(now)
    task.state = 'running'
    task.startedAt = now
    work.timeoutAt = now + work.group.timeoutMilliseconds
    metrics.count('tasks.started.count')
    const { path, parameters } = work.group
    upstream.startTask({ submission: submission.key, index, path, parameters, input: work.input })
  }

  function refuseQueued (reason: NotRunReason, now: number, predicate: (task: TaskState) => boolean): void {
    for (const task of queue.removeWhere(predicate)) refuse(task, reason, now)
  }

  function refuseAllIfUnreachable (now: number): void {
    if (!isReachable) refuseQueued('no-worker', now, () => true)
  }

  return {
    accept (task, work) {
      task.work = work
      task.submission.unfinishedCount += 1
      work.entry.unfinishedCount += 1
      queuedCount += 1
      unfinished.add(task)
      queue.push(task, work.group.urgent)
    },
    refuse,
    startNext (now) {
      while (running.size < slots) {
        const task = queue.takeNext(running.size < slots - reserve.reservedSlots(now))
        if (task?.work === undefined) return
        const refusal = findRefusalReason(task.work, now)
        if (refusal === undefined) start(task, task.work, now)
        else refuse(task, refusal, now)
      }
    },
    handleResult (task, result, now) {
      if (!running.delete(task)) return
      if (task.work?.group.urgent === true) reserve.recordCompletion(now)
      task.runMilliseconds = Math.max(0, now - task.startedAt)
      if (result.kind === 'succeeded' && result.answerBytes <= MAXIMUM_ANSWER_BYTES) {
        task.answerBytes = result.answerBytes
        answers.addAnswer(task)
      }
      if (result.kind === 'unreached') {
        task.startedAt = 0
        startedCount -= 1
        isReachable = false
      }
      finish(task, outcomeOf(result, task.work?.isWithdrawn === true), now)
      refuseAllIfUnreachable(now)
    },
    refuseQueued,
    refuseIneligible (now) {
      const refusals = new Map<TaskState, NotRunReason>()
      const refused = queue.removeWhere(task => {
        const refusal = task.work === undefined ? undefined : findRefusalReason(task.work, now)
        if (refusal !== undefined) refusals.set(task, refusal)
        return refusal !== undefined
      })
      for (const task of refused) refuse(task, refusals.get(task) ?? 'expired', now)
    },
    abortOverdue (now) {
      for (const task of running) {
        const { work } = task
        if (work === undefined || work.isAborted || work.timeoutAt > now) continue
        work.isAborted = true
        upstream.abortTask(task.submission.key, task.index)
      }
    },
    unfinished: () => unfinished,
    findRefusalReason,
    isUpstreamReachable: () => isReachable,
    setUpstreamReachable (isNowReachable) { isReachable = isNowReachable },
    queuedCount: () => queuedCount,
    runningCount: () => running.size,
    startedCount: () => startedCount
  }
}
