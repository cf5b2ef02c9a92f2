/** Connects the components of the agent's execution logic, and handles messages and events. */
import type { EntryIdentity } from '@baobabpost/common'
import type { Announced, Collect, Dispatch, DispatchGroup, PartitionEpoch, Withdraw } from '@baobabpost/messages'
import { createAgentRegisters } from './agent-registers.js'
import { createAnnouncer } from './announcer.js'
import { createAnswerBudget } from './answer-budget.js'
import { createCollector } from './collector.js'
import { createEntryRegistry } from './entry-registry.js'
import type { Execution, ExecutionOptions, ExecutionState } from './execution.js'
import { createHeartbeatLease } from './heartbeat-lease.js'
import { createPartitionEpochs } from './partition-epochs.js'
import { createReporter } from './reporter.js'
import { START_RULES } from './start-rules.js'
import { createTaskMemory } from './task-memory.js'
import { createTaskRunner } from './task-runner.js'
import {
  createStaleSubmission, createTaskState, NO_PARTITION, type EntryState, type SubmissionState, type TaskState
} from './task-state.js'

const DEFAULT_PREFETCH_TASKS = 4
const DEFAULT_MAXIMUM_QUEUED_TASKS = 2_000
const DEFAULT_MAXIMUM_ANSWER_BYTES = 33_554_432
const SINGLE_CALL_WINDOW_MILLISECONDS = 60_000
const DEFAULT_KEY_WINDOW_MILLISECONDS = 600_000
const DEFAULT_LEASE_MILLISECONDS = 3_000
/** Time after which a graceful shutdown no longer waits for an entry that sent nothing and was not listed. */
const UNRESPONSIVE_ENTRY_MILLISECONDS = 3_000
const DEFAULT_HEARTBEAT_MILLISECONDS = 500
const DEFAULT_RESEND_MILLISECONDS = 500
const DEFAULT_CLOCK_SKEW_MILLISECONDS = 2_000

function createComponents (options: ExecutionOptions, currentState: () => ExecutionState) {
  const clockSkew = options.clockSkewMilliseconds ?? DEFAULT_CLOCK_SKEW_MILLISECONDS
  // A key may be created by a clock that is ahead, and its expiry be checked by a clock that is behind.
  const memory = createTaskMemory({
    keyWindowMilliseconds: (options.keyWindowMilliseconds ?? DEFAULT_KEY_WINDOW_MILLISECONDS) + 2 * clockSkew,
    callWindowMilliseconds: SINGLE_CALL_WINDOW_MILLISECONDS
  })
  const answers = createAnswerBudget(options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES)
  const epochs = createPartitionEpochs()
  const lease = createHeartbeatLease(options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS)
  const entries = createEntryRegistry(options.entries)
  const registers = createAgentRegisters(options, options.prefetchTasks ?? DEFAULT_PREFETCH_TASKS)
  const resendMilliseconds = options.resendMilliseconds ?? DEFAULT_RESEND_MILLISECONDS
  const reporter = createReporter({
    outbox: options.outbox,
    entries,
    epochs,
    resendMilliseconds,
    onSettled: answers.markDroppable
  })
  const runner = createTaskRunner({
    slots: options.slots,
    startRules: options.startRules ?? START_RULES,
    upstream: options.upstream,
    reporter,
    answers,
    invariants: options.invariants,
    metrics: options.metrics,
    leaseUntil: lease.expiresAt,
    isLeaving: () => currentState() !== 'active',
    isDrained: registers.isDrained,
    isEvacuated: registers.isEvacuated,
    highestEpoch: epochs.highest,
    reservedSlotsPerUrgentTask: registers.urgentReserve
  })
  const announcer = createAnnouncer({
    agent: options,
    ports: options,
    entries,
    lease,
    heartbeatMilliseconds: options.heartbeatMilliseconds ?? DEFAULT_HEARTBEAT_MILLISECONDS,
    capacity: () => currentState() === 'active' && runner.isUpstreamReachable() && !answers.isExhausted() &&
      !registers.isDrained() && !registers.isEvacuated()
      ? options.slots + registers.prefetchTasks()
      : 0,
    hasFreeSlots: () => runner.runningCount() < options.slots,
    isLeaving: () => currentState() === 'leaving',
    configurationPosition: registers.position
  })
  const collector = createCollector(memory, options.outbox)
  return { memory, epochs, lease, entries, registers, answers, reporter, runner, announcer, collector }
}

