/** Renders a report of losses as text. */
import { LOSS_CAUSES } from './loss-causes.js'
import type { CauseLoss, GroupLoss, LossReport } from './loss-report.js'
import { formatTable, type TableColumn } from './table.js'

const CAUSE_COLUMNS: readonly TableColumn[] = [
  { title: 'CAUSE' }, { title: 'JOBS', isRightAligned: true }, { title: 'SHARE', isRightAligned: true },
  { title: 'MEANING' }, { title: 'EXAMPLES' }
]
const groupColumns = (title: string): readonly TableColumn[] => [
  { title, isRightAligned: title === 'SECOND' }, { title: 'JOBS', isRightAligned: true },
  { title: 'LOST', isRightAligned: true }, { title: 'CAUSES' }
]

function toCauseRow ({ cause, jobs, share, examples, medianExcess, fitting }: CauseLoss): string[] {
  const refusals = medianExcess === undefined ? '' : ` (median excess ${medianExcess} ms, ${fitting ?? 0} with room for all tasks)`
  return [cause, String(jobs), `${(100 * share).toFixed(1)} %`, LOSS_CAUSES[cause] + refusals, examples.join(' ')]
}

function toGroupRow ({ group, jobs, lost, causes }: GroupLoss): string[] {
  const parts = Object.entries(causes).sort(([, left], [, right]) => right - left)
  return [group, String(jobs), String(lost), parts.map(([cause, lostJobs]) => `${cause} ${lostJobs}`).join(', ')]
}

/** Renders the losses by cause, by route and by time. */
export function renderLossReport (report: LossReport, width: number): string {
  const { jobs, lost, malformedLines, droppedLines, causes, routes, intervals } = report
  return [
    `${lost} of ${jobs} jobs were not served within their objective`,
    `${malformedLines} lines could not be parsed, ${droppedLines} were dropped by their processes`,
    formatTable(CAUSE_COLUMNS, causes.map(toCauseRow), width),
    formatTable(groupColumns('ROUTE'), routes.map(toGroupRow), width),
    formatTable(groupColumns('SECOND'), intervals.filter(({ lost: lostJobs }) => lostJobs > 0).map(toGroupRow), width)
  ].join('\n\n')
}
