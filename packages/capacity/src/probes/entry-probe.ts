/** What tasks, jobs, agents and customers cost in the decisions of an entry. */
import { canonicalJson, createSubmissionKey, digestOf } from '@baobabpost/common'
import type { JobRequest } from '@baobabpost/messages'
import type { Point } from '../fit-slope.js'
import { heapBytes } from '../measure.js'
import { createProbedEntry, type ProbedEntry, type ProbedFleet } from '../probed-entry.js'
import type { ProbeResult } from '../probe.js'

const AGENTS = 12
const CUSTOMERS = 4
const JOBS = 60
const WARM_UP_TASKS = 4_000
const HEARTBEAT_SECONDS = 20
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

/** Microseconds and bytes a second of a fleet in which nothing is submitted. */
function measureIdle (fleet: ProbedFleet): { time: number, memory: number, bytes: number } {
  const heapBefore = heapBytes()
  const entry = createProbedEntry(fleet)
  const memory = heapBytes() - heapBefore
  const sumOf = (): number => [...entry.sentBytes().values()].reduce((sum, bytes) => sum + bytes, 0)
  const spentBefore = entry.spent()
  const bytesBefore = sumOf()
  for (let step = 0; step < HEARTBEAT_SECONDS * STEPS_PER_SECOND; step += 1) entry.step()
  return {
    time: (entry.spent() - spentBefore) / HEARTBEAT_SECONDS, memory, bytes: (sumOf() - bytesBefore) / HEARTBEAT_SECONDS
  }
}

/** Measures the entry. The cost for size 0 of `task` is that of the job itself. */
export function probeEntry (): Promise<readonly ProbeResult[]> {
  const entry = createProbedEntry({ agents: AGENTS, customers: CUSTOMERS })
  runJobs(entry, 20, WARM_UP_TASKS / 20)
  const tasks = [1, 20, 100, 200, 400].map(size => measureTasks(entry, size))
  const agentSizes = [25, 50, 100, 200]
  const agents = agentSizes.map(size => measureIdle({ agents: size, customers: CUSTOMERS }))
  const customerSizes = [100, 200, 400, 800]
  const customers = customerSizes.map(size => measureIdle({ agents: AGENTS, customers: size }))
  const pointsOf = (sizes: readonly number[], costs: readonly number[]): Point[] =>
    sizes.map((size, place) => ({ size, cost: costs[place] ?? Number.NaN }))
  return Promise.resolve([
    { per: 'task', cost: 'entry: microseconds of decisions (fixed: a job)', points: tasks.map(part => part.time) },
    { per: 'task', cost: 'entry: bytes of memory for the key window (fixed: a job)', points: tasks.map(part => part.memory) },
    { per: 'agent', cost: 'entry: microseconds a second while idle', points: pointsOf(agentSizes, agents.map(it => it.time)) },
    { per: 'agent', cost: 'entry: bytes a second sent while idle', points: pointsOf(agentSizes, agents.map(it => it.bytes)) },
    { per: 'agent', cost: 'entry: bytes of memory', points: pointsOf(agentSizes, agents.map(it => it.memory)) },
    { per: 'customer', cost: 'entry: microseconds a second while idle', points: pointsOf(customerSizes, customers.map(it => it.time)) },
    { per: 'customer', cost: 'entry: bytes of memory', points: pointsOf(customerSizes, customers.map(it => it.memory)) }
  ])
}
