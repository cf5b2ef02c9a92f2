/** Generates seeded open-loop load on a fleet and records the outcome of every call and job. */
import { setTimeout as sleep } from 'node:timers/promises'
import { createSubmissionKey, createRandom } from '@baobabpost/common'
import type { SubmissionAnswer, TaskOutcome } from '@baobabpost/messages'
import { createWorkload, type Arrival, type WorkloadOptions } from '../decision-run/workload.js'
import { type BenchEntry, type BenchFleet, callerSecret } from './fleet.js'
import type { ClientAnswer, HttpClient } from './http-client.js'
import { CUSTOMERS } from './registers.js'

const ANSWER_WAIT_MILLISECONDS = 120_000
const MAXIMUM_ATTEMPTS = 30
const FOLLOW_UP_DELAY_MILLISECONDS = 200

/** A finished call. */
export interface MeasuredCall {
  readonly urgent: boolean
  readonly outcome: TaskOutcome['status'] | 'broken'
  /** Time from sending the call to its answer, in milliseconds. */
  readonly responseMilliseconds: number
  /** Run time at the upstream that ran the call, in milliseconds; NaN unless the call succeeded. */
  readonly ownMilliseconds: number
  /** Run time at the fastest upstream, in milliseconds. */
  readonly fastestMilliseconds: number
}

export interface MeasuredJob {
  readonly tasks: number
  readonly state: 'complete' | 'failed' | 'refused' | 'broken' | 'cancelled'
  readonly responseMilliseconds: number
  /** The longer of the longest task's run time at the fastest upstream and the job's work divided by the capacity. */
  readonly idealMilliseconds: number
  readonly sentAt: number
}

export interface LoadRecord {
  readonly calls: MeasuredCall[]
  readonly jobs: MeasuredJob[]
  /** Work reported as succeeded: Unix time of the answer, and run time at the fastest upstream in milliseconds. */
  readonly completedWork: Array<{ readonly at: number, readonly milliseconds: number }>
  tasksSent: number
}

export interface LoadOptions {
  readonly fleet: BenchFleet
  readonly client: HttpClient
  readonly seed: number
  readonly load: number
  readonly urgentShare: number
  readonly milliseconds: number
  readonly tasksPerJob: WorkloadOptions['tasksPerJob']
  /** Share of the jobs that are cancelled 200 ms after they are sent. */
  readonly cancelledJobs: number
  readonly maximumSpeed: number
  readonly deadlineMilliseconds: number
}

interface UpstreamAnswer {
  readonly upstream: string
}

