/** Reports where jobs of a fleet were not served within their objective: by cause, by route and by time. */
import { compareLogLines } from '@baobabpost/common'
import { findLossCause, isServed, LOSS_CAUSES, type LossCause } from './loss-causes.js'
import { jobOf, parseLogLine, type LogStep } from './parse-log-line.js'

/** Number of jobs that are named for a cause. */
const NAMED_JOBS = 3

/** Jobs lost for one cause. */
export interface CauseLoss {
  readonly cause: LossCause
  readonly jobs: number
  /** Share of all lost weight, 0 to 1. */
  readonly share: number
  /** Ids of some of the jobs, for `job explain`. */
  readonly examples: readonly string[]
  /** Of refused jobs: median expected wait beyond their latest start, in milliseconds. */
  readonly medianExcess?: number
  /** Of refused jobs: how many would have found room for all tasks by the free capacity alone. */
  readonly fitting?: number
}

/** Jobs of one route, or of one interval of time. */
export interface GroupLoss {
  /** Name of the route, or seconds since the first job. */
  readonly group: string
  readonly jobs: number
  readonly lost: number
  readonly causes: Partial<Record<LossCause, number>>
}

export interface LossReport {
  readonly jobs: number
  readonly lost: number
  /** Lines that could not be parsed; a cut line is one. */
  readonly malformedLines: number
  /** Lines that processes dropped to bound their volume, where they said so. */
  readonly droppedLines: number
  readonly causes: readonly CauseLoss[]
  readonly routes: readonly GroupLoss[]
  readonly intervals: readonly GroupLoss[]
}

export interface LossReportOptions {
  /** Weight of a job by its route; 1 where none is given. */
  readonly weights?: ReadonlyMap<string, number>
  readonly intervalSeconds: number
}

interface LostJob {
  readonly id: string
  readonly route: string
  readonly cause: LossCause
  readonly steps: readonly LogStep[]
}

