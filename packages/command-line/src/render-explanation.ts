/** Renders the explanation of a submission as text. */
import type { Explanation, ExplanationStep } from '@baobabpost/messages'
import { formatInstant } from './format-time.js'
import { formatTable, type TableColumn } from './table.js'

const COLUMNS: readonly TableColumn[] = [
  { title: 'TIME', isRightAligned: true }, { title: 'ENTRY' }, { title: 'EVENT' }, { title: 'TASKS', isRightAligned: true },
  { title: 'AGENT' }, { title: 'DETAIL' }
]

/** Returns the name in a process identity, without the UUID. */
function processName (identity: string): string {
  return identity.split('@')[0] ?? identity
}

function toRow (step: ExplanationStep, firstTime: number): string[] {
  const agent = step.agent === undefined ? '' : processName(step.agent)
  const count = step.count === undefined ? '' : String(step.count)
  return [`+${step.at - firstTime} ms`, processName(step.entry), step.event, count, agent, step.detail]
}

/** Renders the steps as a table, with times relative to the first step. */
export function renderExplanation (explanation: Explanation, width: number): string {
  const firstTime = explanation.steps[0]?.at ?? 0
  const lines = [
    `submission ${explanation.submission}, first step at ${formatInstant(firstTime)} UTC`,
    formatTable(COLUMNS, explanation.steps.map(step => toRow(step, firstTime)), width)
  ]
  if (explanation.truncated) lines.push('Steps are missing: their number is bounded, and a takeover loses earlier steps.')
  return lines.join('\n')
}
