/**
 * Handles callers' operations: a submission joins a known one or is accepted or refused; an operation that can't be
 * answered yet is parked.
 */
import { type Invariants, partitionOf, type SubmissionKey, submissionKeyTime } from '@baobabpost/common'
import type { OperationResult } from '@baobabpost/messages'
import type { OwnedPartition, PartitionState } from '@baobabpost/ownership'
import { createJob, type Job, TaskState } from './job.js'
import type { JobStore } from './job-store.js'
import type { DueItem, JobLifecycle } from './job-lifecycle.js'
import type { ExistingSubmissionOperation, OutcomesPorts, ResolvedJob, SubmitOperation } from './outcomes.js'
import { problemResult, uncertainResult } from './results.js'
import type { Timeline } from './timeline.js'

const MINIMUM_UNCERTAIN_RETRY_MILLISECONDS = 1_000
const MAXIMUM_UNCERTAIN_RETRY_MILLISECONDS = 60_000

type Arrival =
  | { readonly kind: 'submit', readonly operation: SubmitOperation }
  | { readonly kind: 'query', readonly operation: ExistingSubmissionOperation }
  | { readonly kind: 'cancel', readonly operation: ExistingSubmissionOperation }

export interface ArrivalsOptions {
  readonly ports: OutcomesPorts
  readonly invariants: Invariants
  readonly store: JobStore
  readonly lifecycle: JobLifecycle
  readonly timeline: Timeline<DueItem>
  readonly scheduleTimers: (job: Job, now: number) => void
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
  readonly retryAfterMilliseconds: number
}

export interface Arrivals {
  handle: (arrival: Arrival, now: number) => void
  removeWaiter: (waiter: string, submission: SubmissionKey) => void
  /** Answers a parked waiter as uncertain if its `waitUntil` has passed. */
  waiterDue: (waiter: string, submission: SubmissionKey, now: number) => void
  /** Handles the partition's parked operations again after its state changed. */
  partitionChanged: (partition: number, state: PartitionState, now: number) => void
  /** Handles parked operations again once this entry may declare tasks as not run. */
  tick: (now: number) => void
  parkedCount: () => number
}

/**
 * Creates the handler of callers' operations.
 *
 * @example
 * arrivals.handle({ kind: 'query', operation }, now)
 */
