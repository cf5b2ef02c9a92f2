/** A seeded load of jobs of three kinds, as on the lending desk, and what its callers got. */
import type { Fleet, FleetJob, JobSubmission } from './create-fleet.js'

/** Room that a task of the desk takes. */
const TASK_SIZE = { processor: 6_200, memory: 64, accelerators: 0 }
const SEED = 17

/** What a load is. */
export interface WorkloadOptions {
  readonly jobsPerSecond: number
  readonly seconds: number
  /** Time for the answers after the last job, in milliseconds. */
  readonly settleMilliseconds: number
  /** Lets the time go by. */
  readonly advance: (milliseconds: number) => Promise<unknown>
}

/** What callers got, as shares of their jobs. */
export interface WorkloadResult {
  readonly jobs: number
  /** Share that was done within its objective. */
  readonly inTime: number
  readonly answered: number
  /** Jobs, not a share. */
  readonly refused: number
  readonly violations: readonly string[]
}

interface SentJob {
  readonly sending: JobSubmission
  readonly job: FleetJob
  readonly at: number
}

function createRandom (): () => number {
  let seed = SEED
  return () => {
    seed = (seed * 16_807) % 2_147_483_647
    return seed / 2_147_483_647
  }
}

function createJob (random: () => number, number: number): FleetJob {
  const kind = random()
  const [base, tasks, priority] = kind < 0.24 ? [86, 8, 0] : kind < 0.29 ? [1_286, 4, 2] : [286, 2, 1]
  const milliseconds = base * (0.7 + 0.6 * random())
  return {
    id: number.toString(16).padStart(16, '0'),
    work: { milliseconds, size: TASK_SIZE },
    taskCount: tasks,
    priority,
    estimateMilliseconds: milliseconds * (0.7 + 0.6 * random())
  }
}

function judge (fleet: Fleet, sent: readonly SentJob[]): WorkloadResult {
  let inTime = 0
  let refused = 0
  let answered = 0
  for (const { sending, job, at } of sent) {
    if (sending.answer !== undefined) answered += 1
    if (sending.answer?.kind === 'refused') refused += 1
    const objective = 1.6 * job.work.milliseconds + 60
    if (sending.answer?.kind === 'completed' && sending.answeredAt - at <= objective) inTime += 1
  }
  return {
    jobs: sent.length,
    inTime: inTime / sent.length,
    answered: answered / sent.length,
    refused,
    violations: fleet.ledger.violations
  }
}

/**
 * Plays the load; the first entries get more than the last.
 *
 * @example
 * await playDeskLoad(fleet, { jobsPerSecond: 110, seconds: 3, settleMilliseconds: 6_000, advance })
 */
export async function runCounterWorkload (fleet: Fleet, options: WorkloadOptions): Promise<WorkloadResult> {
  const random = createRandom()
  const sent: SentJob[] = []
  const count = Math.round(options.jobsPerSecond * options.seconds)
  for (let number = 0; number < count; number += 1) {
    const job = createJob(random, number)
    const entry = fleet.entries[Math.floor(fleet.entries.length * random() ** 1.5)]
    if (entry !== undefined) sent.push({ sending: fleet.send(entry, job), job, at: performance.now() })
    await options.advance(1_000 / options.jobsPerSecond)
  }
  await options.advance(options.settleMilliseconds)
  return judge(fleet, sent)
}
