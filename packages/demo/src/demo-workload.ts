/**
 * The demo workload: a lending job and a filing job, with urgent counter calls running concurrently, on a fleet that
 * serves both sample deployments.
 */
import { createRandom, createSubmissionKey, PARTITION_COUNT, type SubmissionKey } from '@baobabpost/common'
import { initialPublications, sampleConfiguration, type Publication } from '@baobabpost/configuration'
import type { JsonRecord, SubmissionAnswer, Template } from '@baobabpost/messages'
import type { RunningEntry } from '@baobabpost/entry'
import { send, type CallerAnswer } from './caller.js'
import { callerSecret, OPERATOR_SECRET, type Fleet } from './fleet.js'
import { idealMilliseconds } from './ideal-response-time.js'

const RANDOM_SEED = 20_261_203
const TASKS_PER_JOB = 400
const COUNTER_CALLS = 60
const COUNTER_CALL_INTERVAL_MILLISECONDS = 40
const MINIMUM_WORK_MILLISECONDS = 50
const MAXIMUM_WORK_MILLISECONDS = 400
const PROGRESS_INTERVAL_MILLISECONDS = 500
const RESUBMIT_DELAY_MILLISECONDS = 300

interface JobPlan {
  readonly title: string
  readonly template: string
  readonly customer: string
  readonly service: string
  readonly createInput: (index: number) => JsonRecord
}

/** Result of one job of the demo workload. */
export interface JobReport {
  readonly title: string
  readonly submission: SubmissionKey
  readonly state: string
  readonly taskCount: number
  readonly responseMilliseconds: number
  readonly idealMilliseconds: number
  /** Whether the resubmission through another entry returned the same answer. */
  readonly hasEqualResubmissionAnswer: boolean
}

/** Result of the urgent counter calls; the ratios divide the response time of a call by its ideal response time. */
export interface CounterReport {
  readonly answered: number
  readonly failed: number
  readonly medianRatioToIdeal: number
  readonly worstRatioToIdeal: number
}

