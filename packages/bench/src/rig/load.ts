/** Open load on a fleet: seeded arrivals that do not wait for answers, and what became of each. */
import { setTimeout as sleep } from 'node:timers/promises'
import { createSubmissionKey, createRandom } from '@baobabpost/common'
import type { SubmissionAnswer, TaskOutcome } from '@baobabpost/messages'
import { createWorkload, type Arrival, type WorkloadOptions } from '../decision-run/workload.js'
import { type BenchEntry, type BenchFleet, callerSecret } from './fleet.js'
import type { ClientAnswer, HttpClient } from './http-client.js'
import { CUSTOMERS } from './registers.js'

const WAIT_MILLISECONDS = 120_000
const MAXIMUM_TRIES = 30
const AGAIN_MILLISECONDS = 200

/** A finished task or call. */
export interface MeasuredTask {
  readonly urgent: boolean
  readonly outcome: TaskOutcome['status'] | 'broken'
  /** Time from sending to the answer; for a task of a job that of the whole job. */
  readonly responseMilliseconds: number
  /** Run time at the upstream that ran it. */
  readonly ownMilliseconds: number
  /** Run time at the fastest upstream. */
  readonly fastestMilliseconds: number
}

/** A finished job. */
export interface MeasuredJob {
  readonly tasks: number
  readonly state: 'complete' | 'failed' | 'refused' | 'broken' | 'cancelled'
  readonly responseMilliseconds: number
  /** The longest task on the fastest upstream, or the whole work over all slots, whichever is longer. */
  readonly idealMilliseconds: number
  readonly sentAt: number
}

/** What a load records. */
export interface LoadRecord {
  readonly calls: MeasuredTask[]
  readonly jobs: MeasuredJob[]
  /** Work that was answered as done, milliseconds at the fastest upstream, by the time of the answer. */
  readonly doneWork: Array<{ readonly at: number, readonly milliseconds: number }>
  tasksSent: number
}

/** What a load is. */
export interface LoadOptions {
  readonly fleet: BenchFleet
  readonly client: HttpClient
  readonly seed: number
  readonly load: number
  readonly urgentShare: number
  readonly milliseconds: number
  readonly tasksPerJob: WorkloadOptions['tasksPerJob']
  /** Share of the jobs that are cancelled soon after they are sent. */
  readonly cancelledJobs: number
  readonly fastest: number
  readonly deadlineMilliseconds: number
}

interface UpstreamAnswer {
  readonly upstream: string
}

