/** Measures what tasks, jobs, agents, other entries and customers cost an entry, without sockets. */
import { canonicalJson, createSubmissionKey, digestOf } from '@baobabpost/common'
import type { JobRequest } from '@baobabpost/messages'
import type { CostPoint } from '../fit-slope.js'
import { measureHeapBytes } from '../measure.js'
import { createProbedEntry, type ProbedEntry, type ProbedFleet } from '../probed-entry.js'
import type { ProbeResult } from '../probe.js'

const AGENTS = 12
const CUSTOMERS = 4
const NO_PEERS = 0
const JOBS = 60
const WARM_UP_TASKS = 4_000
const HEARTBEAT_SECONDS = 10
const STEPS_PER_SECOND = 20
const MAXIMUM_STEPS_PER_JOB = 4_000

function createJob (customer: number, tasks: number): JobRequest {
  return {
    template: 'checkout',
    customer: `customer-${customer}`,
    tasks: Array.from({ length: tasks }, (_, index) => ({ tool: `drill-${index}` }))
  }
}

/** Submits jobs one after the other and runs each until its answer is complete. */
function runJobs (entry: ProbedEntry, jobs: number, tasks: number): void {
  for (let jobNumber = 0; jobNumber < jobs; jobNumber += 1) {
    const request = createJob(jobNumber % CUSTOMERS, tasks)
    const digest = digestOf(canonicalJson(request))
    const job = { isComplete: false }
    entry.measure(now => {
      entry.core.beginOperation({
        submission: createSubmissionKey(now),
        customer: request.customer,
        operation: { kind: 'submit', request, digest },
        waitUntil: now + 60_000,
        answer: result => {
          if (result.kind !== 'answer' || result.answer.state !== 'complete') throw new Error(JSON.stringify(result).slice(0, 300))
          job.isComplete = true
        }
      }, now)
    })
    for (let steps = 0; !job.isComplete; steps += 1) {
      if (steps > MAXIMUM_STEPS_PER_JOB) throw new Error(`a job of ${tasks} tasks was not complete after ${MAXIMUM_STEPS_PER_JOB} steps`)
      entry.advance()
    }
  }
}

/** Measures the time of one step of an idle entry, in microseconds. */
function measureIdleStep (entry: ProbedEntry): number {
  const before = entry.decisionMicroseconds()
  for (let step = 0; step < STEPS_PER_SECOND; step += 1) entry.advance()
  return (entry.decisionMicroseconds() - before) / STEPS_PER_SECOND
}

function measureTasks (entry: ProbedEntry, tasks: number): { time: CostPoint, memory: CostPoint } {
  const idleMicrosecondsPerStep = measureIdleStep(entry)
  const heapBefore = measureHeapBytes()
  const microsecondsBefore = entry.decisionMicroseconds()
  const startedAt = entry.now()
  runJobs(entry, JOBS, tasks)
  const steps = (entry.now() - startedAt) / (1_000 / STEPS_PER_SECOND)
  const time = (entry.decisionMicroseconds() - microsecondsBefore - steps * idleMicrosecondsPerStep) / JOBS
  return { time: { size: tasks, cost: time }, memory: { size: tasks, cost: (measureHeapBytes() - heapBefore) / JOBS } }
}

/** Cost of an idle fleet at its entry. */
interface IdleCost {
  readonly microsecondsPerSecond: number
  readonly heapBytes: number
  /** Bytes per second of answers to the heartbeats of agents. */
  readonly agentBytesPerSecond: number
  /** Bytes per second of heartbeats to other entries and of answers to their heartbeats. */
  readonly entryBytesPerSecond: number
}

async function measureIdle (fleet: ProbedFleet): Promise<IdleCost> {
  // Clears the call stack so that objects of the previous measurement can be garbage-collected.
  await new Promise(resolve => { setImmediate(resolve) })
  const heapBefore = measureHeapBytes()
  const entry = createProbedEntry(fleet)
  const heap = measureHeapBytes() - heapBefore
  const sentBytesOf = (...methods: string[]): number =>
    methods.reduce((sum, method) => sum + (entry.sentBytes().get(method) ?? 0), 0)
  const microsecondsBefore = entry.decisionMicroseconds()
  const agentBytesBefore = sentBytesOf('announced')
  const entryBytesBefore = sentBytesOf('entryHeartbeat', 'entryHeartbeatAnswer')
  for (let step = 0; step < HEARTBEAT_SECONDS * STEPS_PER_SECOND; step += 1) entry.advance()
  return {
    microsecondsPerSecond: (entry.decisionMicroseconds() - microsecondsBefore) / HEARTBEAT_SECONDS,
    heapBytes: heap,
    agentBytesPerSecond: (sentBytesOf('announced') - agentBytesBefore) / HEARTBEAT_SECONDS,
    entryBytesPerSecond: (sentBytesOf('entryHeartbeat', 'entryHeartbeatAnswer') - entryBytesBefore) / HEARTBEAT_SECONDS
  }
}

/** Measures idle fleets of several sizes and returns a function that selects the points of one cost. */
async function measureSizes (
  sizes: readonly number[], fleetOf: (size: number) => ProbedFleet
): Promise<(cost: keyof IdleCost) => CostPoint[]> {
  const costs: IdleCost[] = []
  for (const size of sizes) costs.push(await measureIdle(fleetOf(size)))
  return cost => sizes.map((size, index) => ({ size, cost: costs[index]?.[cost] ?? Number.NaN }))
}

/** Measures the entry. The cost of `task` at size 0 is the cost of a job without its tasks. */
export async function probeEntry (): Promise<readonly ProbeResult[]> {
  const smallFleet: ProbedFleet = { agents: AGENTS, customers: CUSTOMERS, peers: NO_PEERS }
  const entry = createProbedEntry(smallFleet)
  runJobs(entry, 20, WARM_UP_TASKS / 20)
  const tasks = [1, 20, 100, 200, 400].map(size => measureTasks(entry, size))
  const agents = await measureSizes([500, 1_000, 2_000, 4_000], size => ({ ...smallFleet, agents: size }))
  const peers = await measureSizes([2, 4, 8, 16], size => ({ ...smallFleet, peers: size }))
  const customers = await measureSizes([1_000, 2_000, 4_000, 8_000], size => ({ ...smallFleet, customers: size }))
  const answerBytesPerAgent = peers('agentBytesPerSecond').map(({ size, cost }) => ({ size, cost: cost / AGENTS }))
  return [
    { per: 'task', cost: 'entry: microseconds of decisions (fixed: a job)', points: tasks.map(result => result.time) },
    { per: 'task', cost: 'entry: bytes of memory for the key window (fixed: a job)', points: tasks.map(result => result.memory) },
    { per: 'agent', cost: 'entry: microseconds a second of idle decisions', points: agents('microsecondsPerSecond') },
    { per: 'agent', cost: 'entry: bytes a second of answers to heartbeats', points: agents('agentBytesPerSecond') },
    { per: 'agent', cost: 'entry: bytes of memory', points: agents('heapBytes') },
    { per: 'entry', cost: 'entry: microseconds a second of idle decisions', points: peers('microsecondsPerSecond') },
    { per: 'entry', cost: 'entry: bytes a second of heartbeats to entries', points: peers('entryBytesPerSecond') },
    { per: 'entry', cost: 'entry: bytes a second more to each agent', points: answerBytesPerAgent },
    { per: 'customer', cost: 'entry: microseconds a second of idle decisions', points: customers('microsecondsPerSecond') },
    { per: 'customer', cost: 'entry: bytes of memory', points: customers('heapBytes') }
  ]
}
