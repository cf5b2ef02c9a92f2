/** Writes what happened to a submission as text. */
import type { Explanation, ExplanationStep } from '@baobabpost/messages'
import { formatInstant } from './format-time.js'
import { formatTable, type TableColumn } from './table.js'

const COLUMNS: readonly TableColumn[] = [
  { title: 'TIME', right: true }, { title: 'ENTRY' }, { title: 'EVENT' }, { title: 'TASKS', right: true },
  { title: 'AGENT' }, { title: 'DETAIL' }
]

/** Name of a process without the UUID of its run. */
function nameOf (identity: string): string {
  return identity.split('@')[0] ?? identity
}

function toRow (step: ExplanationStep, first: number): string[] {
  const agent = step.agent === undefined ? '' : nameOf(step.agent)
  const count = step.count === undefined ? '' : String(step.count)
  return [`+${step.at - first} ms`, nameOf(step.entry), step.event, count, agent, step.detail]
}

/** Writes the steps with their times from the first one, places and reasons. */
export function renderExplanation (explanation: Explanation, width: number): string {
  const first = explanation.steps[0]?.at ?? 0
  const lines = [
    `submission ${explanation.submission}, first step at ${formatInstant(first)} UTC`,
    formatTable(COLUMNS, explanation.steps.map(step => toRow(step, first)), width)
  ]
  if (explanation.truncated) lines.push('Steps are missing: the list is bounded, and a takeover loses earlier ones.')
  return lines.join('\n')
}