/** Result of the demo workload. */
export interface DemoWorkloadReport {
  readonly jobs: readonly JobReport[]
  readonly counter: CounterReport
  readonly messagesPerTask: number
  readonly batchesPerTask: number
  /** Number of tasks that started more than once; must be 0. */
  readonly restartedTasks: number
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

/** Task parameters that control a stand-in upstream. */
const STAND_IN_PARAMETERS = ['workMilliseconds', 'fail']

/** Returns the sample configuration of both deployments; its templates also accept the stand-in's task parameters. */
function samplePublications (): readonly Publication[] {
  const { lending, ledger } = sampleConfiguration()
  const addStandInParameters = (template: Template): Template => ({
    ...template, taskParameters: [...template.taskParameters, ...STAND_IN_PARAMETERS]
  })
  return [lending, ledger].flatMap(deployment => initialPublications({
    ...deployment, templates: deployment.templates.map(addStandInParameters)
  }))
}

/** Publishes the sample configuration through the first entry of a fleet and returns the number of registers. */
export async function publishSampleConfiguration (fleet: Fleet): Promise<number> {
  const [entry] = fleet.entries
  if (entry === undefined) throw new Error('cannot publish the sample configuration: the fleet has no entry')
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

/**
 * Waits until every entry is ready and counts every agent as joined, and until every partition is served by an owner.
 *
 * @throws Error if the fleet is not ready within 20 s.
 */
export async function waitUntilServing (fleet: Fleet): Promise<void> {
  const deadline = Date.now() + 20_000
  while (Date.now() < deadline) {
    const ownedPartitions = fleet.entries.reduce((sum, entry) => sum + entry.core.components.ownership.ownedCount(), 0)
    const isServing = fleet.entries.every(entry => entry.core.state() === 'ready' && entry.core.collectingCount() === 0 &&
      entry.core.joinedAgentCount() === fleet.upstreams.length)
    if (isServing && ownedPartitions === PARTITION_COUNT) return
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  throw new Error('the fleet is not ready after 20 s: some partitions are not served or some agents have not joined')
}

function speedsOf (fleet: Fleet, service: string): number[] {
  return fleet.upstreams.filter(({ plan }) => plan.service === service).map(({ plan }) => plan.speed)
}

async function runJob (fleet: Fleet, plan: JobPlan, jobIndex: number, slots: number): Promise<JobReport> {
  const random = createRandom(RANDOM_SEED + jobIndex)
  const workRange = MAXIMUM_WORK_MILLISECONDS - MINIMUM_WORK_MILLISECONDS
  const taskMilliseconds = Array.from(
    { length: TASKS_PER_JOB }, () => MINIMUM_WORK_MILLISECONDS + random.below(workRange))
  const tasks = taskMilliseconds.map((workMilliseconds, index) => ({ ...plan.createInput(index), workMilliseconds }))
  const submission = createSubmissionKey()
  const submit = (entry: RunningEntry): Promise<CallerAnswer> => send({
    method: 'PUT',
    url: entry.url,
    path: `/v1/submissions/${submission}?waitMilliseconds=120000`,
    secret: callerSecret(plan.customer),
    body: { template: plan.template, customer: plan.customer, tasks }
  })
  const startedAt = performance.now()
  const firstAnswer = submit(fleet.entries[jobIndex % fleet.entries.length]!)
  // Simulates a caller that has lost contact with its entry and submits its job again through another one.
  await new Promise(resolve => setTimeout(resolve, RESUBMIT_DELAY_MILLISECONDS))
  const secondAnswer = submit(fleet.entries[(jobIndex + 1) % fleet.entries.length]!)
  const answer = await firstAnswer
  const body = answer.body as SubmissionAnswer
  const responseMilliseconds = performance.now() - startedAt
  return {
    title: plan.title,
    submission,
    state: body.state ?? JSON.stringify(answer.body),
    taskCount: TASKS_PER_JOB,
    responseMilliseconds,
    hasEqualResubmissionAnswer: JSON.stringify((await secondAnswer).body) === JSON.stringify(answer.body),
    idealMilliseconds: idealMilliseconds({ taskMilliseconds, speeds: speedsOf(fleet, plan.service), slots })
  }
}

async function runCounterCalls (fleet: Fleet): Promise<CounterReport> {
  const random = createRandom(RANDOM_SEED)
  const highestSpeed = Math.max(...speedsOf(fleet, 'lending'))
  const ratios: number[] = []
  let failed = 0
  const calls: Array<Promise<void>> = []
  for (let callIndex = 0; callIndex < COUNTER_CALLS; callIndex += 1) {
    const workMilliseconds = MINIMUM_WORK_MILLISECONDS + random.below(100)
    calls.push(sendCounterCall(fleet, callIndex, workMilliseconds).then(milliseconds => {
      if (milliseconds === undefined) failed += 1
      else ratios.push(milliseconds / (workMilliseconds / highestSpeed))
    }))
    await new Promise(resolve => setTimeout(resolve, COUNTER_CALL_INTERVAL_MILLISECONDS))
  }
  await Promise.all(calls)
  ratios.sort((left, right) => left - right)
  return {
    answered: ratios.length,
    failed,
    medianRatioToIdeal: ratios[Math.floor(ratios.length / 2)] ?? Number.NaN,
    worstRatioToIdeal: ratios.at(-1) ?? Number.NaN
  }
}

/** Sends one counter call; returns its response time in milliseconds, or undefined if it failed. */
async function sendCounterCall (
  fleet: Fleet, callIndex: number, workMilliseconds: number
): Promise<number | undefined> {
  const entry = fleet.entries[callIndex % fleet.entries.length]!
  const startedAt = performance.now()
  const answer = await send({
    method: 'POST',
    url: entry.url,
    path: '/v1/calls',
    secret: callerSecret('medina'),
    body: {
      template: 'reserve-tool',
      customer: 'medina',
      input: { tool: `tool-${callIndex}`, member: `member-${callIndex}`, workMilliseconds }
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

function countRestartedTasks (fleet: Fleet): number {
  const starts = new Map<string, number>()
  for (const { upstream } of fleet.upstreams) {
    for (const [task, count] of upstream.starts()) starts.set(task, (starts.get(task) ?? 0) + count)
  }
  return [...starts.values()].filter(count => count > 1).length
}

/**
 * Runs the demo workload and returns its result.
 *
 * @param slots - Slots of each upstream.
 * @param onProgress - Receives a progress line every 500 ms.
 */
export async function runDemoWorkload (
  fleet: Fleet, slots: number, onProgress: (line: string) => void
): Promise<DemoWorkloadReport> {
  const statisticsBefore = countMessages(fleet)
  const progressTimer = setInterval(() => {
    const running = fleet.upstreams.reduce((sum, { upstream }) => sum + upstream.runningTasks(), 0)
    const started = fleet.upstreams.reduce((sum, { upstream }) => sum + upstream.starts().size, 0)
    onProgress(`${started} tasks started, ${running} running`)
  }, PROGRESS_INTERVAL_MILLISECONDS)
  try {
    const [counter, ...jobs] = await Promise.all([
      runCounterCalls(fleet), ...JOBS.map((plan, jobIndex) => runJob(fleet, plan, jobIndex, slots))
    ])
    const statisticsAfter = countMessages(fleet)
    const taskCount = JOBS.length * TASKS_PER_JOB + COUNTER_CALLS
    return {
      jobs,
      counter,
      messagesPerTask: (statisticsAfter.messages - statisticsBefore.messages) / taskCount,
      batchesPerTask: (statisticsAfter.batches - statisticsBefore.batches) / taskCount,
      restartedTasks: countRestartedTasks(fleet)
    }
  } finally {
    clearInterval(progressTimer)
  }
}
