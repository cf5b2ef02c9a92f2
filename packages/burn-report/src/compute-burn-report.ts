/** Computes the burn report from the buckets of all entries. */
import type { EntryIdentity } from '@baobabpost/common'
import type {
  BurnAlarm, BurnBucket, BurnPoint, BurnReport, BurnSeries, BurnWindow, Objective, ObjectiveBurn
} from '@baobabpost/messages'
import { createCoverageCalculator, type CoverageCalculator } from './coverage.js'
import { mergeSeries } from './merge-buckets.js'
import {
  ARRIVAL_GRACE_MILLISECONDS, BUDGET_PERIOD_MILLISECONDS, floorTo, HOUR_MILLISECONDS, MINUTE_MILLISECONDS
} from './periods.js'
import { mergeHistograms, summarizeResponses } from './response-histogram.js'

/** What a report is computed from. */
export interface BurnReportInput {
  readonly objectives: readonly Objective[]
  readonly buckets: readonly BurnBucket[]
  /** Entries that are registered now, from which buckets are expected up to now. */
  readonly liveEntries: readonly EntryIdentity[]
}

/** Windows that are judged together, with the burn rate from which on they raise the alarm. */
const ALARM_RULES = [
  { name: 'fast', threshold: 14.4, windowsMilliseconds: [5 * MINUTE_MILLISECONDS, HOUR_MILLISECONDS] },
  { name: 'slow', threshold: 6, windowsMilliseconds: [30 * MINUTE_MILLISECONDS, 6 * HOUR_MILLISECONDS] },
  { name: 'budget', threshold: 1, windowsMilliseconds: [BUDGET_PERIOD_MILLISECONDS] }
] as const

/** A span of time with the buckets that count in it. */
interface Span {
  readonly start: number
  readonly end: number
  readonly buckets: readonly BurnBucket[]
}

/** The buckets of an hour: of each entry the hour itself, or its minutes where the hour is not written. */
function bucketsOfHours (buckets: readonly BurnBucket[], start: number, end: number): BurnBucket[] {
  const within = buckets.filter(bucket => bucket.start >= start && bucket.start < end)
  const hours = new Set<string>()
  for (const bucket of within) {
    if (bucket.lengthMilliseconds === HOUR_MILLISECONDS) hours.add(`${bucket.entry} ${bucket.start}`)
  }
  return within.filter(bucket => bucket.lengthMilliseconds === HOUR_MILLISECONDS ||
    !hours.has(`${bucket.entry} ${floorTo(bucket.start, HOUR_MILLISECONDS)}`))
}

function bucketsOfMinutes (buckets: readonly BurnBucket[], start: number, end: number): BurnBucket[] {
  return buckets.filter(bucket => bucket.lengthMilliseconds === MINUTE_MILLISECONDS &&
    bucket.start >= start && bucket.start < end)
}

/** The last span of a length. Up to an hour it begins at a full minute, beyond at a full hour. */
function lastSpan (buckets: readonly BurnBucket[], end: number, lengthMilliseconds: number): Span {
  if (lengthMilliseconds <= HOUR_MILLISECONDS) {
    const start = end - lengthMilliseconds
    return { start, end, buckets: bucketsOfMinutes(buckets, start, end) }
  }
  const start = floorTo(end - lengthMilliseconds, HOUR_MILLISECONDS)
  return { start, end, buckets: bucketsOfHours(buckets, start, end) }
}

function seriesOf (span: Span, objective: string): BurnSeries[] {
  return span.buckets.flatMap(bucket => bucket.series.filter(series => series.objective === objective))
}

function countSeries (parts: readonly BurnSeries[]): { good: number, bad: number } {
  let good = 0
  let bad = 0
  for (const part of parts) {
    good += part.good
    bad += part.bad
  }
  return { good, bad }
}

/** Burn rate: the bad share over the share that the objective allows. */
function burnRate (target: number, good: number, bad: number): number | undefined {
  if (good + bad === 0) return undefined
  if (bad === 0) return 0
  const allowedShare = Math.max(1 - target, Number.EPSILON)
  return bad / (good + bad) / allowedShare
}

