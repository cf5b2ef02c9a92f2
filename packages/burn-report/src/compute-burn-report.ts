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

export interface BurnReportInput {
  readonly objectives: readonly Objective[]
  readonly buckets: readonly BurnBucket[]
  /** Entries that are registered now; buckets are expected from them up to now. */
  readonly liveEntries: readonly EntryIdentity[]
}

/** An alarm fires while the burn rate in each of its windows is at or above the threshold. */
const ALARM_RULES = [
  { name: 'fast', threshold: 14.4, windowsMilliseconds: [5 * MINUTE_MILLISECONDS, HOUR_MILLISECONDS] },
  { name: 'slow', threshold: 6, windowsMilliseconds: [30 * MINUTE_MILLISECONDS, 6 * HOUR_MILLISECONDS] },
  { name: 'budget', threshold: 1, windowsMilliseconds: [BUDGET_PERIOD_MILLISECONDS] }
] as const

/** A time span and the buckets that are counted in it. */
interface Span {
  readonly start: number
  readonly end: number
  readonly buckets: readonly BurnBucket[]
}

/**
 * Selects the buckets from `start` to `end`. Where an entry has a bucket for a whole hour, its minutes of that hour are
 * left out, so that no answer counts twice.
 */
function selectHourBuckets (buckets: readonly BurnBucket[], start: number, end: number): BurnBucket[] {
  const within = buckets.filter(bucket => bucket.start >= start && bucket.start < end)
  const storedHours = new Set<string>()
  for (const bucket of within) {
    if (bucket.lengthMilliseconds === HOUR_MILLISECONDS) storedHours.add(`${bucket.entry} ${bucket.start}`)
  }
  return within.filter(bucket => bucket.lengthMilliseconds === HOUR_MILLISECONDS ||
    !storedHours.has(`${bucket.entry} ${floorTo(bucket.start, HOUR_MILLISECONDS)}`))
}

function selectMinuteBuckets (buckets: readonly BurnBucket[], start: number, end: number): BurnBucket[] {
  return buckets.filter(bucket => bucket.lengthMilliseconds === MINUTE_MILLISECONDS &&
    bucket.start >= start && bucket.start < end)
}

/** Returns the span of the given length up to `end`. A span longer than an hour begins at the full hour before. */
function lastSpan (buckets: readonly BurnBucket[], end: number, lengthMilliseconds: number): Span {
  if (lengthMilliseconds <= HOUR_MILLISECONDS) {
    const start = end - lengthMilliseconds
    return { start, end, buckets: selectMinuteBuckets(buckets, start, end) }
  }
  const start = floorTo(end - lengthMilliseconds, HOUR_MILLISECONDS)
  return { start, end, buckets: selectHourBuckets(buckets, start, end) }
}

function selectSeries (span: Span, objective: string): BurnSeries[] {
  return span.buckets.flatMap(bucket => bucket.series.filter(series => series.objective === objective))
}

function sumCounts (parts: readonly BurnSeries[]): { good: number, bad: number } {
  let good = 0
  let bad = 0
  for (const part of parts) {
    good += part.good
    bad += part.bad
  }
  return { good, bad }
}

/** Returns the share of bad answers divided by the share that the objective allows; `undefined` without answers. */
function computeBurnRate (target: number, good: number, bad: number): number | undefined {
  if (good + bad === 0) return undefined
  if (bad === 0) return 0
  const allowedShare = Math.max(1 - target, Number.EPSILON)
  return bad / (good + bad) / allowedShare
}

function computeWindow (
  span: Span, objective: Objective, lengthMilliseconds: number, coverage: CoverageCalculator
): BurnWindow {
  const { good, bad } = sumCounts(selectSeries(span, objective.name))
  const rate = computeBurnRate(objective.target, good, bad)
  const counts = { lengthMilliseconds, good, bad, coverage: coverage.share(span.start, span.end, span.buckets) }
  return rate === undefined ? counts : { ...counts, burnRate: rate }
}

function isFiring (windows: readonly BurnWindow[], threshold: number): boolean {
  return windows.every(window => window.burnRate !== undefined && window.burnRate >= threshold)
}

/** Spans of the report, which are the same for all objectives. */
interface ReportSpans {
  readonly windows: ReadonlyMap<number, Span>
  readonly period: Span
  readonly hours: readonly Span[]
}

function selectSpans (buckets: readonly BurnBucket[], end: number): ReportSpans {
  const windows = new Map<number, Span>()
  for (const rule of ALARM_RULES) {
    for (const length of rule.windowsMilliseconds) windows.set(length, lastSpan(buckets, end, length))
  }
  const period = lastSpan(buckets, end, BUDGET_PERIOD_MILLISECONDS)
  const hours: Span[] = []
  for (let start = period.start; start < end; start += HOUR_MILLISECONDS) {
    const hourEnd = Math.min(start + HOUR_MILLISECONDS, end)
    hours.push({
      start,
      end: hourEnd,
      buckets: period.buckets.filter(bucket => bucket.start >= start && bucket.start < hourEnd)
    })
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
  const interval = { start: span.start, lengthMilliseconds: span.end - span.start, coverage: share }
  return span.buckets.length === 0 ? interval : { ...interval, ...sumCounts(selectSeries(span, objective)) }
}

function computeObjective (spans: ReportSpans, objective: Objective, coverage: CoverageCalculator): ObjectiveBurn {
  const parts = selectSeries(spans.period, objective.name)
  const total = mergeSeries(objective.name, parts)
  const spentBudgetShare = computeBurnRate(objective.target, total.good, total.bad)
  const response = summarizeResponses(mergeHistograms(total.histogram === undefined ? [] : [total.histogram]))
  return {
    objective: objective.name,
    service: objective.service,
    customer: objective.customer,
    indicator: objective.indicator,
    boundMilliseconds: objective.boundMilliseconds,
    target: objective.target,
    alarms: computeAlarms(spans, objective, coverage),
    ...(spentBudgetShare === undefined ? {} : { budgetLeft: 1 - spentBudgetShare }),
    spenders: total.spenders,
    ...(response === undefined ? {} : { response }),
    points: spans.hours.map(hour => computePoint(hour, objective.name, coverage))
  }
}

/**
 * Computes the burn rates and the remaining error budget of every objective.
 *
 * The report ends with the last minute whose buckets should have arrived. The error budget of the period is the number
 * of answers times the allowed share of bad ones. The share of it that is left is 1 minus the burn rate over the
 * period.
 *
 * @example
 * const report = computeBurnReport({ objectives, buckets: store.buckets(), liveEntries: entries }, Date.now())
 */
export function computeBurnReport (inputs: BurnReportInput, now: number): BurnReport {
  const end = floorTo(now - ARRIVAL_GRACE_MILLISECONDS, MINUTE_MILLISECONDS)
  const spans = selectSpans(inputs.buckets, end)
  const coverage = createCoverageCalculator(inputs.buckets, inputs.liveEntries, end)
  return {
    at: now,
    periodMilliseconds: BUDGET_PERIOD_MILLISECONDS,
    entries: [...new Set(spans.period.buckets.map(bucket => bucket.entry))].sort(),
    objectives: inputs.objectives.map(objective => computeObjective(spans, objective, coverage))
  }
}
