/** Small pieces of Markdown: tables, and lists that are kept between two marks of a page. */

/** Writes a Markdown table. */
export function formatMarkdownTable (titles: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const escape = (cell: string): string => cell.replaceAll('|', '\\|').replaceAll('\n', ' ')
  const formatRow = (cells: readonly string[]): string => `| ${cells.map(escape).join(' | ')} |`
  return [formatRow(titles), `|${titles.map(() => '---').join('|')}|`, ...rows.map(formatRow)].join('\n')
}

/** Puts a word into code marks. */
export function inlineCode (text: string): string {
  return '`' + text + '`'
}

const END_MARK = '<!-- end -->'

function beginMark (name: string): string {
  return `<!-- list: ${name} -->`
}

/** Where a list stands in a page. */
function findList (page: string, name: string): { begin: number, end: number } {
  const begin = page.indexOf(beginMark(name))
  const end = page.indexOf(END_MARK, begin)
  if (begin < 0 || end < 0) throw new Error(`the page has no list '${name}'`)
  return { begin: begin + beginMark(name).length, end }
}

/**
 * Replaces a list in a page.
 *
 * @throws Error if the page has no such list.
 * @example
 * replaceList(page, 'metrics', formatMarkdownTable(['name'], [['errors.count']]))
 */
export function replaceList (page: string, name: string, text: string): string {
  const { begin, end } = findList(page, name)
  return `${page.slice(0, begin)}\n${text}\n${page.slice(end)}`
}
