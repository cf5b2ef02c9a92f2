/** Takes over jobs of an earlier owner: rebuilds them from agents' records, or imports them from a handover. */
import { type AgentIdentity, type Invariants, PARTITION_COUNT, type SubmissionKey, submissionKeyTime } from '@baobabpost/common'
import type { SubmissionHandover, SubmissionHeader, SubmissionRecord, TaskRecord } from '@baobabpost/messages'
import type { OwnedPartition, PartitionState } from '@baobabpost/ownership'
import { createJob, type Job, TaskState } from './job.js'
import { isInherited, type JobStore } from './job-store.js'
import type { JobLifecycle } from './job-lifecycle.js'
import type { OutcomesPorts } from './outcomes.js'

export interface JobTakeoverOptions {
  readonly ports: OutcomesPorts
  readonly invariants: Invariants
  readonly store: JobStore
  readonly lifecycle: JobLifecycle
  /** Schedules the expiry of a job and the resends to the agents that hold its tasks. */
  readonly scheduleTimers: (job: Job, now: number) => void
}

export interface JobTakeover {
  recordsCollected: (agent: AgentIdentity, records: readonly SubmissionRecord[], now: number) => void
  /** Drops the jobs of a partition that moved away; after a takeover, settles the tasks that no agent reported. */
  partitionChanged: (partition: number, state: PartitionState, now: number) => void
  exportPartition: (partition: number, now: number) => readonly SubmissionHandover[]
  importPartition: (partition: number, submissions: readonly SubmissionHandover[], now: number) => void
}

/**
 * Creates the takeover of jobs.
 *
 * @example
 * takeover.recordsCollected(agent, records, now)
 */
