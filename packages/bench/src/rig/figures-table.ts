/** Formats the figures of runs as a Markdown table. */
import type { Percentiles, RunFigures } from './figures.js'

function formatPercentiles ({ median, percentile99, percentile999 }: Percentiles): string {
  return [median, percentile99, percentile999].map(value => value.toFixed(2).padStart(6)).join(' ')
}

function formatCounts (counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts).filter(([, count]) => count > 0).map(([name, count]) => `${name} ${count}`).join(', ')
}

export const TABLE_HEADING = [
  '| scenario | policy | urgent over own: median, 99th, 99.9th | over fastest | jobs over ideal | goodput |',
  ' messages, starts a task | entry, agent us a task | entry MiB | calls | jobs | doubled, invariants |',
  '\n|---|---|---|---|---|---|---|---|---|---|---|---|'
].join('')

/** Formats the figures of a run as one row of the table. */
export function formatTableRow (figures: RunFigures): string {
  const entry = figures.use.entry
  const agent = figures.use.agent
  const cells = [
    figures.scenario,
    figures.policy,
    formatPercentiles(figures.urgentOverOwn),
    formatPercentiles(figures.urgentOverFastest),
    formatPercentiles(figures.jobsOverIdeal),
    figures.goodput.toFixed(2),
    `${figures.messagesPerTask.toFixed(2)}, ${figures.startsPerTask.toFixed(3)}`,
    `${entry?.microsecondsPerTask.toFixed(0)}, ${agent?.microsecondsPerTask.toFixed(0)}`,
    `${entry?.peakMebibytes.toFixed(0)}`,
    formatCounts(figures.calls),
    formatCounts(figures.jobs),
    `${figures.doubledTasks}, ${figures.invariantsViolated}`
  ]
  return `| ${cells.join(' | ')} |`
}
