/** The submissions at their owner, put together from their parts. */
import type { DispatchGroup, DispatchTask } from '@baobabpost/messages'
import { createAgentReports } from './agent-reports.js'
import { createArrivals } from './arrivals.js'
import { explainJob } from './explanation.js'
import { attemptNumber, type HeldTasks, type Job, TaskState } from './job.js'
import { createJobLifecycle, type DueItem } from './job-lifecycle.js'
import { createJobStore, isForeign } from './job-store.js'
import { createJobTakeover } from './job-takeover.js'
import type { Outcomes, OutcomesOptions } from './outcomes.js'
import { createTimeline } from './timeline.js'

const DEFAULT_ADOPTION_WINDOW_MILLISECONDS = 10_000
const DEFAULT_RESEND_MILLISECONDS = 2_000
const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000
const LONGEST_RESEND_MILLISECONDS = 16_000
/** Time after which an unfinished submission past the key window is looked at again. */
const EXPIRY_REPEAT_MILLISECONDS = 10_000

/**
 * Makes the submissions of one entry.
 *
 * @example
 * const outcomes = createOutcomes({ ports, invariants, keyWindowMilliseconds: 600_000, clockSkewMilliseconds: 2_000 })
 * outcomes.submit({ waiter: 'local/1', submission, customer, request, digest, waitUntil: now + 30_000 }, now)
 */
