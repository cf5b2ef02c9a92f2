/** Loads of three kinds of job on a fleet, with bursts, and their results by kind, failure domain and size. */
import { createRandom } from '@baobabpost/common'
import type { Fleet, FleetEntry, JobSubmission } from './create-fleet.js'

/** The kinds of job of the first customer, with their share of the jobs. */
const KINDS = [
  { milliseconds: 86, taskCount: 8, priority: 0, share: 144 / 591 },
  { milliseconds: 1_286, taskCount: 4, priority: 2, share: 26 / 591 },
  { milliseconds: 286, taskCount: 2, priority: 1, share: 421 / 591 }
] as const
const TASK_CORES = 5
/** Sizes of tasks and estimates of callers differ by these shares in both directions. */
const SIZE_SPREAD = 0.5
const ESTIMATE_SPREAD = 0.1
const MAXIMUM_WAIT_MILLISECONDS = 1_515
const SEED = 17

/** A load; the factors multiply the usual rate of a part of the jobs. */
export interface ContendedLoad {
  /** Usual load, as a share of the capacity of the fleet. */
  readonly share: number
  readonly kindFactors?: readonly number[]
  readonly domainFactors?: readonly number[]
  /** Multiplies the rate of jobs whose tasks are larger than 1.25 times the usual ones. */
  readonly largeFactor?: number
  readonly seconds: number
  /** Advances the time by this number of milliseconds. */
  readonly advance: (milliseconds: number) => Promise<unknown>
}

/** Shares of the jobs that were completed within their objective. */
export interface ContendedResult {
  readonly jobs: number
  readonly inTime: number
  readonly kinds: readonly number[]
  readonly domains: readonly number[]
  /** Share of the largest tenth of each kind, as a multiple of the share of their kinds. */
  readonly largestTenth: number
  /** The same for the fifth below the largest tenth. */
  readonly nextFifth: number
  /** Longest time from the arrival of a job to an answer that is no completion, as a multiple of its objective. */
  readonly latestFailure: number
  readonly unanswered: number
}

interface SentJob {
  readonly submission: JobSubmission
  readonly kind: number
  readonly domain: number
  readonly cores: number
  readonly objective: number
  readonly sentAt: number
}

function isInTime ({ submission, objective, sentAt }: SentJob): boolean {
  return submission.answer?.kind === 'completed' && submission.answeredAt - sentAt <= objective
}

function shareInTime (sent: readonly SentJob[]): number {
  return sent.length === 0 ? 1 : sent.filter(isInTime).length / sent.length
}

/**
 * Returns how often the jobs from one rank by size to another are in time, as a multiple of what it would be if each
 * was in time as often as its kind.
 */
function relativeBySize (sent: readonly SentJob[], from: number, to: number): number {
  let inTime = 0
  let expected = 0
  for (const kind of KINDS.keys()) {
    const ofKind = sent.filter(job => job.kind === kind).sort((left, right) => right.cores - left.cores)
    const ranked = ofKind.slice(Math.floor(from * ofKind.length), Math.floor(to * ofKind.length))
    inTime += ranked.filter(isInTime).length
    expected += ranked.length * shareInTime(ofKind)
  }
  return expected === 0 ? 1 : inTime / expected
}

function summarize (sent: readonly SentJob[], domainCount: number): ContendedResult {
  const failures = sent.filter(({ submission: { answer } }) => answer !== undefined && answer.kind !== 'completed')
  return {
    jobs: sent.length,
    inTime: shareInTime(sent),
    kinds: [...KINDS.keys()].map(kind => shareInTime(sent.filter(job => job.kind === kind))),
    domains: Array.from({ length: domainCount }, (_, domain) => shareInTime(sent.filter(job => job.domain === domain))),
    largestTenth: relativeBySize(sent, 0, 0.1),
    nextFifth: relativeBySize(sent, 0.1, 0.3),
    latestFailure: Math.max(0, ...failures.map(job => (job.submission.answeredAt - job.sentAt) / job.objective)),
    unanswered: sent.filter(({ submission }) => submission.answer === undefined).length
  }
}

/**
 * Sends a load to the entries of a fleet, one entry for each failure domain, and waits for the answers.
 *
 * @param cores - Capacity of the fleet.
 * @example
 * await runContendedWorkload(fleet, 576, { share: 0.7, kindFactors: [4, 1, 1], seconds: 2, advance })
 */
export async function runContendedWorkload (
  fleet: Fleet, cores: number, load: ContendedLoad
): Promise<ContendedResult> {
  const random = createRandom(SEED)
  const draw = (): number => random.below(1_000_000) / 1_000_000
  let coreMillisecondsPerJob = 0
  for (const kind of KINDS) coreMillisecondsPerJob += kind.share * kind.taskCount * kind.milliseconds * TASK_CORES
  const usualGap = coreMillisecondsPerJob / (load.share * cores)
  const sent: SentJob[] = []
  const endsAt = performance.now() + 1_000 * load.seconds

  function send (entry: FleetEntry, domain: number, kind: number, sizeFactor: number): void {
    const { milliseconds, taskCount, priority } = KINDS[kind] as (typeof KINDS)[number]
    const runMilliseconds = milliseconds * (0.8 + 0.4 * draw())
    const estimateMilliseconds = runMilliseconds * (1 - ESTIMATE_SPREAD + 2 * ESTIMATE_SPREAD * draw())
    const size = { processor: Math.round(1_000 * TASK_CORES * sizeFactor), memory: 64, accelerators: 0 }
    const submission = fleet.send(entry, {
      id: (sent.length + 1).toString(16).padStart(16, '0'),
      route: `route-${kind}`,
      standInTask: { milliseconds: runMilliseconds, size },
      taskCount,
      priority,
      estimateMilliseconds,
      deadlineMilliseconds: Math.max(MAXIMUM_WAIT_MILLISECONDS, 1.6 * runMilliseconds + 400)
    })
    const objective = 1.6 * estimateMilliseconds + 60
    sent.push({ submission, kind, domain, cores: sizeFactor, objective, sentAt: performance.now() })
  }

  // Each job draws its kind, domain and size; the factors of these decide how many of it are sent.
  while (performance.now() < endsAt) {
    const kindDraw = draw()
    const kind = kindDraw < KINDS[0].share ? 0 : kindDraw < KINDS[0].share + KINDS[1].share ? 1 : 2
    const domain = random.below(fleet.entries.length)
    const sizeFactor = 1 - SIZE_SPREAD + 2 * SIZE_SPREAD * draw()
    const factor = (load.kindFactors?.[kind] ?? 1) * (load.domainFactors?.[domain] ?? 1) *
      (sizeFactor > 1.25 ? load.largeFactor ?? 1 : 1)
    const count = Math.floor(factor) + (draw() < factor % 1 ? 1 : 0)
    for (let copy = 0; copy < count; copy += 1) {
      send(fleet.entries[domain] as FleetEntry, domain, kind, sizeFactor)
      await load.advance(usualGap / count)
    }
    if (count === 0) await load.advance(usualGap)
  }
  await load.advance(4_000)
  return summarize(sent, fleet.entries.length)
}
