/** Command `npm run soak -- --seed N --minutes M [--steps S]`: runs the soak and prints its result. */
import { parseArgs } from 'node:util'
import { runSoak, type SoakResult } from './soak.js'

const MILLISECONDS_PER_MINUTE = 60_000
const MAXIMUM_SHOWN_VIOLATIONS = 10

function print (line: string): void {
  process.stdout.write(line + '\n')
}

function printResult (result: SoakResult, minutes: number): void {
  const {
    seed, stepCount, cycleCount, faultCount, submissionCount, callCount, startCount, checkCount, finalStates, violations
  } = result
  print(`seed ${seed}: ${stepCount} steps in ${cycleCount} cycles, ${minutes.toFixed(1)} minutes`)
  print(`${faultCount} faults, ${submissionCount} submissions, ${callCount} calls, ${startCount} starts, ${checkCount} guarantee checks`)
  for (const [finalState, count] of [...finalStates].sort()) print(`  ${finalState}: ${count}`)
  print(`${violations.length} violations`)
  for (const { guarantee, detail, at } of violations.slice(0, MAXIMUM_SHOWN_VIOLATIONS)) print(`  ${at} ${guarantee}: ${detail}`)
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
  mayContinue: () => elapsedMinutes() < Number(values.minutes)
})
printResult(result, elapsedMinutes())
process.exitCode = result.violations.length === 0 ? 0 : 1
