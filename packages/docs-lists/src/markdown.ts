/** Formats Markdown tables and replaces the generated lists of a page, which are enclosed in comment markers. */

/** Formats a table; escapes `|` and replaces newlines in cells. */
export function formatMarkdownTable (titles: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const escape = (cell: string): string => cell.replaceAll('|', '\\|').replaceAll('\n', ' ')
  const formatRow = (cells: readonly string[]): string => `| ${cells.map(escape).join(' | ')} |`
  return [formatRow(titles), `|${titles.map(() => '---').join('|')}|`, ...rows.map(formatRow)].join('\n')
}

/** Formats text as inline code. */
export function inlineCode (text: string): string {
  return '`' + text + '`'
}

const END_MARKER = '<!-- end -->'

function formatBeginMarker (name: string): string {
  return `<!-- list: ${name} -->`
}

/** Returns the offsets of the text between the two markers of a list. */
function findList (page: string, name: string): { begin: number, end: number } {
  const begin = page.indexOf(formatBeginMarker(name))
  const end = page.indexOf(END_MARKER, begin)
  if (begin < 0 || end < 0) throw new Error(`the page has no list '${name}'`)
  return { begin: begin + formatBeginMarker(name).length, end }
}

/**
 * Replaces the text of a list in a page.
 *
 * @throws Error if the page has no such list.
 * @example
 * replaceList(page, 'metrics', formatMarkdownTable(['name'], [['errors.count']]))
 */
export function replaceList (page: string, name: string, text: string): string {
  const { begin, end } = findList(page, name)
  return `${page.slice(0, begin)}\n${text}\n${page.slice(end)}`
}
