/** The main job: a lending job and a filing job with urgent counter requests beside them, on a fleet of both users. */
import { createRandom, createSubmissionKey, PARTITION_COUNT, type SubmissionKey } from '@baobabpost/common'
import { initialPublications, sampleConfiguration, type Publication } from '@baobabpost/configuration'
import type { JsonRecord, SubmissionAnswer, Template } from '@baobabpost/messages'
import type { RunningEntry } from '@baobabpost/entry'
import { send, type CallerAnswer } from './caller.js'
import { callerSecret, OPERATOR_SECRET, type Fleet } from './fleet.js'
import { idealMilliseconds } from './ideal-response-time.js'

const SEED = 20_261_203
const JOB_TASKS = 400
const COUNTER_CALLS = 60
const COUNTER_PAUSE_MILLISECONDS = 40
const SHORTEST_WORK_MILLISECONDS = 50
const LONGEST_WORK_MILLISECONDS = 400
const PROGRESS_MILLISECONDS = 500
const RESUBMIT_MILLISECONDS = 300

/** A job of the main job. */
interface JobPlan {
  readonly title: string
  readonly template: string
  readonly customer: string
  readonly service: string
  readonly createInput: (index: number) => JsonRecord
}

/** One line of the report of the main job. */
export interface JobReport {
  readonly title: string
  readonly submission: SubmissionKey
  readonly state: string
  readonly taskCount: number
  readonly responseMilliseconds: number
  readonly idealMilliseconds: number
  /** Whether the resubmission through another entry gave the same answer. */
  readonly resubmissionJoined: boolean
}

/** Report of the urgent requests. */
export interface CounterReport {
  readonly answered: number
  readonly failed: number
  readonly medianOverIdeal: number
  readonly worstOverIdeal: number
}

/** Report of the main job. */
export interface DemoWorkloadReport {
  readonly jobs: readonly JobReport[]
  readonly counter: CounterReport
  readonly messagesPerTask: number
  readonly batchesPerTask: number
  /** Tasks that started more than once: must be 0. */
  readonly startedTwice: number
}

const JOBS: readonly JobPlan[] = [
  {
    title: 'Teranga: evening return of tools',
    template: 'return-tool',
    customer: 'medina',
    service: 'lending',
    createInput: index => ({ tool: `tool-${index}`, member: `member-${index % 40}` })
  },
  {
    title: 'Kaasik & Tamm: VAT returns',
    template: 'file-vat-return',
    customer: 'kalamaja',
    service: 'ledger',
    createInput: index => ({ period: '2026-11', company: `company-${index}` })
  }
]

/** Parameters by which a task tells a stand-in upstream what to do. */
const STAND_IN_PARAMETERS = ['workMilliseconds', 'fail']

/** The sample configuration of both deployments, with templates that let a task steer its stand-in upstream. */
function samplePublications (): readonly Publication[] {
  const { lending, ledger } = sampleConfiguration()
  const openTemplate = (template: Template): Template => ({
    ...template, taskParameters: [...template.taskParameters, ...STAND_IN_PARAMETERS]
  })
  return [lending, ledger].flatMap(deployment => initialPublications({
    ...deployment, templates: deployment.templates.map(openTemplate)
  }))
}

/** Publishes the sample configuration through the first entry of a fleet. */
export async function publishSampleConfiguration (fleet: Fleet): Promise<number> {
  const [entry] = fleet.entries
  if (entry === undefined) throw new Error('a fleet has an entry')
  return await publishSampleConfigurationThrough(entry.url)
}

/**
 * Publishes the sample configuration through the entry at a URL.
 *
 * @returns The number of registers.
 */
export async function publishSampleConfigurationThrough (url: string): Promise<number> {
  const samples = samplePublications()
  for (const { register, value, replaces } of samples) {
    const answer = await send({
      method: 'PUT',
      url,
      path: `/v1/configuration/${register}`,
      secret: OPERATOR_SECRET,
      body: { replaces, value }
    })
    if (answer.status !== 200) throw new Error(`publishing ${register} failed: ${JSON.stringify(answer.body)}`)
  }
  return samples.length
}