/** Sends one load and waits for every answer. */
export async function runLoad (options: LoadOptions): Promise<LoadRecord> {
  const { fleet, client } = options
  const common = {
    entries: fleet.entries.length,
    customers: CUSTOMERS.length,
    capacity: fleet.capacity,
    load: options.load,
    urgentShare: options.urgentShare,
    tasksPerJob: options.tasksPerJob,
    failingJobs: 0
  }
  // A stream of random numbers for each kind, so that both repeat whatever the timing of the other.
  const workloads = {
    call: createWorkload({ ...common, random: createRandom(options.seed) }),
    job: createWorkload({ ...common, random: createRandom(options.seed + 1_000) })
  }
  const cancellations = createRandom(options.seed + 2_000)
  const speeds = new Map(fleet.upstreams.map(({ name, speed }) => [name, speed]))
  const record: LoadRecord = { calls: [], jobs: [], doneWork: [], tasksSent: 0 }
  const open = new Set<Promise<void>>()

  function ownMilliseconds (work: number, answer: unknown): number {
    const speed = speeds.get((answer as UpstreamAnswer).upstream) ?? options.fastest
    return work * options.fastest / speed
  }

  /** The entry that the balancer gives: a living one, from the arrival's on. */
  function entryFor (arrival: Arrival, tries: number): BenchEntry {
    const living = fleet.entries.filter(entry => !entry.process.ended())
    return living[(arrival.entry + tries) % living.length]!
  }

  async function call (arrival: Arrival): Promise<void> {
    const [item] = arrival.items
    if (item === undefined) return
    const customer = CUSTOMERS[arrival.customer]!
    const began = performance.now()
    const answer = await client.send({
      method: 'POST',
      address: entryFor(arrival, 0).address,
      path: '/v1/calls',
      secret: callerSecret(customer),
      body: {
        template: item.template,
        customer,
        input: { workMilliseconds: item.workMilliseconds * options.fastest },
        deadlineMilliseconds: options.deadlineMilliseconds
      }
    })
    const responseMilliseconds = performance.now() - began
    const succeeded = answer.status === 200
    const fastestMilliseconds = item.workMilliseconds
    const own = succeeded ? ownMilliseconds(fastestMilliseconds, (answer.body as { answer: unknown }).answer) : NaN
    const outcome = succeeded ? 'succeeded' : outcomeOfProblem(answer)
    record.calls.push({ urgent: true, outcome, responseMilliseconds, ownMilliseconds: own, fastestMilliseconds })
    if (succeeded) record.doneWork.push({ at: Date.now(), milliseconds: fastestMilliseconds })
  }

  async function submit (arrival: Arrival): Promise<void> {
    const key = createSubmissionKey()
    const customer = CUSTOMERS[arrival.customer]!
    const secret = callerSecret(customer)
    const sentAt = Date.now()
    const path = `/v1/submissions/${key}`
    const body = {
      template: arrival.items[0]?.template,
      customer,
      tasks: arrival.items.map(item => ({ workMilliseconds: item.workMilliseconds * options.fastest })),
      deadlineMilliseconds: options.deadlineMilliseconds
    }
    const cancelled = cancellations.fraction() < options.cancelledJobs
    let answer: ClientAnswer = { status: 0, body: undefined }
    for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
      const { address } = entryFor(arrival, tries)
      const sent = client.send({
        method: 'PUT', address, path: `${path}?waitMilliseconds=${WAIT_MILLISECONDS}`, secret, body
      })
      if (cancelled && tries === 0) {
        await sleep(AGAIN_MILLISECONDS)
        await client.send({ method: 'DELETE', address, path, secret })
      }
      answer = await sent
      // A broken connection or an unknown outcome is asked about again under the same key.
      if (answer.status !== 0 && answer.status !== 202 && answer.status !== 504) break
      await sleep(AGAIN_MILLISECONDS)
    }
    noteJob(arrival, answer, sentAt, cancelled)
  }

  function noteJob (arrival: Arrival, answer: ClientAnswer, sentAt: number, cancelled: boolean): void {
    let work = 0
    let longest = 0
    for (const { workMilliseconds } of arrival.items) {
      work += workMilliseconds
      longest = Math.max(longest, workMilliseconds)
    }
    const body = answer.body as SubmissionAnswer | undefined
    const state = cancelled ? 'cancelled' : stateOf(answer)
    const idealMilliseconds = Math.max(longest, work / fleet.capacity)
    const responseMilliseconds = Date.now() - sentAt
    record.jobs.push({ tasks: arrival.items.length, state, responseMilliseconds, idealMilliseconds, sentAt })
    for (const [index, outcome] of (answer.status === 200 ? body?.tasks ?? [] : []).entries()) {
      if (outcome.status !== 'succeeded') continue
      record.doneWork.push({ at: Date.now(), milliseconds: arrival.items[index]!.workMilliseconds })
    }
  }

  function track (work: Promise<void>): void {
    const tracked = work.finally(() => { open.delete(tracked) })
    open.add(tracked)
  }

  async function arrive (kind: 'call' | 'job'): Promise<void> {
    const workload = workloads[kind]
    const end = performance.now() + options.milliseconds
    for (let next = performance.now() + workload.gap(kind); next < end; next += workload.gap(kind)) {
      const wait = next - performance.now()
      if (wait > 0) await sleep(wait)
      const arrival = workload.next(kind)
      record.tasksSent += arrival.items.length
      track(kind === 'call' ? call(arrival) : submit(arrival))
    }
  }

  const streams: Array<Promise<void>> = []
  if (options.urgentShare > 0) streams.push(arrive('call'))
  if (options.urgentShare < 1) streams.push(arrive('job'))
  await Promise.all(streams)
  while (open.size > 0) await Promise.all(open)
  return record
}

function stateOf (answer: ClientAnswer): MeasuredJob['state'] {
  if (answer.status === 200) return (answer.body as SubmissionAnswer).state === 'complete' ? 'complete' : 'failed'
  return answer.status === 503 || answer.status === 429 ? 'refused' : 'broken'
}

function outcomeOfProblem (answer: ClientAnswer): MeasuredTask['outcome'] {
  if (answer.status === 0) return 'broken'
  const { kind } = answer.body as { kind?: string }
  if (kind === 'not-run') return 'not-run'
  return kind === 'upstream-failed' ? 'failed' : 'outcome-unknown'
}
