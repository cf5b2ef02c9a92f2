/** Writes what the logs tell of a job as text. */
import { formatInstant } from './format-time.js'
import type { LogStep, LogWalk } from './job-trace.js'
import { formatTable, type TableColumn } from './table.js'

const COLUMNS: readonly TableColumn[] = [
  { title: 'TIME', right: true }, { title: 'VM' }, { title: 'EVENT' }, { title: 'DETAIL' }
]

function toRow ({ at, vm, event, fields }: LogStep, first: number, job: string): string[] {
  const detail: string[] = []
  for (const [name, value] of Object.entries(fields)) {
    if (name !== 'job' && value !== '') detail.push(`${name} ${String(value).replace(`${job}.`, '')}`)
  }
  return [`+${at - first} ms`, vm, event, detail.join(', ')]
}

/** Writes the steps with their times from the first one, and the cause last. */
export function renderLogWalk ({ job, steps, cause }: LogWalk, width: number): string {
  const first = steps[0]?.at ?? 0
  return [
    `job ${job}, first line at ${formatInstant(first)} UTC`,
    formatTable(COLUMNS, steps.map(step => toRow(step, first, job)), width),
    `cause: ${cause.kind}, ${cause.detail}`
  ].join('\n')
}
