/** Puts the agent's decisions together. */
import type { EntryIdentity } from '@baobabpost/common'
import type { Announced, Collect, Dispatch, DispatchGroup, PartitionEpoch, Withdraw } from '@baobabpost/messages'
import { createAgentRegisters } from './agent-registers.js'
import { createAnnouncer } from './announcer.js'
import { createAnswerBudget } from './answer-budget.js'
import { createCollector } from './collector.js'
import { createEntryBook } from './entry-registry.js'
import type { Execution, ExecutionOptions, ExecutionState } from './execution.js'
import { createHeartbeatLease } from './heartbeat-lease.js'
import { createPartitionEpochs } from './partition-epochs.js'
import { createReporter } from './reporter.js'
import { START_RULES } from './start-rules.js'
import { createTaskMemory } from './task-memory.js'
import { createTaskRunner } from './task-runner.js'
import {
  createFencedSubmission, createTaskState, NO_PARTITION, type EntryState, type SubmissionState, type TaskState
} from './task-state.js'

const DEFAULT_PREFETCH_TASKS = 4
const DEFAULT_MAXIMUM_QUEUED_TASKS = 2_000
const DEFAULT_MAXIMUM_ANSWER_BYTES = 33_554_432
const CALL_WINDOW_MILLISECONDS = 60_000
const DEFAULT_KEY_WINDOW_MILLISECONDS = 600_000
const DEFAULT_LEASE_MILLISECONDS = 3_000
/** Time after which an entry that nobody names any more is not waited for at a planned stop. */
const SILENT_ENTRY_MILLISECONDS = 3_000
const DEFAULT_HEARTBEAT_MILLISECONDS = 500
const DEFAULT_RESEND_MILLISECONDS = 500
const DEFAULT_CLOCK_SKEW_MILLISECONDS = 2_000

/** The parts that work together. */
function createParts (options: ExecutionOptions, currentState: () => ExecutionState) {
  const clockSkew = options.clockSkewMilliseconds ?? DEFAULT_CLOCK_SKEW_MILLISECONDS
  // A key may have been made by a clock that is ahead, and be refused by one that is behind.
  const memory = createTaskMemory({
    keyWindowMilliseconds: (options.keyWindowMilliseconds ?? DEFAULT_KEY_WINDOW_MILLISECONDS) + 2 * clockSkew,
    callWindowMilliseconds: CALL_WINDOW_MILLISECONDS
  })
  const answers = createAnswerBudget(options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES)
  const epochs = createPartitionEpochs()
  const lease = createHeartbeatLease(options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS)
  const entries = createEntryBook(options.entries)
  const registers = createAgentRegisters(options.service, options.prefetchTasks ?? DEFAULT_PREFETCH_TASKS)
  const resendMilliseconds = options.resendMilliseconds ?? DEFAULT_RESEND_MILLISECONDS
  const reporter = createReporter({
    outbox: options.outbox,
    entries,
    epochs,
    resendMilliseconds,
    onDelivered: answers.delivered
  })
  const runner = createTaskRunner({
    slots: options.slots,
    startRules: options.startRules ?? START_RULES,
    upstream: options.upstream,
    reporter,
    answers,
    invariants: options.invariants,
    metrics: options.metrics,
    leaseUntil: lease.until,
    leaving: () => currentState() !== 'active',
    highestEpoch: epochs.highest,
    reservePerUrgentTask: registers.urgentReserve
  })
  const announcer = createAnnouncer({
    agent: options,
    ports: options,
    entries,
    lease,
    heartbeatMilliseconds: options.heartbeatMilliseconds ?? DEFAULT_HEARTBEAT_MILLISECONDS,
    capacity: () => currentState() === 'active' && runner.upstreamReachable() && !answers.exhausted()
      ? options.slots + registers.prefetchTasks()
      : 0,
    hasFreeSlots: () => runner.runningCount() < options.slots,
    leaving: () => currentState() === 'leaving',
    configurationPosition: registers.position
  })
  const collector = createCollector(memory, options.outbox)
  return { memory, epochs, lease, entries, registers, answers, reporter, runner, announcer, collector }
}

type Parts = ReturnType<typeof createParts>

