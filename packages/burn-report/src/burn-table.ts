/** The burn report as a text table for a terminal. */
import { BUDGET_CONSUMER_DIMENSIONS, type BurnReport, type ObjectiveBurn } from '@baobabpost/messages'
import {
  formatAlarms, formatBurnRate, formatDuration, formatPercent, formatBudgetConsumers, formatTime, sortedWindows
} from './burn-format.js'

/** How a table is written. */
export interface BurnTableOptions {
  /** Width of the terminal in characters; 80 and more fit without cutting names. */
  readonly columns: number
  /** Whether alarms and overspent budgets are coloured. */
  readonly hasColours: boolean
}

const RED = '\u001b[31m'
const GREEN = '\u001b[32m'
const PLAIN = '\u001b[0m'

const NAME_CHARACTERS = 20
const FIGURE_CHARACTERS = 7

function cut (text: string, characters: number): string {
  return text.length <= characters ? text : `${text.slice(0, characters - 1)}…`
}

function formatRow (name: string, figures: readonly string[], alarms: string): string {
  const cells = figures.map(figure => figure.padStart(FIGURE_CHARACTERS))
  return `${cut(name, NAME_CHARACTERS).padEnd(NAME_CHARACTERS)}${cells.join('')}  ${alarms}`
}

function formatHeader (report: BurnReport): string {
  const first = report.objectives[0]
  const lengths = first === undefined ? [] : sortedWindows(first).map(it => formatDuration(it.lengthMilliseconds))
  return formatRow('OBJECTIVE', ['TARGET', ...lengths, 'LEFT'], 'ALARM')
}

function formatObjective (burn: ObjectiveBurn, options: BurnTableOptions): string[] {
  const figures = sortedWindows(burn).map(formatBurnRate)
  const row = formatRow(
    burn.objective, [formatPercent(burn.target, 1), ...figures, formatPercent(burn.budgetLeft, 0)], formatAlarms(burn)
  )
  const colour = burn.alarms.some(alarm => alarm.firing) ? RED : GREEN
  const lines = [cut(row, options.columns)]
  for (const dimension of BUDGET_CONSUMER_DIMENSIONS) {
    const spenders = formatBudgetConsumers(burn, dimension)
    if (spenders !== undefined) lines.push(cut(`  ${spenders}`, options.columns))
  }
  if (burn.response !== undefined) {
    const { count, p50Milliseconds, p90Milliseconds, p99Milliseconds } = burn.response
    const times = `${p50Milliseconds}/${p90Milliseconds}/${p99Milliseconds}`
    lines.push(cut(`  ${count} answers; 50th/90th/99th percentile ${times} ms`, options.columns))
  }
  if (options.hasColours) lines[0] = `${colour}${lines[0]}${PLAIN}`
  return lines
}

/**
 * Writes the report as a table of burn rates: 1 spends the budget exactly over its period.
 *
 * @example
 * process.stdout.write(renderBurnTable(report, { columns: 80, colours: false }))
 */
export function renderBurnTable (report: BurnReport, options: BurnTableOptions): string {
  const period = formatDuration(report.periodMilliseconds)
  const lines = [
    cut(`Service-level burn at ${formatTime(report.at)}, budget period ${period}`, options.columns),
    cut(`Burn rates by window; ~ marks a gap in the data. Entries: ${report.entries.length}`, options.columns),
    ''
  ]
  if (report.objectives.length === 0) lines.push('No objectives are published.')
  else lines.push(cut(formatHeader(report), options.columns))
  for (const burn of report.objectives) lines.push(...formatObjective(burn, options))
  return lines.join('\n') + '\n'
}
