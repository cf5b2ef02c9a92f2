/** Counts answered requests against the objectives, in buckets of a minute. */
import type { EntryIdentity, ErrorKind } from '@baobabpost/common'
import type { BurnBucket, BurnSeries, Objective } from '@baobabpost/messages'
import type { Histogram } from 'hdr-histogram-js'
import { floorTo, MINUTE_MILLISECONDS } from './periods.js'
import { createResponseHistogram, encodeHistogram, recordResponse } from './response-histogram.js'
import { createBudgetConsumerCounts, type BudgetConsumerCounts } from './budget-consumer-counts.js'

/** An answer to a caller: of a job or of a single call. */
export interface AnsweredRequest {
  readonly service: string
  readonly customer: string
  /** Time from arrival to answer, in milliseconds. */
  readonly responseMilliseconds: number
  /** Kind of the error, where the answer is one. */
  readonly errorKind?: ErrorKind
  /** Agent whose upstream had the deciding part in the answer, where one had. */
  readonly upstream?: string
}

/** Settings of a recorder. */
export interface BurnRecorderOptions {
  readonly entry: EntryIdentity
  /** Unix time at which the entry started. */
  readonly startedAt: number
}

/** Counts answers for the burn report. */
export interface BurnRecorder {
  /** Sets the objectives; answers from now on are judged by them. Those past the bound are left out. */
  setObjectives: (objectives: readonly Objective[]) => void
  /** Counts an answer. Errors that the caller caused count for no objective. */
  record: (answer: AnsweredRequest, now: number) => void
  /** Gives the buckets that are closed by now and were not given before; at most `MAXIMUM_CLOSED_BUCKETS` are kept. */
  takeClosed: (now: number) => readonly BurnBucket[]
  /** Closes the open bucket early, at a planned stop. */
  close: (now: number) => readonly BurnBucket[]
}

/** Most objectives that one entry counts. */
export const MAXIMUM_OBJECTIVES = 1_024
/** Most closed buckets that wait to be taken. */
export const MAXIMUM_CLOSED_BUCKETS = 120

/** Cause of a bad answer that arrived whole but after the bound. */
export const LATE_CAUSE = 'late'

/** Error kinds that spend an error budget: the system's own failures, not the caller's. */
const SPENDING_KINDS: ReadonlySet<ErrorKind> = new Set(['not-run', 'upstream-failed', 'outcome-unknown', 'internal'])

interface OpenSeries {
  good: number
  bad: number
  readonly spenders: BudgetConsumerCounts
  readonly histogram: Histogram
}

/** What made an answer bad, or nothing if it is good. */
function causeOf (objective: Objective, answer: AnsweredRequest): string | undefined {
  if (answer.errorKind !== undefined) return answer.errorKind
  if (objective.indicator === 'whole') return undefined
  return answer.responseMilliseconds > objective.boundMilliseconds ? LATE_CAUSE : undefined
}

function addAnswer (series: OpenSeries, objective: Objective, answer: AnsweredRequest): void {
  recordResponse(series.histogram, answer.responseMilliseconds)
  const cause = causeOf(objective, answer)
  if (cause === undefined) {
    series.good += 1
    return
  }
  series.bad += 1
  series.spenders.add('cause', cause, 1)
  series.spenders.add('customer', answer.customer, 1)
  if (answer.upstream !== undefined) series.spenders.add('upstream', answer.upstream, 1)
}

function writeSeries (objective: string, series: OpenSeries): BurnSeries {
  const histogram = encodeHistogram(series.histogram)
  const counts = { objective, good: series.good, bad: series.bad, spenders: series.spenders.largest() }
  return histogram === undefined ? counts : { ...counts, histogram }
}

/** Text under which the objectives of a service and a customer are found. */
function lookupKey (service: string, customer: string): string {
  return `${service} ${customer}`
}

/**
 * Makes a recorder.
 *
 * @example
 * const recorder = createBurnRecorder({ entry, startedAt: now })
 * recorder.setObjectives(objectives)
 * recorder.record({ service: 'lending', customer: 'medina', responseMilliseconds: 80 }, now)
 */
export function createBurnRecorder (options: BurnRecorderOptions): BurnRecorder {
  const objectivesByKey = new Map<string, Objective[]>()
  const open = new Map<string, OpenSeries>()
  const closed: BurnBucket[] = []
  let start = floorTo(options.startedAt, MINUTE_MILLISECONDS)
  let coveredFrom = options.startedAt

  function closeBucket (end: number, stopped: boolean): void {
    closed.push({
      entry: options.entry,
      entryStartedAt: options.startedAt,
      ...(stopped ? { entryStoppedAt: end } : {}),
      start,
      lengthMilliseconds: MINUTE_MILLISECONDS,
      coveredMilliseconds: Math.max(0, Math.round(end - coveredFrom)),
      series: [...open].map(([objective, series]) => writeSeries(objective, series))
    })
    if (closed.length > MAXIMUM_CLOSED_BUCKETS) closed.shift()
    open.clear()
  }

  /** Closes the open bucket if it is over. Minutes in which the process did nothing at all stay without a bucket. */
  function advance (now: number): void {
    if (now < start + MINUTE_MILLISECONDS) return
    closeBucket(start + MINUTE_MILLISECONDS, false)
    start = floorTo(now, MINUTE_MILLISECONDS)
    coveredFrom = start
  }

  function seriesOf (objective: string): OpenSeries {
    const known = open.get(objective)
    if (known !== undefined) return known
    const series = { good: 0, bad: 0, spenders: createBudgetConsumerCounts(), histogram: createResponseHistogram() }
    open.set(objective, series)
    return series
  }

  function count (key: string, answer: AnsweredRequest): void {
    const objectives = objectivesByKey.get(key)
    if (objectives === undefined) return
    for (const objective of objectives) addAnswer(seriesOf(objective.name), objective, answer)
  }

  return {
    setObjectives (objectives) {
      objectivesByKey.clear()
      for (const objective of objectives.slice(0, MAXIMUM_OBJECTIVES)) {
        const key = lookupKey(objective.service, objective.customer)
        const known = objectivesByKey.get(key)
        if (known === undefined) objectivesByKey.set(key, [objective])
        else known.push(objective)
      }
    },
    record (answer, now) {
      advance(now)
      if (answer.errorKind !== undefined && !SPENDING_KINDS.has(answer.errorKind)) return
      count(lookupKey(answer.service, '*'), answer)
      count(lookupKey(answer.service, answer.customer), answer)
    },
    takeClosed (now) {
      advance(now)
      return closed.splice(0)
    },
    close (now) {
      advance(now)
      closeBucket(now, true)
      coveredFrom = now
      return closed.splice(0)
    }
  }
}
