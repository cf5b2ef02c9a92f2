/** What tasks, jobs, agents and customers cost in the decisions of an entry. */
import { canonicalJson, createSubmissionKey, digestOf } from '@baobabpost/common'
import type { JobRequest } from '@baobabpost/messages'
import type { Point } from '../fit-slope.js'
import { heapBytes } from '../measure.js'
import { createProbedEntry, type ProbedEntry, type ProbedFleet } from '../probed-entry.js'
import type { ProbeResult } from '../probe.js'

const AGENTS = 12
const CUSTOMERS = 4
const ALONE = 0
const JOBS = 60
const WARM_UP_TASKS = 4_000
const HEARTBEAT_SECONDS = 10
const STEPS_PER_SECOND = 20
const LONGEST_STEPS = 4_000

function createJob (customer: number, tasks: number): JobRequest {
  return {
    template: 'checkout',
    customer: `customer-${customer}`,
    tasks: Array.from({ length: tasks }, (_, index) => ({ tool: `drill-${index}` }))
  }
}

/** Submits jobs one after the other and runs each to its whole answer. */
function runJobs (entry: ProbedEntry, jobs: number, tasks: number): void {
  for (let place = 0; place < jobs; place += 1) {
    const request = createJob(place % CUSTOMERS, tasks)
    const digest = digestOf(canonicalJson(request))
    const run = { ended: false }
    entry.act(now => {
      entry.core.beginOperation({
        submission: createSubmissionKey(now),
        customer: request.customer,
        operation: { kind: 'submit', request, digest },
        waitUntil: now + 60_000,
        answer: result => {
          if (result.kind !== 'answer' || result.answer.state !== 'complete') throw new Error(JSON.stringify(result).slice(0, 300))
          run.ended = true
        }
      }, now)
    })
    for (let steps = 0; !run.ended; steps += 1) {
      if (steps > LONGEST_STEPS) throw new Error('a job did not end')
      entry.step()
    }
  }
}

/** Cost of the entry while nothing is submitted, in microseconds for each step. */
function idleStepCost (entry: ProbedEntry): number {
  const before = entry.spent()
  for (let step = 0; step < STEPS_PER_SECOND; step += 1) entry.step()
  return (entry.spent() - before) / STEPS_PER_SECOND
}

function measureTasks (entry: ProbedEntry, tasks: number): { time: Point, memory: Point } {
  const idle = idleStepCost(entry)
  const heapBefore = heapBytes()
  const spentBefore = entry.spent()
  const startedAt = entry.now()
  runJobs(entry, JOBS, tasks)
  const steps = (entry.now() - startedAt) / (1_000 / STEPS_PER_SECOND)
  const time = (entry.spent() - spentBefore - steps * idle) / JOBS
  return { time: { size: tasks, cost: time }, memory: { size: tasks, cost: (heapBytes() - heapBefore) / JOBS } }
}

/** What a fleet in which nothing is submitted costs its entry. */
interface IdleCost {
  readonly microsecondsPerSecond: number
  readonly heapBytes: number
  /** Bytes a second of the answers to the heartbeats of agents. */
  readonly agentBytesPerSecond: number
  /** Bytes a second of heartbeats to other entries and of the answers to theirs. */
  readonly entryBytesPerSecond: number
}

async function measureIdle (fleet: ProbedFleet): Promise<IdleCost> {
  // Lets go of the stack, so that what the last measurement made can be collected.
  await new Promise(resolve => { setImmediate(resolve) })
  const heapBefore = heapBytes()
  const entry = createProbedEntry(fleet)
  const heap = heapBytes() - heapBefore
  const bytesOf = (...methods: string[]): number =>
    methods.reduce((sum, method) => sum + (entry.sentBytes().get(method) ?? 0), 0)
  const spentBefore = entry.spent()
  const agentBytesBefore = bytesOf('announced')
  const entryBytesBefore = bytesOf('entryHeartbeat', 'entryHeartbeatAnswer')
  for (let step = 0; step < HEARTBEAT_SECONDS * STEPS_PER_SECOND; step += 1) entry.step()
  return {
    microsecondsPerSecond: (entry.spent() - spentBefore) / HEARTBEAT_SECONDS,
    heapBytes: heap,
    agentBytesPerSecond: (bytesOf('announced') - agentBytesBefore) / HEARTBEAT_SECONDS,
    entryBytesPerSecond: (bytesOf('entryHeartbeat', 'entryHeartbeatAnswer') - entryBytesBefore) / HEARTBEAT_SECONDS
  }
}

/** Measures idle fleets of several sizes. */
async function measureSizes (
  sizes: readonly number[], fleetOf: (size: number) => ProbedFleet
): Promise<(cost: keyof IdleCost) => Point[]> {
  const costs: IdleCost[] = []
  for (const size of sizes) costs.push(await measureIdle(fleetOf(size)))
  return cost => sizes.map((size, place) => ({ size, cost: costs[place]?.[cost] ?? Number.NaN }))
}

/** Measures the entry. The cost for size 0 of `task` is that of the job itself. */
export async function probeEntry (): Promise<readonly ProbeResult[]> {
  const small: ProbedFleet = { agents: AGENTS, customers: CUSTOMERS, peers: ALONE }
  const entry = createProbedEntry(small)
  runJobs(entry, 20, WARM_UP_TASKS / 20)
  const tasks = [1, 20, 100, 200, 400].map(size => measureTasks(entry, size))
  const agents = await measureSizes([500, 1_000, 2_000, 4_000], size => ({ ...small, agents: size }))
  const peers = await measureSizes([2, 4, 8, 16], size => ({ ...small, peers: size }))
  const customers = await measureSizes([1_000, 2_000, 4_000, 8_000], size => ({ ...small, customers: size }))
  const list = peers('agentBytesPerSecond').map(({ size, cost }) => ({ size, cost: cost / AGENTS }))
  return [
    { per: 'task', cost: 'entry: microseconds of decisions (fixed: a job)', points: tasks.map(part => part.time) },
    { per: 'task', cost: 'entry: bytes of memory for the key window (fixed: a job)', points: tasks.map(part => part.memory) },
    { per: 'agent', cost: 'entry: microseconds a second of idle decisions', points: agents('microsecondsPerSecond') },
    { per: 'agent', cost: 'entry: bytes a second of answers to heartbeats', points: agents('agentBytesPerSecond') },
    { per: 'agent', cost: 'entry: bytes of memory', points: agents('heapBytes') },
    { per: 'entry', cost: 'entry: microseconds a second of idle decisions', points: peers('microsecondsPerSecond') },
    { per: 'entry', cost: 'entry: bytes a second of heartbeats to entries', points: peers('entryBytesPerSecond') },
    { per: 'entry', cost: 'entry: bytes a second more to each agent', points: list },
    { per: 'customer', cost: 'entry: microseconds a second of idle decisions', points: customers('microsecondsPerSecond') },
    { per: 'customer', cost: 'entry: bytes of memory', points: customers('heapBytes') }
  ]
}
