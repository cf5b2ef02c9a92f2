/** The burn report as one self-contained HTML page: styles and charts are inside, nothing is fetched. */
import { BUDGET_CONSUMER_DIMENSIONS, type BurnPoint, type BurnReport, type ObjectiveBurn } from '@baobabpost/messages'
import { escapeMarkup, renderBarChart, type ChartBar } from './bar-chart.js'
import {
  describeObjective, formatAlarms, formatBurnRate, formatDuration, formatPercent, formatBudgetConsumers, formatTime, GAP_COVERAGE,
  sortedWindows
} from './burn-format.js'

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; max-width: 760px; margin: 2em auto; padding: 0 1em; color: #1b1b1b }
table { border-collapse: collapse; margin: .5em 0 } td, th { padding: .15em .7em; text-align: right }
th { border-bottom: 1px solid #999 } section { margin: 2em 0 } svg { width: 100%; height: auto }
svg text { font-size: 10px; fill: #555 } .bar { fill: #2b6cb0 } .partial { fill: #90b4d8 } .gap { fill: url(#gap) }
.hatch { stroke: #aaa; fill: none } .marker { stroke: #c53030; stroke-dasharray: 4 3 }
.firing { color: #c53030; font-weight: bold } .ok { color: #2f7d32 } .note { color: #555 }`

function toBar (point: BurnPoint, target: number): ChartBar {
  const time = formatTime(point.start)
  if (point.good === undefined || point.bad === undefined) {
    return { value: undefined, label: `${time}: nothing is known`, partial: false }
  }
  const total = point.good + point.bad
  const value = total === 0 ? 0 : point.bad / total / Math.max(1 - target, Number.EPSILON)
  const label = `${time}: ${point.bad} bad of ${total}, burn rate ${value.toFixed(1)}, known ${formatPercent(point.coverage, 0)}`
  return { value, label, partial: point.coverage < GAP_COVERAGE }
}

function renderWindows (burn: ObjectiveBurn): string {
  const windows = sortedWindows(burn)
  const heads = windows.map(window => `<th>${formatDuration(window.lengthMilliseconds)}</th>`).join('')
  const rates = windows.map(window => `<td>${formatBurnRate(window)}</td>`).join('')
  const counts = windows.map(window => `<td>${window.bad}/${window.good + window.bad}</td>`).join('')
  const known = windows.map(window => `<td>${formatPercent(window.coverage, 0)}</td>`).join('')
  return `<table><tr><th>window</th>${heads}</tr><tr><th>burn rate</th>${rates}</tr>` +
    `<tr><th>bad/all</th>${counts}</tr><tr><th>known</th>${known}</tr></table>`
}

function renderSpenders (burn: ObjectiveBurn): string {
  const items: string[] = []
  for (const dimension of BUDGET_CONSUMER_DIMENSIONS) {
    const text = formatBudgetConsumers(burn, dimension)
    if (text !== undefined) items.push(`<li>${escapeMarkup(text)}</li>`)
  }
  return items.length === 0 ? '<p class="note">Nothing was spent.</p>' : `<ul>${items.join('')}</ul>`
}

function renderResponse (burn: ObjectiveBurn): string {
  if (burn.response === undefined) return '<p class="note">No response times were recorded.</p>'
  const { count, p50Milliseconds, p90Milliseconds, p99Milliseconds, maximumMilliseconds } = burn.response
  const times = `${p50Milliseconds}, ${p90Milliseconds} and ${p99Milliseconds} ms, at most ${maximumMilliseconds} ms`
  return `<p>${count} answers; 50th, 90th and 99th percentile of the response time: ${times}.</p>`
}

function renderObjective (burn: ObjectiveBurn): string {
  const alarms = formatAlarms(burn)
  const first = burn.points[0]
  const last = burn.points.at(-1)
  const chart = renderBarChart({
    title: `Burn rate of ${burn.objective} by hour`,
    bars: burn.points.map(point => toBar(point, burn.target)),
    marker: 1,
    leftLabel: first === undefined ? '' : formatTime(first.start),
    rightLabel: last === undefined ? '' : formatTime(last.start + last.lengthMilliseconds)
  })
  return [
    `<section><h2>${escapeMarkup(burn.objective)} <span class="${alarms === 'ok' ? 'ok' : 'firing'}">${alarms}</span></h2>`,
    `<p>${escapeMarkup(describeObjective(burn))}. Budget left: <b>${formatPercent(burn.budgetLeft, 1)}</b>.</p>`,
    renderWindows(burn), chart, renderResponse(burn), '<h3>What spent the budget</h3>', renderSpenders(burn), '</section>'
  ].join('\n')
}

/**
 * Writes the report as an HTML page.
 *
 * @example
 * writeFileSync('burn.html', renderBurnPage(report))
 */
export function renderBurnPage (report: BurnReport): string {
  const period = formatDuration(report.periodMilliseconds)
  const title = `Service-level burn at ${formatTime(report.at)}`
  return [
    `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>${title}</title><style>${STYLE}</style></head><body>`,
    `<h1>${title}</h1>`,
    `<p class="note">A burn rate of 1 spends the error budget exactly over its period of ${period}. Hatched: nothing is`,
    `known; pale or marked ~: part is missing. Entries: ${report.entries.map(escapeMarkup).join(', ') || 'none'}.</p>`,
    ...report.objectives.map(renderObjective),
    report.objectives.length === 0 ? '<p>No objectives are published.</p>' : '',
    '</body></html>', ''
  ].join('\n')
}