export function createOutcomes (options: OutcomesOptions): Outcomes {
  const { ports, invariants, keyWindowMilliseconds, clockSkewMilliseconds } = options
  const retryAfterMilliseconds = options.retryAfterMilliseconds ?? DEFAULT_RETRY_AFTER_MILLISECONDS
  const timeline = createTimeline<DueItem>()
  const store = createJobStore(options.resendMilliseconds ?? DEFAULT_RESEND_MILLISECONDS)
  const lifecycle = createJobLifecycle({
    ports,
    invariants,
    store,
    timeline,
    watch,
    retryAfterMilliseconds,
    adoptionWindowMilliseconds: options.adoptionWindowMilliseconds ?? DEFAULT_ADOPTION_WINDOW_MILLISECONDS
  })
  const reports = createAgentReports({ ports, invariants, store, lifecycle, partitionState: ports.partitionState })
  const takeover = createJobTakeover({ ports, invariants, store, lifecycle, watch })
  const arrivals = createArrivals({
    ports,
    invariants,
    store,
    lifecycle,
    timeline,
    watch,
    keyWindowMilliseconds,
    clockSkewMilliseconds,
    retryAfterMilliseconds
  })
  const expiring = new WeakSet<Job>()

  function watch (job: Job, now: number): void {
    for (const held of job.held.values()) watchHeld(job, held, now)
    if (expiring.has(job)) return
    expiring.add(job)
    timeline.add(job.keyTime + keyWindowMilliseconds + 2 * clockSkewMilliseconds, { kind: 'expiry', job })
  }

  function watchHeld (job: Job, held: HeldTasks, now: number): void {
    if (held.isScheduled) return
    held.isScheduled = true
    held.lastSentAt = now
    timeline.add(now + held.resendMilliseconds, { kind: 'resend', job, held })
  }

  function resendDue (job: Job, held: HeldTasks, now: number): void {
    if (job.held.get(held.agentNumber) !== held || store.find(job.submission) !== job) return
    const dueAt = held.lastSentAt + held.resendMilliseconds
    if (dueAt > now) {
      timeline.add(dueAt, { kind: 'resend', job, held })
      return
    }
    lifecycle.repeat(job, held, now)
    held.resendMilliseconds = Math.min(LONGEST_RESEND_MILLISECONDS, held.resendMilliseconds * 2)
    held.lastSentAt = now
    timeline.add(now + held.resendMilliseconds, { kind: 'resend', job, held })
  }

  function heldBackDue (job: Job, index: number, now: number): void {
    if (store.find(job.submission) !== job || job.state(index) !== TaskState.waiting) return
    lifecycle.requeue(job, [index], now)
  }

  function expiryDue (job: Job, now: number): void {
    if (store.find(job.submission) !== job) return
    if (job.answer !== undefined) store.remove(job)
    else timeline.add(now + EXPIRY_REPEAT_MILLISECONDS, { kind: 'expiry', job })
  }

  function due (item: DueItem, now: number): void {
    switch (item.kind) {
      case 'waiter': {
        const job = store.find(item.submission)
        if (job !== undefined) lifecycle.waiterDue(job, item.waiter, now)
        arrivals.waiterDue(item.waiter, item.submission, now)
        return
      }
      case 'resend':
        resendDue(item.job, item.held, now)
        return
      case 'held-back':
        heldBackDue(item.job, item.index, now)
        return
      case 'adoption':
        if (store.find(item.job.submission) === item.job) lifecycle.adoptionDue(item.job, now)
        return
      case 'release':
        if (store.find(item.job.submission) === item.job) lifecycle.release(item.job, now)
        return
      case 'expiry':
        expiryDue(item.job, now)
    }
  }

  function buildGroup (
    job: Job, indexes: readonly number[], epoch: number, leaseEnd: number
  ): DispatchGroup | undefined {
    const { header, request, resolved, partition } = job
    if (request === undefined || resolved === undefined || indexes.length === 0) return undefined
    const tasks: DispatchTask[] = []
    for (const index of indexes) {
      tasks.push({ index, input: request.tasks[index] ?? {}, attempt: attemptNumber(epoch, job.attempt(index)) })
    }
    return {
      header,
      ownership: { partition, epoch },
      path: resolved.path,
      timeoutMilliseconds: resolved.timeoutMilliseconds,
      parameters: resolved.parameters,
      urgent: resolved.urgent,
      startBefore: Math.min(resolved.startBefore, leaseEnd),
      tasks
    }
  }

  function isOwnEpoch (job: Job, epoch: number): boolean {
    const state = ports.partitionState(job.partition)
    return state.kind === 'ours' && state.epoch === epoch && state.phase === 'serving'
  }

  /** A repetition of an earlier owner's dispatch becomes a dispatch of this one. */
  function takeOverDispatches (job: Job, indexes: readonly number[], agentNumber: number): void {
    for (const index of indexes) {
      if (isForeign(job, index)) job.setDispatched(index, agentNumber, false)
    }
  }

  return {
    submit: (operation, now) => { arrivals.arrive({ kind: 'submit', operation }, now) },
    query: (operation, now) => { arrivals.arrive({ kind: 'query', operation }, now) },
    cancel: (operation, now) => { arrivals.arrive({ kind: 'cancel', operation }, now) },
    abandon: arrivals.abandon,

    isWaiting (submission, index) {
      return store.find(submission)?.state(index) === TaskState.waiting
    },

    dispatch (submission, indexes, agent, epoch, leaseEnd, now) {
      const job = store.find(submission)
      if (job?.resolved === undefined || !isOwnEpoch(job, epoch)) return undefined
      const waiting = indexes.filter(index => job.state(index) === TaskState.waiting)
      for (const index of waiting) store.dispatch(job, index, agent, false)
      if (waiting.length === 0) return undefined
      job.steps.add('dispatched', waiting.length, now, agent)
      const held = job.held.get(store.agentNumber(agent))
      if (held !== undefined) {
        held.lastSentAt = now
        watchHeld(job, held, now)
      }
      return buildGroup(job, waiting, epoch, leaseEnd)
    },

    buildResendGroup (submission, indexes, agent, epoch, leaseEnd) {
      const job = store.find(submission)
      if (job === undefined || !isOwnEpoch(job, epoch)) return undefined
      const agentNumber = store.agentNumber(agent)
      const held = indexes.filter(index =>
        job.state(index) === TaskState.dispatched && job.agentNumber(index) === agentNumber)
      takeOverDispatches(job, held, agentNumber)
      return buildGroup(job, held, epoch, leaseEnd)
    },

    report: reports.report,

    tasksExpired (submission, indexes, now) {
      const job = store.find(submission)
      if (job === undefined) return
      const waiting = indexes.filter(index => job.state(index) === TaskState.waiting)
      if (waiting.length === 0) return
      job.steps.add('expired', waiting.length, now)
      lifecycle.judgeNotRun(job, waiting, 'deadline', now)
    },

    agentDeparted: reports.agentDeparted,
    recordsCollected: takeover.recordsCollected,

    partitionChanged (partition, state, now) {
      takeover.partitionChanged(partition, state, now)
      arrivals.partitionChanged(partition, state, now)
    },

    exportPartition: takeover.exportPartition,
    importPartition: takeover.importPartition,
    flush: lifecycle.flushWithdrawals,

    tick (now) {
      for (const item of timeline.takeDue(now)) due(item, now)
      arrivals.tick(now)
      lifecycle.flushWithdrawals(now)
    },

    explain (submission) {
      const job = store.find(submission)
      return job === undefined ? undefined : explainJob(job)
    },

    counts () {
      return store.counts(arrivals.parkedCount())
    }
  }
}