type Components = ReturnType<typeof createComponents>

/** Creates the handlers of the messages from entries. */
function createMessageHandlers (components: Components, maximumQueuedTasks: number) {
  const { memory, epochs, entries, reporter, runner, collector } = components

  /** Refuses the queued tasks of the former owner, after a new owner used a higher epoch without a collect. */
  function refuseFormerOwner (partition: number, now: number): void {
    runner.refuseQueued('stale-epoch', now, task => task.submission.partition === partition)
    for (const submission of memory.inPartition(partition)) reporter.reportToOwner(submission, now)
  }

  function handleGroup (group: DispatchGroup, from: EntryState, now: number): void {
    const { ownership, header } = group
    const epochStatus = ownership === undefined ? 'current' : epochs.record(ownership, from.identity)
    if (ownership !== undefined && epochStatus === 'raised') refuseFormerOwner(ownership.partition, now)
    const partition = ownership?.partition ?? NO_PARTITION
    const epoch = ownership?.epoch ?? 0
    const knownSubmission = memory.find(header.submission)
    // Checked once for the group, since no input of the start rules changes while one message is handled.
    const refusal = runner.findRefusalReason({ group, epoch }, now)
    if (refusal === 'stale-epoch') {
      refuseStaleGroup(group, partition, knownSubmission, from, now)
      return
    }
    const submission = memory.open(header.submission, header, partition, from.identity, now)
    submission.startBefore = Math.max(submission.startBefore, group.startBefore)
    for (const { index, input, attempt } of group.tasks) {
      const knownTask = submission.tasks.get(index)
      if (knownTask !== undefined) {
        if (!isLaterAttempt(knownTask, attempt)) {
          resendIfFinished(knownTask, now)
          continue
        }
        // The owner has received the refusal, since it sent the task again with a higher attempt number.
        reporter.discardOutcome(knownTask)
      }
      const task = memory.add(submission, index, attempt, now)
      const reason = refusal ?? (runner.queuedCount() >= maximumQueuedTasks ? 'window-exceeded' : undefined)
      if (reason !== undefined) runner.refuse(task, reason, now)
      else runner.accept(task, { group, input, entry: from, epoch, timeoutAt: 0, isAborted: false, isWithdrawn: false })
    }
  }

  /** Refuses the tasks of a former owner's dispatch that are unknown here; reports nothing about the others. */
  function refuseStaleGroup (
    group: DispatchGroup, partition: number, knownSubmission: SubmissionState | undefined, from: EntryState, now: number
  ): void {
    const staleSubmission = createStaleSubmission(group.header, partition, from.identity)
    for (const { index, attempt } of group.tasks) {
      if (knownSubmission?.tasks.has(index) === true) continue
      runner.refuse(createTaskState(staleSubmission, index, attempt), 'stale-epoch', now)
    }
  }

  /** Whether an attempt is later than the refused one and may run. A withdrawal holds for all attempts. */
  function isLaterAttempt ({ outcome, attempt: refusedAttempt }: TaskState, attempt: number | undefined): boolean {
    if (outcome?.status !== 'not-run' || outcome.reason === 'withdrawn') return false
    return attempt !== undefined && refusedAttempt !== undefined && attempt > refusedAttempt
  }

  function resendIfFinished (task: TaskState, now: number): void {
    if (task.state === 'finished') reporter.resendOutcome(task, now)
  }

  function withdrawTask (submission: SubmissionState, index: number, now: number): void {
    const task = submission.tasks.get(index)
    if (task === undefined) {
      runner.refuse(memory.add(submission, index, undefined, now), 'withdrawn', now)
    } else if (task.state === 'queued') {
      runner.refuse(task, 'withdrawn', now)
    } else if (isLaterAttempt(task, Number.POSITIVE_INFINITY)) {
      // A later attempt may be in transit: replaces the refusal of one attempt by a refusal of all attempts.
      reporter.discardOutcome(task)
      runner.refuse(memory.add(submission, index, undefined, now), 'withdrawn', now)
    } else {
      if (task.work !== undefined) task.work.isWithdrawn = true
      resendIfFinished(task, now)
    }
  }

  /** Assigns the tasks of a partition to its new owner. */
  function adoptPartition (ownership: PartitionEpoch, owner: EntryState, now: number): void {
    for (const task of runner.unfinished()) {
      const { work } = task
      if (work === undefined || task.submission.partition !== ownership.partition) continue
      work.epoch = ownership.epoch
      work.entry.unfinishedCount -= 1
      work.entry = owner
      owner.unfinishedCount += 1
    }
    for (const submission of memory.inPartition(ownership.partition)) reporter.reportToOwner(submission, now)
  }

  return {
    dispatch (from: EntryState, { groups, backlog }: Dispatch, now: number): void {
      from.backlog = backlog
      from.backlogReportedAt = now
      for (const group of groups) handleGroup(group, from, now)
      runner.startNext(now)
    },
    withdraw (from: EntryState, { selections }: Withdraw, now: number): void {
      for (const { submission: key, indexes, origin } of selections) {
        const epochStatus = origin === undefined ? 'current' : epochs.record(origin.ownership, from.identity)
        // A former owner gets no report, so that it cannot tell its callers an outcome that the new owner decides.
        if (epochStatus === 'stale') continue
        const partition = origin?.ownership.partition ?? NO_PARTITION
        if (epochStatus === 'raised') refuseFormerOwner(partition, now)
        const submission = memory.open(key, origin?.header, partition, from.identity, now)
        for (const index of indexes) withdrawTask(submission, index, now)
      }
    },
    collect (from: EntryState, { partitions }: Collect, now: number): void {
      const owned: PartitionEpoch[] = []
      for (const ownership of partitions) {
        const epochStatus = epochs.record(ownership, from.identity)
        if (epochStatus === 'stale') continue
        owned.push(ownership)
        if (epochStatus === 'raised') adoptPartition(ownership, from, now)
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
 * Creates the execution logic for one run of an agent.
 *
 * @example
 * const execution = createExecution({ ...options, slots: 8, connections: 60 })
 * execution.receive(entry, message, Date.now())
 * execution.flush(Date.now())
 */
export function createExecution (options: ExecutionOptions): Execution {
  let state: ExecutionState = 'active'
  let lastSweepAt = 0
  /** Heartbeats with higher sequence numbers announce that this agent is leaving. */
  let lastSequenceBeforeLeaving = Infinity
  const components = createComponents(options, () => state)
  const { memory, lease, entries, registers, answers, reporter, runner, announcer, collector } = components
  const handlers = createMessageHandlers(components, options.maximumQueuedTasks ?? DEFAULT_MAXIMUM_QUEUED_TASKS)
  const sweepMilliseconds = options.heartbeatMilliseconds ?? DEFAULT_HEARTBEAT_MILLISECONDS

  function handleDeparture (now: number): void {
    if (state === 'departed') return
    state = 'departed'
    lease.revoke()
    runner.refuseQueued('lease-lapsed', now, () => true)
    options.logger.warn('the fleet has replaced this agent; no further task is started')
  }

  /** Whether every responsive entry has acknowledged that this agent is leaving, and so sends no more dispatches. */
  function isLeavingAcknowledged (): boolean {
    for (const entry of entries.all().values()) {
      const isUnresponsive = entries.lastListedAt() - entry.lastSeenAt > UNRESPONSIVE_ENTRY_MILLISECONDS
      if (!entry.hasAcknowledgedLeaving && !isUnresponsive) return false
    }
    return true
  }

  function releaseTask (task: TaskState): void {
    reporter.discardOutcome(task)
    answers.releaseAnswer(task)
  }

  /** Refuses the queued tasks if none may start any more, and tells entries of the window that has changed. */
  function handleProhibition (now: number): void {
    options.logger.info('starts allowed or forbidden by operators', {
      drained: registers.isDrained(), evacuated: registers.isEvacuated(), queued: runner.queuedCount()
    })
    runner.refuseIneligible(now)
    announcer.requestRound()
  }

  function handleAnnounced (from: EntryIdentity, answer: Announced, now: number): void {
    const entry = entries.recordContact(from, now)
    if (state === 'leaving' && answer.sequence > lastSequenceBeforeLeaving) entry.hasAcknowledgedLeaving = true
    entries.recordAddresses(answer.entries, now)
    if (registers.apply(answer.registers, answer.configurationPosition)) handleProhibition(now)
    if (answer.standing === 'departed') handleDeparture(now)
    else lease.acknowledge(answer.sequence)
  }

  return {
    identity: options.identity,
    receive (from, message, now) {
      switch (message.method) {
        case 'dispatch':
          handlers.dispatch(entries.recordContact(from, now), message.parameters, now)
          return
        case 'withdraw':
          handlers.withdraw(entries.recordContact(from, now), message.parameters, now)
          return
        case 'collect':
          handlers.collect(entries.recordContact(from, now), message.parameters, now)
          return
        case 'acknowledge':
          handlers.acknowledge(from, message.parameters.sequences)
          return
        case 'announced':
          handleAnnounced(from, message.parameters, now)
          return
        default:
          options.logger.debug('dropped a message whose method is not for agents', { entry: from, kind: message.method })
      }
    },
    handleResult (submission, index, result, now) {
      const task = memory.find(submission)?.tasks.get(index)
      if (task === undefined) return
      const wasReachable = runner.isUpstreamReachable()
      runner.handleResult(task, result, now)
      if (wasReachable && !runner.isUpstreamReachable()) {
        options.logger.warn('upstream refuses connections; no task is started until a probe connects')
        options.upstream.probe()
        announcer.requestRound()
      }
      runner.startNext(now)
    },
    handleUpstreamReachable (now) {
      if (runner.isUpstreamReachable()) return
      options.logger.info('upstream accepts connections again')
      runner.setUpstreamReachable(true)
      announcer.requestRound()
      runner.startNext(now)
    },
    tick (now) {
      if (now - lastSweepAt >= sweepMilliseconds) {
        lastSweepAt = now
        runner.refuseIneligible(now)
        memory.evictExpired(now, releaseTask)
        collector.removeExpired(now)
        entries.removeGone(reporter.dropEntry)
        if (!runner.isUpstreamReachable()) options.upstream.probe()
      }
      runner.abortOverdue(now)
      runner.startNext(now)
      reporter.resendDue(now)
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
      lastSequenceBeforeLeaving = lease.lastSequence()
      runner.refuseQueued('leaving', now, () => true)
      announcer.requestRound()
      options.logger.info('graceful shutdown began; no new task is started', { running: runner.runningCount() })
    },
    isDrained: () => runner.runningCount() === 0 && runner.queuedCount() === 0 && reporter.unsettledCount() === 0 &&
      (state !== 'leaving' || isLeavingAcknowledged()),
    snapshot: () => ({
      state,
      runningTasks: runner.runningCount(),
      queuedTasks: runner.queuedCount(),
      rememberedTasks: memory.size(),
      startedTasks: runner.startedCount(),
      unacknowledgedOutcomes: reporter.unsettledCount(),
      leaseUntil: lease.expiresAt(),
      configurationPosition: registers.position(),
      prefetchTasks: registers.prefetchTasks(),
      windows: new Map([...entries.all()].map(([identity, entry]) => [identity, entry.sentWindow]))
    })
  }
}
