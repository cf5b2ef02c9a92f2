/** Counter workload: a seeded sequence of jobs of three kinds, as at a lending counter, and its results. */
import type { Fleet, FleetJob, JobSubmission } from './create-fleet.js'

/** Size of each task of the workload. */
const TASK_SIZE = { processor: 6_200, memory: 64, accelerators: 0 }
const SEED = 17

export interface WorkloadOptions {
  readonly jobsPerSecond: number
  readonly seconds: number
  /** Time to wait for answers after the last job was sent, in milliseconds. */
  readonly settleMilliseconds: number
  /** Advances the time by this number of milliseconds. */
  readonly advance: (milliseconds: number) => Promise<unknown>
}

/** Results of a workload, as shares of its jobs unless stated otherwise. */
export interface WorkloadResult {
  /** Number of jobs sent. */
  readonly jobs: number
  /** Share completed within the objective. */
  readonly inTime: number
  readonly answered: number
  /** Number of refused jobs. */
  readonly refused: number
  readonly violations: readonly string[]
}

interface SentJob {
  readonly submission: JobSubmission
  readonly job: FleetJob
  readonly sentAt: number
}

function createRandom (): () => number {
  let state = SEED
  return () => {
    state = (state * 16_807) % 2_147_483_647
    return state / 2_147_483_647
  }
}

function createJob (random: () => number, index: number): FleetJob {
  const draw = random()
  const [meanMilliseconds, taskCount, priority] = draw < 0.24 ? [86, 8, 0] : draw < 0.29 ? [1_286, 4, 2] : [286, 2, 1]
  const milliseconds = meanMilliseconds * (0.7 + 0.6 * random())
  return {
    id: index.toString(16).padStart(16, '0'),
    standInTask: { milliseconds, size: TASK_SIZE },
    taskCount,
    priority,
    estimateMilliseconds: milliseconds * (0.7 + 0.6 * random())
  }
}

function summarize (fleet: Fleet, sent: readonly SentJob[]): WorkloadResult {
  let inTime = 0
  let refused = 0
  let answered = 0
  for (const { submission, job, sentAt } of sent) {
    if (submission.answer !== undefined) answered += 1
    if (submission.answer?.kind === 'refused') refused += 1
    const objective = 1.6 * job.standInTask.milliseconds + 60
    if (submission.answer?.kind === 'completed' && submission.answeredAt - sentAt <= objective) inTime += 1
  }
  return {
    jobs: sent.length,
    inTime: inTime / sent.length,
    answered: answered / sent.length,
    refused,
    violations: fleet.runLog.violations
  }
}

/**
 * Sends the jobs of the workload at a steady rate and waits for the answers. Entries get more jobs the earlier they are
 * in the fleet's list.
 *
 * @example
 * await runCounterWorkload(fleet, { jobsPerSecond: 110, seconds: 3, settleMilliseconds: 6_000, advance })
 */
export async function runCounterWorkload (fleet: Fleet, options: WorkloadOptions): Promise<WorkloadResult> {
  const random = createRandom()
  const sent: SentJob[] = []
  const count = Math.round(options.jobsPerSecond * options.seconds)
  for (let index = 0; index < count; index += 1) {
    const job = createJob(random, index)
    const entry = fleet.entries[Math.floor(fleet.entries.length * random() ** 1.5)]
    if (entry !== undefined) sent.push({ submission: fleet.send(entry, job), job, sentAt: performance.now() })
    await options.advance(1_000 / options.jobsPerSecond)
  }
  await options.advance(options.settleMilliseconds)
  return summarize(fleet, sent)
}
