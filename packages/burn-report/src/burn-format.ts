/** Formats values for the table and the page of the burn report. */
import type { BurnWindow, ObjectiveBurn, BudgetConsumerDimension } from '@baobabpost/messages'
import { HOUR_MILLISECONDS, MINUTE_MILLISECONDS } from './periods.js'

const DAY_MILLISECONDS = 24 * HOUR_MILLISECONDS

/** Coverage below which a figure is marked as incomplete. */
export const GAP_COVERAGE = 0.99

/** Formats a duration in days, hours or minutes, such as `30m`, `6h` or `3d`. */
export function formatDuration (milliseconds: number): string {
  if (milliseconds >= DAY_MILLISECONDS) return `${Math.round(milliseconds / DAY_MILLISECONDS)}d`
  if (milliseconds >= HOUR_MILLISECONDS) return `${Math.round(milliseconds / HOUR_MILLISECONDS)}h`
  return `${Math.round(milliseconds / MINUTE_MILLISECONDS)}m`
}

/** Formats the burn rate of a window: `-` if no answers were counted, with `~` appended if buckets are missing. */
export function formatBurnRate (window: BurnWindow): string {
  const mark = window.coverage < GAP_COVERAGE ? '~' : ''
  if (window.burnRate === undefined) return `-${mark}`
  const digits = window.burnRate >= 100 ? 0 : 1
  return window.burnRate.toFixed(digits) + mark
}

/** Formats a share, such as 0.5, in percent; formats `undefined` as `-`. */
export function formatPercent (share: number | undefined, digits: number): string {
  return share === undefined ? '-' : `${(share * 100).toFixed(digits)}%`
}

/** Formats a Unix time in milliseconds as UTC, to the minute. */
export function formatTime (time: number): string {
  return new Date(time).toISOString().slice(0, 16).replace('T', ' ') + ' UTC'
}

/** Returns the names of the firing alarms, or `ok`. */
export function formatAlarms (burn: ObjectiveBurn): string {
  const firing = burn.alarms.filter(alarm => alarm.firing).map(alarm => alarm.name)
  return firing.length === 0 ? 'ok' : firing.join(',')
}

/** Returns all windows of an objective, shortest first. */
export function sortedWindows (burn: ObjectiveBurn): BurnWindow[] {
  return burn.alarms.flatMap(alarm => alarm.windows)
    .sort((left, right) => left.lengthMilliseconds - right.lengthMilliseconds)
}

/** Formats the budget consumers of one dimension; returns `undefined` if there are none. */
export function formatBudgetConsumers (burn: ObjectiveBurn, dimension: BudgetConsumerDimension): string | undefined {
  const budgetConsumers = burn.spenders.filter(consumer => consumer.dimension === dimension)
  if (budgetConsumers.length === 0) return undefined
  return `by ${dimension}: ${budgetConsumers.map(({ name, bad }) => `${name} ${bad}`).join(', ')}`
}

/** Describes an objective, such as `99.00% of lending for all customers answered within 1000 ms`. */
export function describeObjective (burn: ObjectiveBurn): string {
  const customers = burn.customer === '*' ? 'all customers' : `customer ${burn.customer}`
  const promise = burn.indicator === 'response' ? `answered within ${burn.boundMilliseconds} ms` : 'answered whole'
  return `${formatPercent(burn.target, 2)} of ${burn.service} for ${customers} ${promise}`
}