/** Takes in dispatches, withdrawals and collects. */
function createIntake (parts: Parts, maximumQueuedTasks: number) {
  const { memory, epochs, entries, reporter, runner, collector } = parts

  /** A dispatch named a new owner without a collect: what waits for the former owner is refused for good. */
  function fencePartition (partition: number, now: number): void {
    runner.giveBack('stale-epoch', now, task => task.submission.partition === partition)
    for (const submission of memory.inPartition(partition)) reporter.reroute(submission, now)
  }

  function takeGroup (group: DispatchGroup, from: EntryState, now: number): void {
    const { ownership, header } = group
    const standing = ownership === undefined ? 'current' : epochs.note(ownership, from.identity)
    if (ownership !== undefined && standing === 'raised') fencePartition(ownership.partition, now)
    const partition = ownership?.partition ?? NO_PARTITION
    const epoch = ownership?.epoch ?? 0
    const known = memory.find(header.submission)
    // Asked once a group: nothing that it looks at changes within one message.
    const refusal = runner.refusalOf({ group, epoch }, now)
    if (refusal === 'stale-epoch') {
      refuseFenced(group, partition, known, from, now)
      return
    }
    const submission = memory.open(header.submission, header, partition, from.identity, now)
    submission.startBefore = Math.max(submission.startBefore, group.startBefore)
    for (const { index, input, attempt } of group.tasks) {
      const known = submission.tasks.get(index)
      if (known !== undefined) {
        if (!isLaterAttempt(known, attempt)) {
          tellAgain(known, now)
          continue
        }
        // Its owner has the refusal, or it would not have sent it again under a higher number.
        reporter.abandon(known)
      }
      const task = memory.add(submission, index, attempt, now)
      const reason = refusal ?? (runner.queuedCount() >= maximumQueuedTasks ? 'window-exceeded' : undefined)
      if (reason !== undefined) runner.refuse(task, reason, now)
      else runner.accept(task, { group, input, holder: from, epoch, giveUpAt: 0, aborted: false, withdrawn: false })
    }
  }

  /** A former owner is told the truth: refused if the task is unknown here, else nothing that it could act on. */
  function refuseFenced (
    group: DispatchGroup, partition: number, known: SubmissionState | undefined, from: EntryState, now: number
  ): void {
    const fenced = createFencedSubmission(group.header, partition, from.identity)
    for (const { index, attempt } of group.tasks) {
      if (known?.tasks.has(index) === true) continue
      runner.refuse(createTaskState(fenced, index, attempt), 'stale-epoch', now)
    }
  }

  /** Whether a refused task may be taken after all. What was withdrawn stays withdrawn. */
  function isLaterAttempt ({ outcome, attempt: refused }: TaskState, attempt: number | undefined): boolean {
    if (outcome?.status !== 'not-run' || outcome.reason === 'withdrawn') return false
    return attempt !== undefined && refused !== undefined && attempt > refused
  }

  function tellAgain (task: TaskState, now: number): void {
    if (task.state === 'finished') reporter.repeat(task, now)
  }

  function withdrawTask (submission: SubmissionState, index: number, now: number): void {
    const task = submission.tasks.get(index)
    if (task === undefined) {
      runner.refuse(memory.add(submission, index, undefined, now), 'withdrawn', now)
    } else if (task.state === 'queued') {
      runner.refuse(task, 'withdrawn', now)
    } else if (isLaterAttempt(task, Number.POSITIVE_INFINITY)) {
      // A later attempt may be on the way: the refusal of one attempt becomes the refusal of all.
      reporter.abandon(task)
      runner.refuse(memory.add(submission, index, undefined, now), 'withdrawn', now)
    } else {
      if (task.work !== undefined) task.work.withdrawn = true
      tellAgain(task, now)
    }
  }

  /** Hands the tasks of a partition to its new owner. */
  function adoptPartition (ownership: PartitionEpoch, owner: EntryState, now: number): void {
    for (const task of runner.unfinished()) {
      const { work } = task
      if (work === undefined || task.submission.partition !== ownership.partition) continue
      work.epoch = ownership.epoch
      work.holder.unfinished -= 1
      work.holder = owner
      owner.unfinished += 1
    }
    for (const submission of memory.inPartition(ownership.partition)) reporter.reroute(submission, now)
  }

  return {
    dispatch (from: EntryState, { groups, backlog }: Dispatch, now: number): void {
      from.backlog = backlog
      from.backlogAt = now
      for (const group of groups) takeGroup(group, from, now)
      runner.startNext(now)
    },
    withdraw (from: EntryState, { selections }: Withdraw, now: number): void {
      for (const { submission: key, indexes, origin } of selections) {
        const standing = origin === undefined ? 'current' : epochs.note(origin.ownership, from.identity)
        // A former owner gets no word by which it could tell its callers what the next owner decides.
        if (standing === 'stale') continue
        const partition = origin?.ownership.partition ?? NO_PARTITION
        if (standing === 'raised') fencePartition(partition, now)
        const submission = memory.open(key, origin?.header, partition, from.identity, now)
        for (const index of indexes) withdrawTask(submission, index, now)
      }
    },
    collect (from: EntryState, { partitions }: Collect, now: number): void {
      const owned: PartitionEpoch[] = []
      for (const ownership of partitions) {
        const standing = epochs.note(ownership, from.identity)
        if (standing === 'stale') continue
        owned.push(ownership)
        if (standing === 'raised') adoptPartition(ownership, from, now)
      }
      if (owned.length > 0) collector.answer(from.identity, owned, now)
    },
    acknowledge (from: EntryIdentity, sequences: readonly number[]): void {
      const entry = entries.find(from)
      if (entry !== undefined) reporter.acknowledge(entry, sequences)
    }
  }
}

