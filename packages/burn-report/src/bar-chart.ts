/** A bar chart as inline SVG, written without a DOM. */

/** One bar; without a value it is a gap. */
export interface ChartBar {
  /** Height in the unit of the chart. */
  readonly value: number | undefined
  /** Text that shows when the pointer rests on the bar. */
  readonly label: string
  /** Whether the bar is drawn as incomplete. */
  readonly partial: boolean
}

/** What a chart shows. */
export interface BarChartOptions {
  /** Accessible name of the chart. */
  readonly title: string
  readonly bars: readonly ChartBar[]
  /** Value of a marked line across the chart. */
  readonly marker: number
  readonly leftLabel: string
  readonly rightLabel: string
}

const WIDTH = 720
const HEIGHT = 140
const LEFT = 44
const BOTTOM = 20
const TOP = 8

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;'
}

/**
 * Escapes text for HTML and SVG, in elements and in quoted attributes.
 *
 * @example
 * escapeMarkup('a<b') // 'a&lt;b'
 */
export function escapeMarkup (text: string): string {
  return text.replaceAll(/[&<>"']/g, character => ESCAPES[character] ?? character)
}

function fixed (value: number): string {
  return value.toFixed(1)
}

/**
 * Draws a bar chart. Gaps are hatched over the whole height; a bar that is higher than the scale is cut at its top.
 *
 * @returns An `svg` element.
 */
export function renderBarChart (options: BarChartOptions): string {
  const { bars, marker } = options
  const highest = Math.max(marker * 1.25, ...bars.map(bar => bar.value ?? 0))
  const plotHeight = HEIGHT - TOP - BOTTOM
  const step = (WIDTH - LEFT) / Math.max(1, bars.length)
  const yOf = (value: number): number => TOP + plotHeight * (1 - value / highest)
  const parts = [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeMarkup(options.title)}">`,
    '<defs><pattern id="gap" width="6" height="6" patternUnits="userSpaceOnUse">',
    '<path d="M0 6L6 0" class="hatch"/></pattern></defs>'
  ]
  for (const [place, bar] of bars.entries()) {
    const x = fixed(LEFT + place * step)
    const width = fixed(Math.max(1, step - 1))
    const top = bar.value === undefined ? TOP : yOf(bar.value)
    const kind = bar.value === undefined ? 'gap' : bar.partial ? 'bar partial' : 'bar'
    const height = fixed(TOP + plotHeight - top)
    const box = `x="${x}" y="${fixed(top)}" width="${width}" height="${height}"`
    parts.push(`<rect class="${kind}" ${box}><title>${escapeMarkup(bar.label)}</title></rect>`)
  }
  const markerY = fixed(yOf(marker))
  parts.push(
    `<line class="marker" x1="${LEFT}" x2="${WIDTH}" y1="${markerY}" y2="${markerY}"/>`,
    `<text x="${LEFT - 4}" y="${markerY}" text-anchor="end">${marker}</text>`,
    `<text x="${LEFT - 4}" y="${TOP + 10}" text-anchor="end">${fixed(highest)}</text>`,
    `<text x="${LEFT}" y="${HEIGHT - 4}">${escapeMarkup(options.leftLabel)}</text>`,
    `<text x="${WIDTH}" y="${HEIGHT - 4}" text-anchor="end">${escapeMarkup(options.rightLabel)}</text>`,
    '</svg>'
  )
  return parts.join('')
}
