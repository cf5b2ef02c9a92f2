/** Formats text tables that fit the width of a terminal. */

export interface TableColumn {
  readonly title: string
  /** Whether cells are aligned to the right, as for numbers. */
  readonly isRightAligned?: boolean
}

const COLUMN_GAP = '  '
const MINIMUM_COLUMN_WIDTH = 8

function truncate (text: string, width: number): string {
  return text.length <= width ? text : `${text.slice(0, width - 1)}…`
}

/** Narrows the widest column repeatedly until the table fits or all columns have the minimum width. */
function fitWidths (naturalWidths: readonly number[], width: number): number[] {
  const widths = [...naturalWidths]
  const total = (): number => widths.reduce((sum, part) => sum + part, (widths.length - 1) * COLUMN_GAP.length)
  while (total() > width) {
    const widest = Math.max(...widths)
    if (widest <= MINIMUM_COLUMN_WIDTH) break
    widths[widths.indexOf(widest)] = widest - 1
  }
  return widths
}

/**
 * Formats a table; cells that do not fit are truncated.
 *
 * @param width - Width of the terminal in characters; `Infinity` truncates nothing.
 * @example
 * formatTable([{ title: 'NAME' }, { title: 'SLOTS', isRightAligned: true }], [['agent-1', '8']], 80)
 */
export function formatTable (
  columns: readonly TableColumn[], rows: ReadonlyArray<readonly string[]>, width: number
): string {
  const naturalWidths = columns.map((column, index) =>
    Math.max(column.title.length, ...rows.map(row => row[index]?.length ?? 0)))
  const widths = fitWidths(naturalWidths, width)
  const formatRow = (cells: readonly string[]): string => {
    const parts = columns.map((column, index) => {
      const cellWidth = widths[index] ?? 0
      const cell = truncate(cells[index] ?? '', cellWidth)
      return column.isRightAligned === true ? cell.padStart(cellWidth) : cell.padEnd(cellWidth)
    })
    return parts.join(COLUMN_GAP).trimEnd()
  }
  return [columns.map(column => column.title), ...rows].map(formatRow).join('\n')
}
