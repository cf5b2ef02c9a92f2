/** Workload of three kinds of job with their own routes, whose estimates are off by a factor of the kind. */
import type { Fleet, FleetEntry, FleetJob, JobSubmission } from './create-fleet.js'
import type { StandInTask } from './leased-upstream-options.js'

/** A kind of job. */
export interface JobKind {
  readonly route: string
  /** Share of the jobs. */
  readonly share: number
  readonly priority: number
  readonly taskCount: number
  /** Usual run time of a task on an upstream of speed 1. */
  readonly milliseconds: number
  /** What callers send, as a ratio to the run time. */
  readonly estimateFactor: number
}

/** Short urgent jobs, others and long ones, in the shares of HARD-LOAD.md, with estimates off by up to 40 %. */
export const UNEVEN_KINDS: readonly JobKind[] = [
  { route: 'urgent', share: 0.24, priority: 0, taskCount: 8, milliseconds: 86, estimateFactor: 0.6 },
  { route: 'other', share: 0.72, priority: 1, taskCount: 2, milliseconds: 286, estimateFactor: 1.4 },
  { route: 'long', share: 0.04, priority: 2, taskCount: 4, milliseconds: 1_286, estimateFactor: 1 }
]
/** Size of each task, and the work of a mean job of these kinds in milliseconds on such a size. */
export const UNEVEN_TASK_SIZE = { processor: 5_000, memory: 64, accelerators: 0 }
export const UNEVEN_JOB_MILLISECONDS = UNEVEN_KINDS.reduce(
  (sum, { share, taskCount, milliseconds }) => sum + share * taskCount * milliseconds, 0)
/** How much longer the long tasks of `longTaskShare` take. */
const LONG_TASK_FACTOR = 7
/** Jobs of a kind differ by this share from its usual run time at most, if nothing else is given. */
const USUAL_LENGTH_VARIATION = 0.1
const SEED = 29

export interface UnevenWorkloadOptions {
  /** Jobs a second in all; at an entry and a time, this is multiplied by `rateFactor`. */
  readonly jobsPerSecond: number
  readonly seconds: number
  /** Time from the start whose jobs are not counted: the fleet learns. */
  readonly warmUpSeconds: number
  readonly settleMilliseconds: number
  readonly kinds?: readonly JobKind[]
  /** Share of the tasks that take `LONG_TASK_FACTOR` times their usual time; 0 by default. */
  readonly longTaskShare?: number
  /** Jobs of a kind differ by this share from its usual run time at most. */
  readonly lengthVariation?: number
  /** Estimates are off by this share at most, each job by another factor, beside the factor of the kind. */
  readonly estimateVariation?: number
  /** Tasks of a job differ by this share from its run time at most; 0 by default. */
  readonly taskVariation?: number
  /** Factor, up to `maximumRateFactor`, on the rate of an entry at a time in seconds; 1 by default. */
  readonly rateFactor?: (entry: number, seconds: number) => number
  readonly maximumRateFactor?: number
  readonly advance: (milliseconds: number) => Promise<unknown>
  /** Called before each job, with the time in seconds. */
  readonly onTime?: (seconds: number) => void
}

/** Results of the counted jobs of one kind; jobs with a long task are not counted. */
export interface KindResult {
  jobs: number
  /** Share that was completed within 1.6 times the longest task plus 60 ms. */
  inTime: number
  completed: number
}

export interface UnevenWorkloadResult {
  readonly byRoute: ReadonlyMap<string, KindResult>
  /** Share of all counted jobs that was completed within the objective. */
  readonly inTime: number
  readonly violations: readonly string[]
}

interface SentJob {
  readonly kind: JobKind
  readonly job: FleetJob
  readonly submission: JobSubmission
  readonly sentAt: number
}

function createRandom (): () => number {
  let state = SEED
  return () => {
    state = (state * 16_807) % 2_147_483_647
    return state / 2_147_483_647
  }
}

function drawKind (random: () => number, kinds: readonly JobKind[]): JobKind {
  let draw = random()
  for (const kind of kinds) {
    draw -= kind.share
    if (draw <= 0) return kind
  }
  return kinds[kinds.length - 1] as JobKind
}

