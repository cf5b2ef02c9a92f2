/** Counts answered requests against the objectives, in buckets of one minute. */
import type { EntryIdentity, ErrorKind } from '@baobabpost/common'
import type { BurnBucket, BurnSeries, Objective } from '@baobabpost/messages'
import type { Histogram } from 'hdr-histogram-js'
import { floorTo, MINUTE_MILLISECONDS } from './periods.js'
import { createResponseHistogram, encodeHistogram, recordResponse } from './response-histogram.js'
import { createBudgetConsumerCounts, type BudgetConsumerCounts } from './budget-consumer-counts.js'

/** An answer given to a caller, for a job or a single call. */
export interface AnsweredRequest {
  readonly service: string
  readonly customer: string
  /** Time from arrival to answer, in milliseconds. */
  readonly responseMilliseconds: number
  /** Error kind if the answer is an error. */
  readonly errorKind?: ErrorKind
  /** Name of the agent whose upstream determined the answer, if one did. */
  readonly upstream?: string
}

export interface BurnRecorderOptions {
  readonly entry: EntryIdentity
  /** Unix time at which the entry started, in milliseconds. */
  readonly startedAt: number
}

export interface BurnRecorder {
  /** Replaces the objectives for later answers. Objectives beyond `MAXIMUM_OBJECTIVES` are ignored. */
  setObjectives: (objectives: readonly Objective[]) => void
  /** Counts an answer. Errors that the caller caused count against no objective. */
  record: (answer: AnsweredRequest, now: number) => void
  /** Removes and returns the closed buckets; beyond `MAXIMUM_CLOSED_BUCKETS` the oldest are dropped. */
  takeClosed: (now: number) => readonly BurnBucket[]
  /** Closes the open bucket early, at a graceful shutdown, and returns all closed buckets. */
  close: (now: number) => readonly BurnBucket[]
}

/** Maximum number of objectives that one entry counts answers for. */
export const MAXIMUM_OBJECTIVES = 1_024
/** Maximum number of closed buckets that wait for `takeClosed`. */
export const MAXIMUM_CLOSED_BUCKETS = 120

/** Cause of a bad answer that is complete but took longer than the objective's bound. */
export const LATE_CAUSE = 'late'

/** Error kinds that consume error budget: failures of the system, not of the caller. */
const BUDGET_CONSUMING_KINDS: ReadonlySet<ErrorKind> = new Set(['not-run', 'upstream-failed', 'outcome-unknown', 'internal'])

interface OpenSeries {
  good: number
  bad: number
  readonly budgetConsumers: BudgetConsumerCounts
  readonly histogram: Histogram
}

/** Returns the cause of a bad answer, or `undefined` for a good one. */
function findCause (objective: Objective, answer: AnsweredRequest): string | undefined {
  if (answer.errorKind !== undefined) return answer.errorKind
  if (objective.indicator === 'whole') return undefined
  return answer.responseMilliseconds > objective.boundMilliseconds ? LATE_CAUSE : undefined
}

function addAnswer (series: OpenSeries, objective: Objective, answer: AnsweredRequest): void {
  recordResponse(series.histogram, answer.responseMilliseconds)
  const cause = findCause(objective, answer)
  if (cause === undefined) {
    series.good += 1
    return
  }
  series.bad += 1
  series.budgetConsumers.add('cause', cause, 1)
  series.budgetConsumers.add('customer', answer.customer, 1)
  if (answer.upstream !== undefined) series.budgetConsumers.add('upstream', answer.upstream, 1)
}

function toBurnSeries (objective: string, series: OpenSeries): BurnSeries {
  const histogram = encodeHistogram(series.histogram)
  const counts = { objective, good: series.good, bad: series.bad, spenders: series.budgetConsumers.largest() }
  return histogram === undefined ? counts : { ...counts, histogram }
}

/** Returns the key of the objectives of a service and a customer in `objectivesByKey`. */
function lookupKey (service: string, customer: string): string {
  return `${service} ${customer}`
}

/**
 * Creates a recorder without objectives.
 *
 * @example
 * const recorder = createBurnRecorder({ entry, startedAt: now })
 * recorder.setObjectives(objectives)
 * recorder.record({ service: 'lending', customer: 'medina', responseMilliseconds: 80 }, now)
 */
export function createBurnRecorder (options: BurnRecorderOptions): BurnRecorder {
  const objectivesByKey = new Map<string, Objective[]>()
  const openSeries = new Map<string, OpenSeries>()
  const closedBuckets: BurnBucket[] = []
  let bucketStart = floorTo(options.startedAt, MINUTE_MILLISECONDS)
  let coveredFrom = options.startedAt

  function closeBucket (end: number, isStopping: boolean): void {
    closedBuckets.push({
      entry: options.entry,
      entryStartedAt: options.startedAt,
      ...(isStopping ? { entryStoppedAt: end } : {}),
      start: bucketStart,
      lengthMilliseconds: MINUTE_MILLISECONDS,
      coveredMilliseconds: Math.max(0, Math.round(end - coveredFrom)),
      series: [...openSeries].map(([objective, series]) => toBurnSeries(objective, series))
    })
    if (closedBuckets.length > MAXIMUM_CLOSED_BUCKETS) closedBuckets.shift()
    openSeries.clear()
  }

  /** Closes the open bucket if its minute is over. Later minutes skipped by a process pause get no bucket. */
  function closeExpiredBucket (now: number): void {
    if (now < bucketStart + MINUTE_MILLISECONDS) return
    closeBucket(bucketStart + MINUTE_MILLISECONDS, false)
    bucketStart = floorTo(now, MINUTE_MILLISECONDS)
    coveredFrom = bucketStart
  }

  function getOrCreateSeries (objective: string): OpenSeries {
    const existing = openSeries.get(objective)
    if (existing !== undefined) return existing
    const series = {
      good: 0, bad: 0, budgetConsumers: createBudgetConsumerCounts(), histogram: createResponseHistogram()
    }
    openSeries.set(objective, series)
    return series
  }

  function recordForKey (key: string, answer: AnsweredRequest): void {
    const objectives = objectivesByKey.get(key)
    if (objectives === undefined) return
    for (const objective of objectives) addAnswer(getOrCreateSeries(objective.name), objective, answer)
  }

  return {
    setObjectives (objectives) {
      objectivesByKey.clear()
      for (const objective of objectives.slice(0, MAXIMUM_OBJECTIVES)) {
        const key = lookupKey(objective.service, objective.customer)
        const existing = objectivesByKey.get(key)
        if (existing === undefined) objectivesByKey.set(key, [objective])
        else existing.push(objective)
      }
    },
    record (answer, now) {
      closeExpiredBucket(now)
      if (answer.errorKind !== undefined && !BUDGET_CONSUMING_KINDS.has(answer.errorKind)) return
      recordForKey(lookupKey(answer.service, '*'), answer)
      recordForKey(lookupKey(answer.service, answer.customer), answer)
    },
    takeClosed (now) {
      closeExpiredBucket(now)
      return closedBuckets.splice(0)
    },
    close (now) {
      closeExpiredBucket(now)
      closeBucket(now, true)
      coveredFrom = now
      return closedBuckets.splice(0)
    }
  }
}