/** Waits until every entry is ready, knows the agents, and every partition is served. */
export async function waitUntilServing (fleet: Fleet): Promise<void> {
  const giveUpAt = Date.now() + 20_000
  while (Date.now() < giveUpAt) {
    const owned = fleet.entries.reduce((sum, entry) => sum + entry.core.components.ownership.ownedCount(), 0)
    const isServing = fleet.entries.every(entry => entry.core.state() === 'ready' && entry.core.collectingCount() === 0 &&
      entry.core.joinedAgentCount() === fleet.upstreams.length)
    if (isServing && owned === PARTITION_COUNT) return
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  throw new Error('the fleet did not come to serve every partition')
}

function speedsOf (fleet: Fleet, service: string): number[] {
  return fleet.upstreams.filter(({ plan }) => plan.service === service).map(({ plan }) => plan.speed)
}

async function runJob (fleet: Fleet, plan: JobPlan, place: number, slots: number): Promise<JobReport> {
  const random = createRandom(SEED + place)
  const spread = LONGEST_WORK_MILLISECONDS - SHORTEST_WORK_MILLISECONDS
  const works = Array.from({ length: JOB_TASKS }, () => SHORTEST_WORK_MILLISECONDS + random.below(spread))
  const tasks = works.map((workMilliseconds, index) => ({ ...plan.createInput(index), workMilliseconds }))
  const submission = createSubmissionKey()
  const submit = (entry: RunningEntry): Promise<CallerAnswer> => send({
    method: 'PUT',
    url: entry.url,
    path: `/v1/submissions/${submission}?waitMilliseconds=120000`,
    secret: callerSecret(plan.customer),
    body: { template: plan.template, customer: plan.customer, tasks }
  })
  const startedAt = performance.now()
  const first = submit(fleet.entries[place % fleet.entries.length]!)
  // The caller believes its job lost and submits it again, through another entry.
  await new Promise(resolve => setTimeout(resolve, RESUBMIT_MILLISECONDS))
  const second = submit(fleet.entries[(place + 1) % fleet.entries.length]!)
  const answer = await first
  const body = answer.body as SubmissionAnswer
  const responseMilliseconds = performance.now() - startedAt
  return {
    title: plan.title,
    submission,
    state: body.state ?? JSON.stringify(answer.body),
    taskCount: JOB_TASKS,
    responseMilliseconds,
    resubmissionJoined: JSON.stringify((await second).body) === JSON.stringify(answer.body),
    idealMilliseconds: idealMilliseconds({ works, speeds: speedsOf(fleet, plan.service), slots })
  }
}

async function runCounter (fleet: Fleet): Promise<CounterReport> {
  const random = createRandom(SEED)
  const fastest = Math.max(...speedsOf(fleet, 'lending'))
  const ratios: number[] = []
  let failed = 0
  const calls: Array<Promise<void>> = []
  for (let count = 0; count < COUNTER_CALLS; count += 1) {
    const workMilliseconds = SHORTEST_WORK_MILLISECONDS + random.below(100)
    calls.push(callCounter(fleet, count, workMilliseconds).then(milliseconds => {
      if (milliseconds === undefined) failed += 1
      else ratios.push(milliseconds / (workMilliseconds / fastest))
    }))
    await new Promise(resolve => setTimeout(resolve, COUNTER_PAUSE_MILLISECONDS))
  }
  await Promise.all(calls)
  ratios.sort((left, right) => left - right)
  return {
    answered: ratios.length,
    failed,
    medianOverIdeal: ratios[Math.floor(ratios.length / 2)] ?? Number.NaN,
    worstOverIdeal: ratios.at(-1) ?? Number.NaN
  }
}

async function callCounter (fleet: Fleet, count: number, workMilliseconds: number): Promise<number | undefined> {
  const entry = fleet.entries[count % fleet.entries.length]!
  const startedAt = performance.now()
  const answer = await send({
    method: 'POST',
    url: entry.url,
    path: '/v1/calls',
    secret: callerSecret('medina'),
    body: {
      template: 'reserve-tool',
      customer: 'medina',
      input: { tool: `tool-${count}`, member: `member-${count}`, workMilliseconds }
    }
  })
  return answer.status === 200 ? performance.now() - startedAt : undefined
}

function countMessages (fleet: Fleet): { messages: number, batches: number } {
  const statistics = [
    ...fleet.entries.map(entry => entry.linkStatistics()),
    ...fleet.upstreams.map(({ agent }) => agent.linkStatistics())
  ]
  return {
    messages: statistics.reduce((sum, { messages }) => sum + messages, 0),
    batches: statistics.reduce((sum, { batches }) => sum + batches, 0)
  }
}

function countStartedTwice (fleet: Fleet): number {
  const starts = new Map<string, number>()
  for (const { upstream } of fleet.upstreams) {
    for (const [task, count] of upstream.starts()) starts.set(task, (starts.get(task) ?? 0) + count)
  }
  return [...starts.values()].filter(count => count > 1).length
}

/**
 * Runs the main job and tells how it went.
 *
 * @param slots - Slots of each upstream.
 * @param tell - Receives a line of progress from time to time.
 */
export async function runDemoWorkload (fleet: Fleet, slots: number, tell: (line: string) => void): Promise<DemoWorkloadReport> {
  const before = countMessages(fleet)
  const progress = setInterval(() => {
    const running = fleet.upstreams.reduce((sum, { upstream }) => sum + upstream.runningTasks(), 0)
    const started = fleet.upstreams.reduce((sum, { upstream }) => sum + upstream.starts().size, 0)
    tell(`${started} tasks started, ${running} running`)
  }, PROGRESS_MILLISECONDS)
  try {
    const [counter, ...jobs] = await Promise.all([
      runCounter(fleet), ...JOBS.map((plan, place) => runJob(fleet, plan, place, slots))
    ])
    const after = countMessages(fleet)
    const tasks = JOBS.length * JOB_TASKS + COUNTER_CALLS
    return {
      jobs,
      counter,
      messagesPerTask: (after.messages - before.messages) / tasks,
      batchesPerTask: (after.batches - before.batches) / tasks,
      startedTwice: countStartedTwice(fleet)
    }
  } finally {
    clearInterval(progress)
  }
}
