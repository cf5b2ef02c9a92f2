/** Renders a bar chart as inline SVG without a DOM. */

export interface ChartBar {
  /** Height in the chart's unit; `undefined` draws a gap. */
  readonly value: number | undefined
  /** Tooltip text. */
  readonly label: string
  /** Whether data is missing for the bar, which is then drawn paler. */
  readonly isPartial: boolean
}

export interface BarChartOptions {
  /** Accessible name of the chart. */
  readonly title: string
  readonly bars: readonly ChartBar[]
  /** Value at which a dashed line is drawn across the chart. */
  readonly markerValue: number
  readonly leftLabel: string
  readonly rightLabel: string
}

const CHART_WIDTH = 720
const CHART_HEIGHT = 140
const LEFT_MARGIN = 44
const BOTTOM_MARGIN = 20
const TOP_MARGIN = 8

const CHARACTER_REFERENCES: Readonly<Record<string, string>> = {
  '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;'
}

/**
 * Escapes text for HTML and SVG, in elements and in quoted attributes.
 *
 * @example
 * escapeMarkup('a<b') // 'a&lt;b'
 */
export function escapeMarkup (text: string): string {
  return text.replaceAll(/[&<>"']/g, character => CHARACTER_REFERENCES[character] ?? character)
}

function formatNumber (value: number): string {
  return value.toFixed(1)
}

/**
 * Renders a bar chart, scaled to the highest bar and at least to 1.25 times the marker. Gaps are hatched over the whole
 * height.
 *
 * @returns An `svg` element.
 */
export function renderBarChart (options: BarChartOptions): string {
  const { bars, markerValue } = options
  const highest = Math.max(markerValue * 1.25, ...bars.map(bar => bar.value ?? 0))
  const plotHeight = CHART_HEIGHT - TOP_MARGIN - BOTTOM_MARGIN
  const step = (CHART_WIDTH - LEFT_MARGIN) / Math.max(1, bars.length)
  const yOf = (value: number): number => TOP_MARGIN + plotHeight * (1 - value / highest)
  const parts = [
    `<svg viewBox="0 0 ${CHART_WIDTH} ${CHART_HEIGHT}" role="img" aria-label="${escapeMarkup(options.title)}">`,
    '<defs><pattern id="gap" width="6" height="6" patternUnits="userSpaceOnUse">',
    '<path d="M0 6L6 0" class="hatch"/></pattern></defs>'
  ]
  for (const [index, bar] of bars.entries()) {
    const x = formatNumber(LEFT_MARGIN + index * step)
    const width = formatNumber(Math.max(1, step - 1))
    const top = bar.value === undefined ? TOP_MARGIN : yOf(bar.value)
    const cssClass = bar.value === undefined ? 'gap' : bar.isPartial ? 'bar partial' : 'bar'
    const height = formatNumber(TOP_MARGIN + plotHeight - top)
    const geometry = `x="${x}" y="${formatNumber(top)}" width="${width}" height="${height}"`
    parts.push(`<rect class="${cssClass}" ${geometry}><title>${escapeMarkup(bar.label)}</title></rect>`)
  }
  const markerY = formatNumber(yOf(markerValue))
  parts.push(
    `<line class="marker" x1="${LEFT_MARGIN}" x2="${CHART_WIDTH}" y1="${markerY}" y2="${markerY}"/>`,
    `<text x="${LEFT_MARGIN - 4}" y="${markerY}" text-anchor="end">${markerValue}</text>`,
    `<text x="${LEFT_MARGIN - 4}" y="${TOP_MARGIN + 10}" text-anchor="end">${formatNumber(highest)}</text>`,
    `<text x="${LEFT_MARGIN}" y="${CHART_HEIGHT - 4}">${escapeMarkup(options.leftLabel)}</text>`,
    `<text x="${CHART_WIDTH}" y="${CHART_HEIGHT - 4}" text-anchor="end">${escapeMarkup(options.rightLabel)}</text>`,
    '</svg>'
  )
  return parts.join('')
}
