/** The slots: lets tasks wait, checks the fence at the very moment of each start, and takes in how they ended. */
import type { Invariants, Metrics } from '@baobabpost/common'
import { MAXIMUM_ANSWER_BYTES, type NotRunReason, type TaskOutcome } from '@baobabpost/messages'
import type { AnswerBudget } from './answer-budget.js'
import type { TaskResult, UpstreamPort } from './execution.js'
import type { Reporter } from './reporter.js'
import { findRefusal, START_RULES, type StartContext, type StartRule } from './start-rules.js'
import { createStartQueue } from './start-queue.js'
import { createUrgentReserve } from './urgent-reserve.js'
import type { TaskState, TaskWork } from './task-state.js'

/** The slots of an agent. */
export interface TaskRunner {
  /** Lets a new task wait for a slot. */
  accept: (task: TaskState, work: TaskWork) => void
  /** Notes that a task that never started will not run. */
  refuse: (task: TaskState, reason: NotRunReason, now: number) => void
  /** Fills the free slots. */
  startNext: (now: number) => void
  completed: (task: TaskState, result: TaskResult, now: number) => void
  /** Gives back the waiting tasks for which the condition holds. */
  giveBack: (reason: NotRunReason, now: number, condition: (task: TaskState) => boolean) => void
  /** Gives back the waiting tasks that the fence refuses by now. */
  giveBackRefused: (now: number) => void
  /** Gives up on calls that ran into their time-out. */
  abortOverdue: (now: number) => void
  /** All tasks that wait or run. */
  unfinished: () => Iterable<TaskState>
  /** A reason to refuse a task that comes now, beside its being known. */
  refusalOf: (work: Pick<TaskWork, 'group' | 'epoch'>, now: number) => NotRunReason | undefined
  /** Whether the upstream takes connections, as far as is known. */
  upstreamReachable: () => boolean
  setUpstreamReachable: (reachable: boolean) => void
  queuedCount: () => number
  runningCount: () => number
  startedCount: () => number
}

/** What the slots work on. */
export interface TaskRunnerOptions {
  readonly slots: number
  readonly startRules: readonly StartRule[]
  readonly upstream: UpstreamPort
  readonly reporter: Reporter
  readonly answers: AnswerBudget
  readonly invariants: Invariants
  readonly metrics: Metrics
  readonly leaseUntil: () => number
  readonly leaving: () => boolean
  readonly highestEpoch: (partition: number) => number
  /** Slots that jobs leave free for each urgent task that runs on average. */
  readonly reservePerUrgentTask: () => number
}

const MAXIMUM_DETAIL_CHARACTERS = 500

function outcomeOf (result: TaskResult, withdrawn: boolean): TaskOutcome {
  switch (result.kind) {
    case 'succeeded':
      if (result.answerBytes <= MAXIMUM_ANSWER_BYTES) return { status: 'succeeded', answer: result.answer }
      return { status: 'failed', detail: `The answer of ${result.answerBytes} bytes exceeds ${MAXIMUM_ANSWER_BYTES}` }
    case 'failed':
      return { status: 'failed', detail: result.detail.slice(0, MAXIMUM_DETAIL_CHARACTERS) }
    case 'unreached':
      return { status: 'not-run', reason: withdrawn ? 'withdrawn' : 'no-worker' }
    case 'silent':
      return { status: 'outcome-unknown', reason: 'upstream-silent' }
  }
}

/**
 * Makes the slots of an agent.
 *
 * @example
 * runner.accept(task, work)
 * runner.startNext(now)
 */