/** Sends calls and jobs for the given time, then waits for all answers. */
export async function runLoad (options: LoadOptions): Promise<LoadRecord> {
  const { fleet, client } = options
  const common = {
    entries: fleet.entries.length,
    customers: CUSTOMERS.length,
    capacity: fleet.capacity,
    load: options.load,
    urgentShare: options.urgentShare,
    tasksPerJob: options.tasksPerJob,
    failingJobShare: 0
  }
  // Calls and jobs each have their own random generator, so that the timing of one doesn't change the other's arrivals.
  const workloads = {
    call: createWorkload({ ...common, random: createRandom(options.seed) }),
    job: createWorkload({ ...common, random: createRandom(options.seed + 1_000) })
  }
  const cancellations = createRandom(options.seed + 2_000)
  const speeds = new Map(fleet.upstreams.map(({ name, speed }) => [name, speed]))
  const record: LoadRecord = { calls: [], jobs: [], completedWork: [], tasksSent: 0 }
  const openRequests = new Set<Promise<void>>()

  function ownMilliseconds (work: number, answer: unknown): number {
    const speed = speeds.get((answer as UpstreamAnswer).upstream) ?? options.maximumSpeed
    return work * options.maximumSpeed / speed
  }

  /** Returns the entry that a load balancer would select: a running one, another at each attempt. */
  function selectEntry (arrival: Arrival, attempts: number): BenchEntry {
    const liveEntries = fleet.entries.filter(entry => !entry.process.hasEnded())
    return liveEntries[(arrival.entry + attempts) % liveEntries.length]!
  }

  async function sendCall (arrival: Arrival): Promise<void> {
    const [item] = arrival.items
    if (item === undefined) return
    const customer = CUSTOMERS[arrival.customer]!
    const startedAt = performance.now()
    const answer = await client.send({
      method: 'POST',
      address: selectEntry(arrival, 0).address,
      path: '/v1/calls',
      secret: callerSecret(customer),
      body: {
        template: item.template,
        customer,
        input: { workMilliseconds: item.workMilliseconds * options.maximumSpeed },
        deadlineMilliseconds: options.deadlineMilliseconds
      }
    })
    const responseMilliseconds = performance.now() - startedAt
    const succeeded = answer.status === 200
    const fastestMilliseconds = item.workMilliseconds
    const own = succeeded ? ownMilliseconds(fastestMilliseconds, (answer.body as { answer: unknown }).answer) : NaN
    const outcome = succeeded ? 'succeeded' : callOutcomeOf(answer)
    record.calls.push({ urgent: true, outcome, responseMilliseconds, ownMilliseconds: own, fastestMilliseconds })
    if (succeeded) record.completedWork.push({ at: Date.now(), milliseconds: fastestMilliseconds })
  }

  async function submitJob (arrival: Arrival): Promise<void> {
    const key = createSubmissionKey()
    const customer = CUSTOMERS[arrival.customer]!
    const secret = callerSecret(customer)
    const sentAt = Date.now()
    const path = `/v1/submissions/${key}`
    const body = {
      template: arrival.items[0]?.template,
      customer,
      tasks: arrival.items.map(item => ({ workMilliseconds: item.workMilliseconds * options.maximumSpeed })),
      deadlineMilliseconds: options.deadlineMilliseconds
    }
    const isCancelled = cancellations.fraction() < options.cancelledJobs
    let answer: ClientAnswer = { status: 0, body: undefined }
    for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts += 1) {
      const { address } = selectEntry(arrival, attempts)
      const sent = client.send({
        method: 'PUT', address, path: `${path}?waitMilliseconds=${ANSWER_WAIT_MILLISECONDS}`, secret, body
      })
      if (isCancelled && attempts === 0) {
        await sleep(FOLLOW_UP_DELAY_MILLISECONDS)
        await client.send({ method: 'DELETE', address, path, secret })
      }
      answer = await sent
      // An unknown outcome (broken connection, 202 or 504) is queried by sending the job again under the same key.
      if (answer.status !== 0 && answer.status !== 202 && answer.status !== 504) break
      await sleep(FOLLOW_UP_DELAY_MILLISECONDS)
    }
    recordJob(arrival, answer, sentAt, isCancelled)
  }

  function recordJob (arrival: Arrival, answer: ClientAnswer, sentAt: number, isCancelled: boolean): void {
    let work = 0
    let longest = 0
    for (const { workMilliseconds } of arrival.items) {
      work += workMilliseconds
      longest = Math.max(longest, workMilliseconds)
    }
    const body = answer.body as SubmissionAnswer | undefined
    const state = isCancelled ? 'cancelled' : jobStateOf(answer)
    const idealMilliseconds = Math.max(longest, work / fleet.capacity)
    const responseMilliseconds = Date.now() - sentAt
    record.jobs.push({ tasks: arrival.items.length, state, responseMilliseconds, idealMilliseconds, sentAt })
    for (const [index, outcome] of (answer.status === 200 ? body?.tasks ?? [] : []).entries()) {
      if (outcome.status !== 'succeeded') continue
      record.completedWork.push({ at: Date.now(), milliseconds: arrival.items[index]!.workMilliseconds })
    }
  }

  function trackRequest (work: Promise<void>): void {
    const tracked = work.finally(() => { openRequests.delete(tracked) })
    openRequests.add(tracked)
  }

  async function generateArrivals (kind: 'call' | 'job'): Promise<void> {
    const workload = workloads[kind]
    const end = performance.now() + options.milliseconds
    for (
      let next = performance.now() + workload.nextGapMilliseconds(kind);
      next < end;
      next += workload.nextGapMilliseconds(kind)
    ) {
      const wait = next - performance.now()
      if (wait > 0) await sleep(wait)
      const arrival = workload.nextArrival(kind)
      record.tasksSent += arrival.items.length
      trackRequest(kind === 'call' ? sendCall(arrival) : submitJob(arrival))
    }
  }

  const streams: Array<Promise<void>> = []
  if (options.urgentShare > 0) streams.push(generateArrivals('call'))
  if (options.urgentShare < 1) streams.push(generateArrivals('job'))
  await Promise.all(streams)
  while (openRequests.size > 0) await Promise.all(openRequests)
  return record
}

function jobStateOf (answer: ClientAnswer): MeasuredJob['state'] {
  if (answer.status === 200) return (answer.body as SubmissionAnswer).state === 'complete' ? 'complete' : 'failed'
  return answer.status === 503 || answer.status === 429 ? 'refused' : 'broken'
}

function callOutcomeOf (answer: ClientAnswer): MeasuredCall['outcome'] {
  if (answer.status === 0) return 'broken'
  const { kind } = answer.body as { kind?: string }
  if (kind === 'not-run') return 'not-run'
  return kind === 'upstream-failed' ? 'failed' : 'outcome-unknown'
}
