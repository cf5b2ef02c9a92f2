/** Operations of callers as they arrive: joined to a known submission, accepted, refused, or parked. */
import { type Invariants, partitionOf, type SubmissionKey, submissionKeyTime } from '@baobabpost/common'
import type { OperationResult } from '@baobabpost/messages'
import type { PartitionOfOurs, PartitionState } from '@baobabpost/ownership'
import { createJob, type Job, TaskState } from './job.js'
import type { JobStore } from './job-store.js'
import type { DueItem, JobLifecycle } from './job-lifecycle.js'
import type { AskOperation, OutcomesPorts, ResolvedJob, SubmitOperation } from './outcomes.js'
import { problemResult, uncertainResult } from './results.js'
import type { Timeline } from './timeline.js'

const SHORTEST_UNCERTAINTY_MILLISECONDS = 1_000
const LONGEST_UNCERTAINTY_MILLISECONDS = 60_000

/** An operation of a caller. */
type Arrival =
  | { readonly kind: 'submit', readonly operation: SubmitOperation }
  | { readonly kind: 'query', readonly operation: AskOperation }
  | { readonly kind: 'cancel', readonly operation: AskOperation }

/** What arrivals work with. */
export interface ArrivalsOptions {
  readonly ports: OutcomesPorts
  readonly invariants: Invariants
  readonly store: JobStore
  readonly lifecycle: JobLifecycle
  readonly timeline: Timeline<DueItem>
  readonly watch: (job: Job, now: number) => void
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
  readonly retryAfterMilliseconds: number
}

/** Takes in the operations of callers. */
export interface Arrivals {
  arrive: (arrival: Arrival, now: number) => void
  abandon: (waiter: string, submission: SubmissionKey) => void
  /** The time of a parked waiter may be over. */
  waiterDue: (waiter: string, submission: SubmissionKey, now: number) => void
  /** Looks again at what was parked, because the partition's state changed. */
  partitionChanged: (partition: number, state: PartitionState, now: number) => void
  /** Looks again at what was parked until this entry may judge. */
  tick: (now: number) => void
  parkedCount: () => number
}

/**
 * Makes the intake of callers' operations.
 *
 * @example
 * arrivals.arrive({ kind: 'query', operation }, now)
 */
export function createArrivals (options: ArrivalsOptions): Arrivals {
  const { ports, store, lifecycle, timeline } = options
  const parked = new Map<number, Map<string, Arrival>>()

  function arrive (arrival: Arrival, now: number): void {
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
    const isSafe = ports.mayDeclareNotRun(now) || (job !== undefined && arrival.kind !== 'cancel')
    if (!isSafe) park(partition, arrival, now)
    else if (job === undefined) arriveUnknown(arrival, partition, state, now)
    else arriveKnown(arrival, job, now)
  }

  function arriveAgain (partition: number, now: number): void {
    const waiters = parked.get(partition)
    if (waiters === undefined) return
    parked.delete(partition)
    for (const arrival of waiters.values()) arrive(arrival, now)
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

  function arriveKnown (arrival: Arrival, job: Job, now: number): void {
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
    lifecycle.wait(job, waiter, waitUntil, now)
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

  function arriveUnknown (arrival: Arrival, partition: number, state: PartitionOfOurs, now: number): void {
    const { waiter, submission } = arrival.operation
    const refusal = refusalByAge(submission, now) ?? refusalByDoubt(submission, state, now)
    if (refusal !== undefined) {
      lifecycle.answer(waiter, refusal, now)
      return
    }
    if (arrival.kind === 'submit') accept(arrival.operation, partition, now)
    else lifecycle.answer(waiter, problemResult('unknown-submission', `Submission ${submission} is not known`), now)
  }

  function refusalByAge (submission: SubmissionKey, now: number): OperationResult | undefined {
    const time = submissionKeyTime(submission)
    if (time > now + options.clockSkewMilliseconds) {
      return problemResult('malformed-request', 'The key carries a time that is yet to come')
    }
    if (time >= now - options.keyWindowMilliseconds) return undefined
    return problemResult('key-expired', `Keys are remembered for ${options.keyWindowMilliseconds} milliseconds`)
  }

  function refusalByDoubt (
    submission: SubmissionKey, { unaccounted, uncertainBefore }: PartitionOfOurs, now: number
  ): OperationResult | undefined {
    const time = submissionKeyTime(submission)
    if (time >= uncertainBefore) return undefined
    // While agents are missing the doubt may end soon; else it lasts until the key expires.
    const left = time + options.keyWindowMilliseconds - now
    const longest = Math.min(LONGEST_UNCERTAINTY_MILLISECONDS, left)
    const isOpen = unaccounted > 0 || uncertainBefore === Infinity
    return uncertainResult(submission, isOpen
      ? options.retryAfterMilliseconds
      : Math.max(SHORTEST_UNCERTAINTY_MILLISECONDS, longest))
  }

  function accept (operation: SubmitOperation, partition: number, now: number): void {
    const resolution = ports.resolve(operation.request, now)
    if (resolution.kind === 'refused') {
      lifecycle.answer(operation.waiter, resolution.result, now)
      return
    }
    const job = createAccepted(operation, partition, resolution.job)
    const tasks = lifecycle.waitingTasks(job, job.indexesIn(TaskState.waiting))
    const decision = tasks === undefined ? undefined : ports.offer(tasks, now)
    if (decision?.kind !== 'admitted') {
      const fields = decision === undefined
        ? {}
        : { reason: decision.reason, retryAfterMilliseconds: decision.retryAfterMilliseconds }
      lifecycle.answer(operation.waiter, problemResult('not-run', 'The queue does not take the job', fields), now)
      return
    }
    store.add(job)
    job.steps.add('accepted', job.header.taskCount, now)
    options.ports.submissionArrived?.('accepted')
    options.watch(job, now)
    lifecycle.wait(job, operation.waiter, operation.waitUntil, now)
  }

  function createAccepted (operation: SubmitOperation, partition: number, resolved: ResolvedJob): Job {
    const { submission, request, digest, customer } = operation
    return createJob({
      submission,
      header: { submission, digest, taskCount: request.tasks.length, customer, template: request.template },
      partition,
      keyTime: submissionKeyTime(submission),
      initialState: TaskState.waiting,
      request,
      resolved,
      invariants: options.invariants
    })
  }

  return {
    arrive,
    abandon (waiter, submission) {
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
      if (state.kind !== 'ours' || state.phase === 'serving') arriveAgain(partition, now)
    },
    tick (now) {
      if (parked.size === 0 || !ports.mayDeclareNotRun(now)) return
      for (const partition of [...parked.keys()]) {
        if (!isCollecting(partition)) arriveAgain(partition, now)
      }
    },
    parkedCount () {
      let count = 0
      for (const waiters of parked.values()) count += waiters.size
      return count
    }
  }
}