export function createArrivals (options: ArrivalsOptions): Arrivals {
  const { ports, store, lifecycle, timeline } = options
  const parked = new Map<number, Map<string, Arrival>>()

  function handle (arrival: Arrival, now: number): void {
    const { waiter, submission } = arrival.operation
    const partition = partitionOf(submission)
    const state = ports.partitionState(partition)
    if (state.kind !== 'ours') {
      ports.reroute([waiter], submission, now)
      return
    }
    if (state.phase === 'collecting') {
      park(partition, arrival, now)
      return
    }
    const job = store.find(submission)
    const mayHandleNow = ports.mayDeclareNotRun(now) || (job !== undefined && arrival.kind !== 'cancel')
    if (!mayHandleNow) park(partition, arrival, now)
    else if (job === undefined) handleUnknown(arrival, partition, state, now)
    else handleKnown(arrival, job, now)
  }

  function handleParked (partition: number, now: number): void {
    const waiters = parked.get(partition)
    if (waiters === undefined) return
    parked.delete(partition)
    for (const arrival of waiters.values()) handle(arrival, now)
  }

  function isCollecting (partition: number): boolean {
    const state = ports.partitionState(partition)
    return state.kind === 'ours' && state.phase === 'collecting'
  }

  function park (partition: number, arrival: Arrival, now: number): void {
    const { waiter, submission, waitUntil } = arrival.operation
    if (waitUntil <= now) {
      lifecycle.answer(waiter, uncertainResult(submission, options.retryAfterMilliseconds), now)
      return
    }
    let waiters = parked.get(partition)
    if (waiters === undefined) {
      waiters = new Map()
      parked.set(partition, waiters)
    }
    waiters.set(waiter, arrival)
    timeline.add(waitUntil, { kind: 'waiter', waiter, submission })
  }

  function handleKnown (arrival: Arrival, job: Job, now: number): void {
    const { waiter, customer, waitUntil } = arrival.operation
    const refusal = refusalOfKnown(arrival, job, customer)
    if (refusal !== undefined) {
      lifecycle.answer(waiter, refusal, now)
      return
    }
    if (arrival.kind === 'submit') {
      job.steps.add('joined', job.header.taskCount, now)
      options.ports.submissionArrived?.('joined')
      lifecycle.adopt(job, arrival.operation.request, now)
    }
    if (arrival.kind === 'cancel') lifecycle.cancel(job, now)
    lifecycle.addWaiter(job, waiter, waitUntil, now)
  }

  function refusalOfKnown (arrival: Arrival, job: Job, customer: string): OperationResult | undefined {
    if (arrival.kind !== 'submit') {
      if (job.header.customer === customer) return undefined
      return problemResult('forbidden', 'The submission belongs to another customer')
    }
    if (job.header.customer !== customer) return problemResult('key-conflict', 'The key is in use by another customer')
    if (job.header.digest === arrival.operation.digest) return undefined
    return problemResult('key-conflict', 'The key was used for a body with another digest')
  }

  function handleUnknown (arrival: Arrival, partition: number, state: OwnedPartition, now: number): void {
    const { waiter, submission } = arrival.operation
    const refusal = refusalByKeyTime(submission, now) ?? refusalByUncertainty(submission, state, now)
    if (refusal !== undefined) {
      lifecycle.answer(waiter, refusal, now)
      return
    }
    if (arrival.kind === 'submit') accept(arrival.operation, partition, now)
    else lifecycle.answer(waiter, problemResult('unknown-submission', `Submission ${submission} is not known`), now)
  }

  function refusalByKeyTime (submission: SubmissionKey, now: number): OperationResult | undefined {
    const time = submissionKeyTime(submission)
    if (time > now + options.clockSkewMilliseconds) {
      return problemResult('malformed-request', 'The key carries a time that is yet to come')
    }
    if (time >= now - options.keyWindowMilliseconds) return undefined
    return problemResult('key-expired', `Keys are remembered for ${options.keyWindowMilliseconds} milliseconds`)
  }

  function refusalByUncertainty (
    submission: SubmissionKey, { unaccounted, uncertainBefore }: OwnedPartition, now: number
  ): OperationResult | undefined {
    const time = submissionKeyTime(submission)
    if (time >= uncertainBefore) return undefined
    // While agents have not answered, the uncertainty may end soon; otherwise it lasts until the key expires.
    const remainingMilliseconds = time + options.keyWindowMilliseconds - now
    const retryMilliseconds = Math.min(MAXIMUM_UNCERTAIN_RETRY_MILLISECONDS, remainingMilliseconds)
    const mayBecomeCertain = unaccounted > 0 || uncertainBefore === Infinity
    return uncertainResult(submission, mayBecomeCertain
      ? options.retryAfterMilliseconds
      : Math.max(MINIMUM_UNCERTAIN_RETRY_MILLISECONDS, retryMilliseconds))
  }

  function accept (operation: SubmitOperation, partition: number, now: number): void {
    const resolution = ports.resolve(operation.request, now)
    if (resolution.kind === 'refused') {
      lifecycle.answer(operation.waiter, resolution.result, now)
      return
    }
    const job = createAcceptedJob(operation, partition, resolution.job)
    const tasks = lifecycle.waitingTasks(job, job.indexesIn(TaskState.waiting))
    const decision = tasks === undefined ? undefined : ports.offer(tasks, now)
    if (decision?.kind !== 'admitted') {
      const fields = decision === undefined
        ? {}
        : { reason: decision.reason, retryAfterMilliseconds: decision.retryAfterMilliseconds }
      const detail = decision?.reason === 'evacuated'
        ? 'All failure domains with upstreams of the service are evacuated'
        : 'The queue does not take the job'
      lifecycle.answer(operation.waiter, problemResult('not-run', detail, fields), now)
      return
    }
    store.add(job)
    job.steps.add('accepted', job.header.taskCount, now)
    options.ports.submissionArrived?.('accepted')
    options.scheduleTimers(job, now)
    lifecycle.addWaiter(job, operation.waiter, operation.waitUntil, now)
  }

  function createAcceptedJob (operation: SubmitOperation, partition: number, resolvedJob: ResolvedJob): Job {
    const { submission, request, digest, customer } = operation
    return createJob({
      submission,
      header: { submission, digest, taskCount: request.tasks.length, customer, template: request.template },
      partition,
      keyTime: submissionKeyTime(submission),
      initialState: TaskState.waiting,
      request,
      resolved: resolvedJob,
      invariants: options.invariants
    })
  }

  return {
    handle,
    removeWaiter (waiter, submission) {
      store.find(submission)?.waiters.delete(waiter)
      parked.get(partitionOf(submission))?.delete(waiter)
    },
    waiterDue (waiter, submission, now) {
      const waiters = parked.get(partitionOf(submission))
      const arrival = waiters?.get(waiter)
      if (arrival === undefined || arrival.operation.waitUntil > now) return
      waiters?.delete(waiter)
      lifecycle.answer(waiter, uncertainResult(submission, options.retryAfterMilliseconds), now)
    },
    partitionChanged (partition, state, now) {
      if (state.kind !== 'ours' || state.phase === 'serving') handleParked(partition, now)
    },
    tick (now) {
      if (parked.size === 0 || !ports.mayDeclareNotRun(now)) return
      for (const partition of [...parked.keys()]) {
        if (!isCollecting(partition)) handleParked(partition, now)
      }
    },
    parkedCount () {
      let count = 0
      for (const waiters of parked.values()) count += waiters.size
      return count
    }
  }
}
