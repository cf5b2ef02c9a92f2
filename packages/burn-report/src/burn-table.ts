/** Renders the burn report as a text table for a terminal. */
import { BUDGET_CONSUMER_DIMENSIONS, type BurnReport, type ObjectiveBurn } from '@baobabpost/messages'
import {
  formatAlarms, formatBurnRate, formatDuration, formatPercent, formatBudgetConsumers, formatTime, sortedWindows
} from './burn-format.js'

export interface BurnTableOptions {
  /** Maximum length of a line in characters; longer lines are truncated. 80 hold a row with one firing alarm. */
  readonly columns: number
  /** Whether the row of an objective is coloured: red while one of its alarms fires, else green. */
  readonly hasColours: boolean
}

const RED = '\u001b[31m'
const GREEN = '\u001b[32m'
const RESET = '\u001b[0m'

const NAME_COLUMN_CHARACTERS = 20
const FIGURE_COLUMN_CHARACTERS = 7

function truncate (text: string, characters: number): string {
  return text.length <= characters ? text : `${text.slice(0, characters - 1)}…`
}

function formatRow (name: string, figures: readonly string[], alarms: string): string {
  const cells = figures.map(figure => figure.padStart(FIGURE_COLUMN_CHARACTERS))
  return `${truncate(name, NAME_COLUMN_CHARACTERS).padEnd(NAME_COLUMN_CHARACTERS)}${cells.join('')}  ${alarms}`
}

function formatHeader (report: BurnReport): string {
  const first = report.objectives[0]
  const lengths = first === undefined
    ? []
    : sortedWindows(first).map(window => formatDuration(window.lengthMilliseconds))
  return formatRow('OBJECTIVE', ['TARGET', ...lengths, 'LEFT'], 'ALARM')
}

function formatObjective (burn: ObjectiveBurn, options: BurnTableOptions): string[] {
  const figures = sortedWindows(burn).map(formatBurnRate)
  const row = formatRow(
    burn.objective,
    [formatPercent(burn.target, 1), ...figures, formatPercent(burn.budgetLeft, 0)],
    formatAlarms(burn)
  )
  const colour = burn.alarms.some(alarm => alarm.firing) ? RED : GREEN
  const lines = [truncate(row, options.columns)]
  for (const dimension of BUDGET_CONSUMER_DIMENSIONS) {
    const budgetConsumers = formatBudgetConsumers(burn, dimension)
    if (budgetConsumers !== undefined) lines.push(truncate(`  ${budgetConsumers}`, options.columns))
  }
  if (burn.response !== undefined) {
    const { count, p50Milliseconds, p90Milliseconds, p99Milliseconds } = burn.response
    const times = `${p50Milliseconds}/${p90Milliseconds}/${p99Milliseconds}`
    lines.push(truncate(`  ${count} answers; 50th/90th/99th percentile ${times} ms`, options.columns))
  }
  if (options.hasColours) lines[0] = `${colour}${lines[0]}${RESET}`
  return lines
}

/**
 * Renders the report as a table of burn rates. A burn rate of 1 spends the budget exactly over its period.
 *
 * @example
 * process.stdout.write(renderBurnTable(report, { columns: 80, hasColours: false }))
 */
export function renderBurnTable (report: BurnReport, options: BurnTableOptions): string {
  const period = formatDuration(report.periodMilliseconds)
  const lines = [
    truncate(`Service-level burn at ${formatTime(report.at)}, budget period ${period}`, options.columns),
    truncate(`Burn rates by window; ~ marks a gap in the data. Entries: ${report.entries.length}`, options.columns),
    ''
  ]
  if (report.objectives.length === 0) lines.push('No objectives are published.')
  else lines.push(truncate(formatHeader(report), options.columns))
  for (const burn of report.objectives) lines.push(...formatObjective(burn, options))
  return lines.join('\n') + '\n'
}