export function createTaskRunner (options: TaskRunnerOptions): TaskRunner {
  const { slots, startRules, upstream, reporter, answers, invariants, metrics } = options
  const queue = createStartQueue()
  const reserve = createUrgentReserve({ slots, slotsPerUrgentTask: options.reservePerUrgentTask })
  const unfinished = new Set<TaskState>()
  const running = new Set<TaskState>()
  let queuedCount = 0
  let startedCount = 0
  let reachable = true

  function factsOf ({ group, epoch }: Pick<TaskWork, 'group' | 'epoch'>, now: number): StartContext {
    const partition = group.ownership?.partition
    return {
      now,
      epoch,
      highestEpoch: partition === undefined ? 0 : options.highestEpoch(partition),
      startBefore: group.startBefore,
      leaseUntil: options.leaseUntil(),
      leaving: options.leaving()
    }
  }

  function refusalOf (work: Pick<TaskWork, 'group' | 'epoch'>, now: number): NotRunReason | undefined {
    return findRefusal(startRules, factsOf(work, now)) ?? (reachable ? undefined : 'no-worker')
  }

  function finish (task: TaskState, outcome: TaskOutcome, now: number): void {
    task.state = 'finished'
    task.outcome = outcome
    task.submission.touchedAt = now
    if (task.work !== undefined) {
      task.work.holder.unfinished -= 1
      task.submission.unfinished -= 1
      task.work = undefined
      unfinished.delete(task)
    }
    reporter.finished(task, now)
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
    // All rules, also where a test left some out of the fence.
    const refusal = findRefusal(START_RULES, factsOf(work, now))
    invariants.check(refusal === undefined, 'start-allowed',
      () => `${submission.key}/${index} is started in spite of ${refusal}`)
    queuedCount -= 1
    startedCount += 1
    running.add(task)
    if (work.group.urgent) reserve.recordStart(now)
    task.state = 'running'
    task.startedAt = now
    work.giveUpAt = now + work.group.timeoutMilliseconds
    metrics.count('tasks.started.count')
    const { path, parameters } = work.group
    upstream.startTask({ submission: submission.key, index, path, parameters, input: work.input })
  }

  function giveBack (reason: NotRunReason, now: number, condition: (task: TaskState) => boolean): void {
    for (const task of queue.takeWhere(condition)) refuse(task, reason, now)
  }

  function giveBackUnreachable (now: number): void {
    if (!reachable) giveBack('no-worker', now, () => true)
  }

  return {
    accept (task, work) {
      task.work = work
      task.submission.unfinished += 1
      work.holder.unfinished += 1
      queuedCount += 1
      unfinished.add(task)
      queue.push(task, work.group.urgent)
    },
    refuse,
    startNext (now) {
      while (running.size < slots) {
        const task = queue.next(running.size < slots - reserve.reservedSlots(now))
        if (task?.work === undefined) return
        const refusal = refusalOf(task.work, now)
        if (refusal === undefined) start(task, task.work, now)
        else refuse(task, refusal, now)
      }
    },
    completed (task, result, now) {
      if (!running.delete(task)) return
      if (task.work?.group.urgent === true) reserve.recordCompletion(now)
      task.runMilliseconds = Math.max(0, now - task.startedAt)
      if (result.kind === 'succeeded' && result.answerBytes <= MAXIMUM_ANSWER_BYTES) {
        task.answerBytes = result.answerBytes
        answers.finished(task)
      }
      if (result.kind === 'unreached') {
        task.startedAt = 0
        startedCount -= 1
        reachable = false
      }
      finish(task, outcomeOf(result, task.work?.withdrawn === true), now)
      giveBackUnreachable(now)
    },
    giveBack,
    giveBackRefused (now) {
      const refusals = new Map<TaskState, NotRunReason>()
      const refused = queue.takeWhere(task => {
        const refusal = task.work === undefined ? undefined : refusalOf(task.work, now)
        if (refusal !== undefined) refusals.set(task, refusal)
        return refusal !== undefined
      })
      for (const task of refused) refuse(task, refusals.get(task) ?? 'expired', now)
    },
    abortOverdue (now) {
      for (const task of running) {
        const { work } = task
        if (work === undefined || work.aborted || work.giveUpAt > now) continue
        work.aborted = true
        upstream.abortTask(task.submission.key, task.index)
      }
    },
    unfinished: () => unfinished,
    refusalOf,
    upstreamReachable: () => reachable,
    setUpstreamReachable (next) { reachable = next },
    queuedCount: () => queuedCount,
    runningCount: () => running.size,
    startedCount: () => startedCount
  }
}
