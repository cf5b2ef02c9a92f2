/** `npm run capacity`: runs all probes and prints the fitted cost slopes as a Markdown table. */
import { fitSlope } from './fit-slope.js'
import type { Probe } from './probe.js'
import { probeAgent } from './probes/agent-probe.js'
import { probeBurn } from './probes/burn-probe.js'
import { probeConfiguration } from './probes/configuration-probe.js'
import { probeEntry } from './probes/entry-probe.js'
import { probeLink } from './probes/link-probe.js'

const PROBES: readonly Probe[] = [probeLink, probeAgent, probeConfiguration, probeEntry, probeBurn]

function formatNumber (value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)
}

process.stdout.write('| per | cost | slope | fixed | fit | sizes |\n|---|---|---|---|---|---|\n')
for (const probe of PROBES) {
  for (const { per, cost, points } of await probe()) {
    const { perUnit, fixed, rSquared } = fitSlope(points)
    const sizes = points.map(point => point.size).join(', ')
    const cells = [per, cost, formatNumber(perUnit), formatNumber(fixed), rSquared.toFixed(3), sizes]
    process.stdout.write(`| ${cells.join(' | ')} |\n`)
  }
}
const { rss, heapUsed } = process.memoryUsage()
process.stdout.write(`\nthis process: ${Math.round(rss / 1_048_576)} MB resident, ${Math.round(heapUsed / 1_048_576)} MB of heap\n`)
