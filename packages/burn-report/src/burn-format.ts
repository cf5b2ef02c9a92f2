/** Short texts that the renderings of the burn report share. */
import type { BurnWindow, ObjectiveBurn, BudgetConsumerDimension } from '@baobabpost/messages'
import { HOUR_MILLISECONDS, MINUTE_MILLISECONDS } from './periods.js'

const DAY_MILLISECONDS = 24 * HOUR_MILLISECONDS

/** Coverage below which a figure is marked as having a gap. */
export const GAP_COVERAGE = 0.99

/** Writes a length of time in its largest whole unit, such as `30m`, `6h` or `3d`. */
export function formatDuration (milliseconds: number): string {
  if (milliseconds >= DAY_MILLISECONDS) return `${Math.round(milliseconds / DAY_MILLISECONDS)}d`
  if (milliseconds >= HOUR_MILLISECONDS) return `${Math.round(milliseconds / HOUR_MILLISECONDS)}h`
  return `${Math.round(milliseconds / MINUTE_MILLISECONDS)}m`
}

/** Writes the burn rate of a window: `-` where nothing was counted, `~` behind it where buckets are missing. */
export function formatBurnRate (window: BurnWindow): string {
  const mark = window.coverage < GAP_COVERAGE ? '~' : ''
  if (window.burnRate === undefined) return `-${mark}`
  const digits = window.burnRate >= 100 ? 0 : 1
  return window.burnRate.toFixed(digits) + mark
}

/** Writes a share in percent. */
export function formatPercent (share: number | undefined, digits: number): string {
  return share === undefined ? '-' : `${(share * 100).toFixed(digits)}%`
}

/** Writes a time in UTC to the minute. */
export function formatTime (time: number): string {
  return new Date(time).toISOString().slice(0, 16).replace('T', ' ') + ' UTC'
}

/** Names of the alarms that are on, or `ok`. */
export function formatAlarms (burn: ObjectiveBurn): string {
  const firing = burn.alarms.filter(alarm => alarm.firing).map(alarm => alarm.name)
  return firing.length === 0 ? 'ok' : firing.join(',')
}

/** All windows of an objective, shortest first. */
export function sortedWindows (burn: ObjectiveBurn): BurnWindow[] {
  return burn.alarms.flatMap(alarm => alarm.windows)
    .sort((left, right) => left.lengthMilliseconds - right.lengthMilliseconds)
}

/** Writes the spenders of one dimension, or nothing where there are none. */
export function formatBudgetConsumers (burn: ObjectiveBurn, dimension: BudgetConsumerDimension): string | undefined {
  const spenders = burn.spenders.filter(spender => spender.dimension === dimension)
  if (spenders.length === 0) return undefined
  return `by ${dimension}: ${spenders.map(({ name, bad }) => `${name} ${bad}`).join(', ')}`
}

/** Writes what an objective promises, in a sentence. */
export function describeObjective (burn: ObjectiveBurn): string {
  const customers = burn.customer === '*' ? 'all customers' : `customer ${burn.customer}`
  const promise = burn.indicator === 'response' ? `answered within ${burn.boundMilliseconds} ms` : 'answered whole'
  return `${formatPercent(burn.target, 2)} of ${burn.service} for ${customers} ${promise}`
}