function computeWindow (span: Span, objective: Objective, lengthMilliseconds: number, coverage: CoverageCalculator): BurnWindow {
  const { good, bad } = countSeries(seriesOf(span, objective.name))
  const rate = burnRate(objective.target, good, bad)
  const counts = { lengthMilliseconds, good, bad, coverage: coverage.share(span.start, span.end, span.buckets) }
  return rate === undefined ? counts : { ...counts, burnRate: rate }
}

function isFiring (windows: readonly BurnWindow[], threshold: number): boolean {
  return windows.every(window => window.burnRate !== undefined && window.burnRate >= threshold)
}

/** Spans of the report, found once for all objectives. */
interface ReportSpans {
  readonly windows: ReadonlyMap<number, Span>
  readonly period: Span
  readonly hours: readonly Span[]
}

function findSpans (buckets: readonly BurnBucket[], end: number): ReportSpans {
  const windows = new Map<number, Span>()
  for (const rule of ALARM_RULES) {
    for (const length of rule.windowsMilliseconds) windows.set(length, lastSpan(buckets, end, length))
  }
  const period = lastSpan(buckets, end, BUDGET_PERIOD_MILLISECONDS)
  const hours: Span[] = []
  for (let start = period.start; start < end; start += HOUR_MILLISECONDS) {
    const hourEnd = Math.min(start + HOUR_MILLISECONDS, end)
    hours.push({ start, end: hourEnd, buckets: period.buckets.filter(it => it.start >= start && it.start < hourEnd) })
  }
  return { windows, period, hours }
}

function computeAlarms (spans: ReportSpans, objective: Objective, coverage: CoverageCalculator): BurnAlarm[] {
  return ALARM_RULES.map(({ name, threshold, windowsMilliseconds }) => {
    const windows: BurnWindow[] = []
    for (const length of windowsMilliseconds) {
      const span = spans.windows.get(length)
      if (span !== undefined) windows.push(computeWindow(span, objective, length, coverage))
    }
    return { name, threshold, windows, firing: isFiring(windows, threshold) }
  })
}

function computePoint (span: Span, objective: string, coverage: CoverageCalculator): BurnPoint {
  const share = coverage.share(span.start, span.end, span.buckets)
  const place = { start: span.start, lengthMilliseconds: span.end - span.start, coverage: share }
  return span.buckets.length === 0 ? place : { ...place, ...countSeries(seriesOf(span, objective)) }
}

function computeObjective (spans: ReportSpans, objective: Objective, coverage: CoverageCalculator): ObjectiveBurn {
  const parts = seriesOf(spans.period, objective.name)
  const total = mergeSeries(objective.name, parts)
  const spentShare = burnRate(objective.target, total.good, total.bad)
  const response = summarizeResponses(mergeHistograms(total.histogram === undefined ? [] : [total.histogram]))
  return {
    objective: objective.name,
    service: objective.service,
    customer: objective.customer,
    indicator: objective.indicator,
    boundMilliseconds: objective.boundMilliseconds,
    target: objective.target,
    alarms: computeAlarms(spans, objective, coverage),
    ...(spentShare === undefined ? {} : { budgetLeft: 1 - spentShare }),
    spenders: total.spenders,
    ...(response === undefined ? {} : { response }),
    points: spans.hours.map(hour => computePoint(hour, objective.name, coverage))
  }
}

/**
 * Computes the burn of every objective.
 *
 * The report ends with the last minute whose buckets should have arrived. The error budget of the period is the number
 * of answers times the allowed share; what is left of it is 1 minus the burn rate over the period.
 *
 * @example
 * const report = computeBurn({ objectives, buckets: stream.buckets(), present: entries }, Date.now())
 */
export function computeBurnReport (inputs: BurnReportInput, now: number): BurnReport {
  const end = floorTo(now - ARRIVAL_GRACE_MILLISECONDS, MINUTE_MILLISECONDS)
  const spans = findSpans(inputs.buckets, end)
  const coverage = createCoverageCalculator(inputs.buckets, inputs.liveEntries, end)
  return {
    at: now,
    periodMilliseconds: BUDGET_PERIOD_MILLISECONDS,
    entries: [...new Set(spans.period.buckets.map(bucket => bucket.entry))].sort(),
    objectives: inputs.objectives.map(objective => computeObjective(spans, objective, coverage))
  }
}