/** Returns a factor between 1 - `variation` and 1 + `variation`. */
function vary (random: () => number, variation: number): number {
  return 1 - variation + 2 * variation * random()
}

function createJob (random: () => number, index: number, kind: JobKind, options: UnevenWorkloadOptions): FleetJob {
  const { lengthVariation = USUAL_LENGTH_VARIATION, estimateVariation = 0, taskVariation = 0 } = options
  const milliseconds = kind.milliseconds * vary(random, lengthVariation)
  const estimateMilliseconds = milliseconds * kind.estimateFactor *
    (estimateVariation === 0 ? 1 : vary(random, estimateVariation))
  const factors: Record<number, number> = {}
  for (let task = 0; task < kind.taskCount; task += 1) {
    if (taskVariation > 0) factors[task] = vary(random, taskVariation)
    if (random() < (options.longTaskShare ?? 0)) factors[task] = LONG_TASK_FACTOR
  }
  const standInTask: StandInTask = { milliseconds, size: UNEVEN_TASK_SIZE, factors }
  return {
    id: index.toString(16).padStart(16, '0'),
    route: kind.route,
    standInTask,
    taskCount: kind.taskCount,
    priority: kind.priority,
    estimateMilliseconds
  }
}

function summarize (fleet: Fleet, sent: readonly SentJob[]): UnevenWorkloadResult {
  const byRoute = new Map<string, KindResult>()
  const sum: KindResult = { jobs: 0, inTime: 0, completed: 0 }
  for (const { kind, job, submission, sentAt } of sent) {
    const longestFactor = Math.max(1, ...Object.values(job.standInTask.factors ?? {}))
    if (longestFactor >= LONG_TASK_FACTOR) continue
    const result = byRoute.get(kind.route) ?? { jobs: 0, inTime: 0, completed: 0 }
    byRoute.set(kind.route, result)
    const isCompleted = submission.answer?.kind === 'completed'
    const objective = 1.6 * longestFactor * job.standInTask.milliseconds + 60
    const isInTime = isCompleted && submission.answeredAt - sentAt <= objective
    for (const counted of [result, sum]) {
      counted.jobs += 1
      counted.completed += Number(isCompleted)
      counted.inTime += Number(isInTime)
    }
  }
  for (const result of byRoute.values()) {
    result.inTime /= result.jobs
    result.completed /= result.jobs
  }
  return { byRoute, inTime: sum.inTime / sum.jobs, violations: fleet.runLog.violations }
}

/**
 * Sends jobs at a steady rate, or in waves, and waits for the answers.
 *
 * @example
 * const seconds = { seconds: 3, warmUpSeconds: 1 }
 * await runUnevenWorkload(fleet, { jobsPerSecond: 60, ...seconds, settleMilliseconds: 2_000, advance })
 */
export async function runUnevenWorkload (fleet: Fleet, options: UnevenWorkloadOptions): Promise<UnevenWorkloadResult> {
  const { jobsPerSecond, kinds = UNEVEN_KINDS, maximumRateFactor = 1, advance } = options
  const random = createRandom()
  const sent: SentJob[] = []
  const count = Math.round(jobsPerSecond * maximumRateFactor * options.seconds)
  for (let index = 0; index < count; index += 1) {
    const seconds = index / (jobsPerSecond * maximumRateFactor)
    options.onTime?.(seconds)
    const job = createJob(random, index, drawKind(random, kinds), options)
    const kind = kinds.find(({ route }) => route === job.route)
    const number = Math.floor(fleet.entries.length * random())
    const entry: FleetEntry | undefined = fleet.entries[number]
    const isSent = random() * maximumRateFactor < (options.rateFactor?.(number, seconds) ?? 1)
    if (entry !== undefined && kind !== undefined && isSent) {
      const submission = fleet.send(entry, job)
      if (seconds >= options.warmUpSeconds) sent.push({ kind, job, submission, sentAt: performance.now() })
    }
    await advance(1_000 / (jobsPerSecond * maximumRateFactor))
  }
  await advance(options.settleMilliseconds)
  return summarize(fleet, sent)
}
