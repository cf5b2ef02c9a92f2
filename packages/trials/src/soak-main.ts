/** Command `npm run soak -- --seed N --minutes M [--steps S]`: the randomised run, with what it showed. */
import { parseArgs } from 'node:util'
import { runSoak, type SoakResult } from './soak.js'

const MILLISECONDS_PER_MINUTE = 60_000
const SHOWN_VIOLATIONS = 10

function print (line: string): void {
  process.stdout.write(line + '\n')
}

/** Prints what a run showed. */
function printResult (result: SoakResult, minutes: number): void {
  const { seed, steps, cycles, faults, submissions, calls, starts, checks, ends, violations } = result
  print(`seed ${seed}: ${steps} steps in ${cycles} cycles, ${minutes.toFixed(1)} minutes`)
  print(`${faults} faults, ${submissions} submissions, ${calls} calls, ${starts} starts, ${checks} promises checked`)
  for (const [end, count] of [...ends].sort()) print(`  ${end}: ${count}`)
  print(`${violations.length} violations`)
  for (const { promise, detail, at } of violations.slice(0, SHOWN_VIOLATIONS)) print(`  ${at} ${promise}: ${detail}`)
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '10' },
    steps: { type: 'string', default: String(Number.MAX_SAFE_INTEGER) }
  }
})
const startedAt = performance.now()
const elapsedMinutes = (): number => (performance.now() - startedAt) / MILLISECONDS_PER_MINUTE
const result = runSoak({
  seed: Number(values.seed),
  maximumSteps: Number(values.steps),
  goesOn: () => elapsedMinutes() < Number(values.minutes)
})
printResult(result, elapsedMinutes())
process.exitCode = result.violations.length === 0 ? 0 : 1