/**
 * Makes the decisions of one run of an agent.
 *
 * @example
 * const execution = createExecution({ ...options, slots: 8, connections: 60 })
 * execution.receive(entry, message, Date.now())
 * execution.flush(Date.now())
 */
export function createExecution (options: ExecutionOptions): Execution {
  let state: ExecutionState = 'active'
  let lastSweepAt = 0
  /** Heartbeats with higher numbers say that this agent leaves. */
  let leavingAfter = Infinity
  const parts = createParts(options, () => state)
  const { memory, lease, entries, registers, answers, reporter, runner, announcer, collector } = parts
  const intake = createIntake(parts, options.maximumQueuedTasks ?? DEFAULT_MAXIMUM_QUEUED_TASKS)
  const sweepMilliseconds = options.heartbeatMilliseconds ?? DEFAULT_HEARTBEAT_MILLISECONDS

  function depart (now: number): void {
    if (state === 'departed') return
    state = 'departed'
    lease.revoke()
    runner.giveBack('lease-lapsed', now, () => true)
    options.logger.warn('the fleet has replaced this agent; it starts nothing more')
  }

  /** Whether every entry that is still there knows that this agent leaves, so that no dispatch stays under way. */
  function isKnownToLeave (): boolean {
    for (const entry of entries.all().values()) {
      const isSilent = entries.lastNamedAt() - entry.namedAt > SILENT_ENTRY_MILLISECONDS
      if (!entry.knowsLeaving && !isSilent) return false
    }
    return true
  }

  function forget (task: TaskState): void {
    reporter.abandon(task)
    answers.forgotten(task)
  }

  function announced (from: EntryIdentity, answer: Announced, now: number): void {
    const entry = entries.heard(from, now)
    if (state === 'leaving' && answer.sequence > leavingAfter) entry.knowsLeaving = true
    entries.named(answer.entries, now)
    registers.apply(answer.registers, answer.configurationPosition)
    if (answer.standing === 'departed') depart(now)
    else lease.acknowledge(answer.sequence)
  }

  return {
    identity: options.identity,
    receive (from, message, now) {
      switch (message.method) {
        case 'dispatch':
          intake.dispatch(entries.heard(from, now), message.parameters, now)
          return
        case 'withdraw':
          intake.withdraw(entries.heard(from, now), message.parameters, now)
          return
        case 'collect':
          intake.collect(entries.heard(from, now), message.parameters, now)
          return
        case 'acknowledge':
          intake.acknowledge(from, message.parameters.sequences)
          return
        case 'announced':
          announced(from, message.parameters, now)
          return
        default:
          options.logger.debug('a message that is not for agents was dropped', { entry: from, kind: message.method })
      }
    },
    handleResult (submission, index, result, now) {
      const task = memory.find(submission)?.tasks.get(index)
      if (task === undefined) return
      const reachable = runner.upstreamReachable()
      runner.completed(task, result, now)
      if (reachable && !runner.upstreamReachable()) {
        options.logger.warn('the upstream refuses connections')
        options.upstream.probe()
        announcer.announceSoon()
      }
      runner.startNext(now)
    },
    handleUpstreamReachable (now) {
      if (runner.upstreamReachable()) return
      options.logger.info('the upstream accepts connections again')
      runner.setUpstreamReachable(true)
      announcer.announceSoon()
      runner.startNext(now)
    },
    tick (now) {
      if (now - lastSweepAt >= sweepMilliseconds) {
        lastSweepAt = now
        runner.giveBackRefused(now)
        memory.forget(now, forget)
        collector.forget(now)
        entries.forgetGone(reporter.dropEntry)
        if (!runner.upstreamReachable()) options.upstream.probe()
      }
      runner.abortOverdue(now)
      runner.startNext(now)
      reporter.repeatDue(now)
      if (state !== 'departed') announcer.tick(now)
    },
    flush (now) {
      announcer.updateWindows(now)
      reporter.flush(now)
      if (state !== 'departed') announcer.flush(now)
    },
    leave (now) {
      if (state !== 'active') return
      state = 'leaving'
      leavingAfter = lease.lastSequence()
      runner.giveBack('leaving', now, () => true)
      announcer.announceSoon()
      options.logger.info('leaving: nothing new starts', { running: runner.runningCount() })
    },
    isDrained: () => runner.runningCount() === 0 && runner.queuedCount() === 0 && reporter.undelivered() === 0 &&
      (state !== 'leaving' || isKnownToLeave()),
    snapshot: () => ({
      state,
      runningTasks: runner.runningCount(),
      queuedTasks: runner.queuedCount(),
      rememberedTasks: memory.size(),
      startedTasks: runner.startedCount(),
      unacknowledgedOutcomes: reporter.undelivered(),
      leaseUntil: lease.until(),
      configurationPosition: registers.position(),
      prefetchTasks: registers.prefetchTasks(),
      windows: new Map([...entries.all()].map(([identity, entry]) => [identity, entry.toldWindow]))
    })
  }
}