interface Group {
  jobs: number
  lost: number
  readonly causes: Partial<Record<LossCause, number>>
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

function routeOf (steps: readonly LogStep[]): string {
  for (const { fields } of steps) if (typeof fields['route'] === 'string') return fields['route']
  return ''
}

/** Returns the median run time of the longest task of the jobs that were served, by route. */
function usualRunsByRoute (stepsByJob: ReadonlyMap<string, readonly LogStep[]>): Map<string, number> {
  const times = new Map<string, number[]>()
  for (const steps of stepsByJob.values()) {
    const answer = steps.findLast(({ event }) => event === 'job answered')
    if (answer === undefined || !isServed(answer)) continue
    const runs = steps.filter(({ event }) => event === 'run ended').map(({ fields }) => Number(fields['milliseconds']))
    if (runs.length === 0) continue
    const route = routeOf(steps)
    times.set(route, [...times.get(route) ?? [], Math.max(...runs)])
  }
  return new Map([...times].map(([route, values]) => [route, median(values)]))
}

function count (groups: Map<string, Group>, name: string, cause: LossCause | undefined): void {
  const group = groups.get(name) ?? { jobs: 0, lost: 0, causes: {} }
  groups.set(name, group)
  group.jobs += 1
  if (cause === undefined) return
  group.lost += 1
  group.causes[cause] = (group.causes[cause] ?? 0) + 1
}

function describeCause (cause: LossCause, jobs: readonly LostJob[], share: number): CauseLoss {
  const refusals = jobs.flatMap(({ steps }) => steps.filter(({ event }) => event === 'job refused: no capacity'))
  const examples = jobs.slice(0, NAMED_JOBS).map(({ id }) => id)
  if (refusals.length === 0) return { cause, jobs: jobs.length, share, examples }
  return {
    cause,
    jobs: jobs.length,
    share,
    examples,
    medianExcess: median(refusals.map(({ fields }) => Number(fields['excess'] ?? 0))),
    fitting: refusals.filter(({ fields }) => Number(fields['fitting']) >= Number(fields['tasks'])).length
  }
}

/** Groups the lines by job, and counts those that can't be used. */
function readSteps (lines: Iterable<string>): {
  stepsByJob: Map<string, LogStep[]>, malformedLines: number, droppedLines: number
} {
  const stepsByJob = new Map<string, LogStep[]>()
  const droppedByVm = new Map<string, number>()
  let malformedLines = 0
  for (const line of lines) {
    if (!line.includes('{')) continue
    const step = parseLogLine(line)
    if (step === undefined) {
      malformedLines += 1
      continue
    }
    if (step.event === 'log lines dropped') {
      droppedByVm.set(step.vm, Number(step.fields['ordinary'] ?? 0) + Number(step.fields['essential'] ?? 0))
    }
    const job = jobOf(step)
    if (job === undefined) continue
    const steps = stepsByJob.get(job) ?? []
    steps.push(step)
    stepsByJob.set(job, steps)
  }
  for (const steps of stepsByJob.values()) steps.sort(compareLogLines)
  const droppedLines = [...droppedByVm.values()].reduce((total, dropped) => total + dropped, 0)
  return { stepsByJob, malformedLines, droppedLines }
}

/**
 * Reports the jobs that were not served within their objective. The causes add up to all of them.
 *
 * @param lines - Log lines of the entries and agents, in any order.
 * @example
 * reportLosses(readLogLines('logs'), { intervalSeconds: 2 }).causes[0] // { cause: 'sent-back', jobs: 41, … }
 */
export function reportLosses (lines: Iterable<string>, options: LossReportOptions): LossReport {
  const { stepsByJob, malformedLines, droppedLines } = readSteps(lines)
  const usualRuns = usualRunsByRoute(stepsByJob)
  const routes = new Map<string, Group>()
  const intervals = new Map<string, Group>()
  const lostByCause = new Map<LossCause, LostJob[]>()
  const weightOf = (route: string): number => options.weights?.get(route) ?? 1
  const submitted = [...stepsByJob].filter(([, steps]) => routeOf(steps) !== '')
  const firstAt = submitted.reduce((earliest, [, steps]) => Math.min(earliest, steps[0]?.at ?? Infinity), Infinity)
  let lostWeight = 0
  for (const [id, steps] of submitted) {
    const route = routeOf(steps)
    const answer = steps.findLast(({ event }) => event === 'job answered')
    const cause = answer !== undefined && isServed(answer)
      ? undefined
      : findLossCause(steps, usualRuns.get(route) ?? 0)
    const seconds = ((steps[0]?.at ?? firstAt) - firstAt) / 1_000
    const start = Math.floor(seconds / options.intervalSeconds) * options.intervalSeconds
    count(routes, route, cause)
    count(intervals, String(start), cause)
    if (cause === undefined) continue
    lostWeight += weightOf(route)
    lostByCause.set(cause, [...lostByCause.get(cause) ?? [], { id, route, cause, steps }])
  }
  const causes: CauseLoss[] = []
  for (const cause of Object.keys(LOSS_CAUSES) as LossCause[]) {
    const jobs = lostByCause.get(cause) ?? []
    if (jobs.length === 0 && cause !== 'unexplained') continue
    const weight = jobs.reduce((total, { route }) => total + weightOf(route), 0)
    causes.push(describeCause(cause, jobs, lostWeight === 0 ? 0 : weight / lostWeight))
  }
  const toList = (groups: Map<string, Group>): GroupLoss[] => [...groups].map(([group, loss]) => ({ group, ...loss }))
  return {
    jobs: submitted.length,
    lost: [...lostByCause.values()].reduce((total, jobs) => total + jobs.length, 0),
    malformedLines,
    droppedLines,
    causes,
    routes: toList(routes).sort((left, right) => left.group.localeCompare(right.group)),
    intervals: toList(intervals).sort((left, right) => Number(left.group) - Number(right.group))
  }
}
