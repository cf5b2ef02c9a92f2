/** Renders the log trace of a job as text. */
import { formatInstant } from './format-time.js'
import type { JobTrace } from './job-trace.js'
import type { LogStep } from './parse-log-line.js'
import { formatTable, type TableColumn } from './table.js'

const COLUMNS: readonly TableColumn[] = [
  { title: 'TIME', isRightAligned: true }, { title: 'VM' }, { title: 'EVENT' }, { title: 'DETAIL' }
]

function toRow ({ at, vm, event, fields }: LogStep, firstTime: number, job: string): string[] {
  const detail: string[] = []
  for (const [name, value] of Object.entries(fields)) {
    if (name !== 'job' && value !== '') detail.push(`${name} ${String(value).replace(`${job}.`, '')}`)
  }
  return [`+${at - firstTime} ms`, vm, event, detail.join(', ')]
}

/** Renders the log lines as a table, with times relative to the first line, and the cause in the last line. */
export function renderJobTrace ({ job, steps, cause }: JobTrace, width: number): string {
  const firstTime = steps[0]?.at ?? 0
  return [
    `job ${job}, first line at ${formatInstant(firstTime)} UTC`,
    formatTable(COLUMNS, steps.map(step => toRow(step, firstTime, job)), width),
    `cause: ${cause.kind}, ${cause.detail}`
  ].join('\n')
}