export function createJobTakeover (options: JobTakeoverOptions): JobTakeover {
  const { ports, invariants, store, lifecycle } = options
  const unsettled = Array.from({ length: PARTITION_COUNT }, () => new Set<Job>())
  const epochs = new Array<number | undefined>(PARTITION_COUNT).fill(undefined)

  function createTakenOverJob (header: SubmissionHeader, partition: number): Job {
    const submission = header.submission as SubmissionKey
    const job = createJob({
      submission,
      header,
      partition,
      keyTime: submissionKeyTime(submission),
      initialState: TaskState.unreported,
      request: undefined,
      resolved: undefined,
      invariants
    })
    store.add(job)
    return job
  }

  function findOrCreateJob (record: SubmissionRecord, now: number): Job {
    const known = store.find(record.header.submission)
    if (known !== undefined) return known
    const job = createTakenOverJob(record.header, record.partition)
    unsettled[record.partition]?.add(job)
    job.steps.add('taken-over', record.header.taskCount, now)
    options.scheduleTimers(job, now)
    return job
  }

  function applyRecord (job: Job, agent: AgentIdentity, record: TaskRecord, now: number): void {
    const { index, outcome } = record
    if (index >= job.header.taskCount || job.state(index) === TaskState.finished) return
    if (job.state(index) === TaskState.dispatched && !isInherited(job, index)) return
    if (outcome?.status === 'not-run') applyRefusal(job, agent, index, outcome.reason, now)
    else if (outcome !== undefined) applyOutcome(job, record, now)
    else applyUnfinished(job, agent, index)
  }

  function applyRefusal (job: Job, agent: AgentIdentity, index: number, reason: string, now: number): void {
    const excluded = job.excludedAgents.get(index) ?? []
    if (!excluded.includes(agent)) job.excludedAgents.set(index, [...excluded, agent])
    // Tasks are withdrawn only after a cancellation, so the earlier owner had accepted one.
    if (reason === 'withdrawn') job.cancelled = true
    const isHeldByAgent = job.state(index) === TaskState.dispatched &&
      job.agentNumber(index) === store.agentNumber(agent)
    if (isHeldByAgent) lifecycle.requeue(job, [index], now)
  }

  function applyOutcome (job: Job, { index, outcome }: TaskRecord, now: number): void {
    if (outcome === undefined) return
    if (job.state(index) === TaskState.waiting) ports.removeWaiting(job.submission, new Set([index]))
    lifecycle.finish(job, index, outcome, now)
  }

  function applyUnfinished (job: Job, agent: AgentIdentity, index: number): void {
    if (job.state(index) === TaskState.dispatched) {
      invariants.check(job.agentNumber(index) === store.agentNumber(agent), 'one-agent-a-task',
        () => `${job.submission}/${index} is dispatched to two agents`)
      return
    }
    if (job.state(index) === TaskState.waiting) ports.removeWaiting(job.submission, new Set([index]))
    store.dispatch(job, index, agent, true)
  }

  function settleUnreported (job: Job, state: OwnedPartition, now: number): void {
    const unreported = job.indexesIn(TaskState.unreported)
    if (job.cancelled && job.answer === undefined) {
      job.cancelled = false
      lifecycle.cancel(job, now)
    }
    if (job.keyTime >= state.uncertainBefore) {
      lifecycle.requeue(job, unreported, now)
      return
    }
    lifecycle.finishAll(job, unreported, { status: 'outcome-unknown', reason: 'owner-lost' }, now)
  }

  function dropPartition (partition: number, now: number): void {
    epochs[partition] = undefined
    unsettled[partition]?.clear()
    for (const job of [...store.inPartition(partition)]) {
      store.remove(job)
      if (job.count(TaskState.waiting) > 0) ports.removeWaiting(job.submission)
      const waiters = [...job.waiters.keys()]
      job.waiters.clear()
      if (waiters.length > 0) ports.reroute(waiters, job.submission, now)
    }
  }

  function exportJob (job: Job): SubmissionHandover {
    const tasks: SubmissionHandover['tasks'][number][] = []
    for (let index = 0; index < job.header.taskCount; index += 1) {
      const outcome = job.outcome(index)
      const agent = store.agentOf(job.agentNumber(index))
      if (outcome !== undefined) tasks.push({ state: 'finished', outcome })
      else if (job.state(index) === TaskState.dispatched && agent !== undefined) tasks.push({ state: 'dispatched', agent })
      else tasks.push({ state: 'waiting' })
    }
    const { header, partition, cancelled, request } = job
    return { header, partition, cancelled, tasks, ...request === undefined ? {} : { request } }
  }

  function importJob (handover: SubmissionHandover, now: number): void {
    const known = store.find(handover.header.submission)
    const job = known ?? createTakenOverJob(handover.header, handover.partition)
    if (known === undefined) options.scheduleTimers(job, now)
    unsettled[handover.partition]?.delete(job)
    job.steps.add('handed-over', handover.header.taskCount, now)
    job.cancelled ||= handover.cancelled
    if (handover.request !== undefined) lifecycle.adopt(job, handover.request, now)
    const waiting: number[] = []
    for (const [index, task] of handover.tasks.entries()) {
      const state = job.state(index)
      if (state === TaskState.finished) continue
      if (task.state === 'finished') lifecycle.finish(job, index, task.outcome, now)
      else if (state === TaskState.dispatched) continue
      else if (task.state === 'dispatched') store.dispatch(job, index, task.agent, true)
      else waiting.push(index)
    }
    lifecycle.requeue(job, waiting, now)
    options.scheduleTimers(job, now)
    if (!job.cancelled || job.answer !== undefined) return
    job.cancelled = false
    lifecycle.cancel(job, now)
  }

  return {
    recordsCollected (agent, records, now) {
      for (const record of records) {
        const job = findOrCreateJob(record, now)
        for (const task of record.tasks) applyRecord(job, agent, task, now)
        options.scheduleTimers(job, now)
      }
    },

    partitionChanged (partition, state, now) {
      if (state.kind !== 'ours') {
        dropPartition(partition, now)
        return
      }
      if (epochs[partition] !== state.epoch) {
        if (epochs[partition] !== undefined) dropPartition(partition, now)
        epochs[partition] = state.epoch
      }
      const jobs = unsettled[partition]
      if (state.phase === 'collecting' || jobs === undefined || jobs.size === 0) return
      const settling = [...jobs]
      jobs.clear()
      for (const job of settling) settleUnreported(job, state, now)
    },

    exportPartition: partition => Array.from(store.inPartition(partition), exportJob),

    importPartition (_partition, submissions, now) {
      for (const submission of submissions) importJob(submission, now)
    }
  }
}
