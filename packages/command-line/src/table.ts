/** Tables of text that fit a terminal. */

/** One column. */
export interface TableColumn {
  readonly title: string
  /** Whether figures stand to the right. */
  readonly right?: boolean
}

const GAP = '  '
const NARROWEST_COLUMN = 8

function cut (text: string, width: number): string {
  return text.length <= width ? text : `${text.slice(0, width - 1)}…`
}

/** Takes from the widest column until the table fits, or no column can give any more. */
function fitWidths (natural: readonly number[], width: number): number[] {
  const widths = [...natural]
  const total = (): number => widths.reduce((sum, part) => sum + part, (widths.length - 1) * GAP.length)
  while (total() > width) {
    const widest = Math.max(...widths)
    if (widest <= NARROWEST_COLUMN) break
    widths[widths.indexOf(widest)] = widest - 1
  }
  return widths
}

/**
 * Writes a table; cells that do not fit are cut.
 *
 * @param width - Width of the terminal in characters; `Infinity` cuts nothing.
 * @example
 * formatTable([{ title: 'NAME' }, { title: 'SLOTS', right: true }], [['agent-1', '8']], 80)
 */
export function formatTable (
  columns: readonly TableColumn[], rows: ReadonlyArray<readonly string[]>, width: number
): string {
  const natural = columns.map((column, place) =>
    Math.max(column.title.length, ...rows.map(row => row[place]?.length ?? 0)))
  const widths = fitWidths(natural, width)
  const formatRow = (cells: readonly string[]): string => {
    const parts = columns.map((column, place) => {
      const cellWidth = widths[place] ?? 0
      const cell = cut(cells[place] ?? '', cellWidth)
      return column.right === true ? cell.padStart(cellWidth) : cell.padEnd(cellWidth)
    })
    return parts.join(GAP).trimEnd()
  }
  return [columns.map(column => column.title), ...rows].map(formatRow).join('\n')
}
