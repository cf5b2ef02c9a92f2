import { describe, expect, it } from 'vitest'
import { runSoak } from '../src/soak.js'

const STEPS = 60_000
const SEEDS = [11, 12, 13]

describe('the soak run', () => {
  it.each(SEEDS)('no guarantee is violated, seed %i', seed => {
    const result = runSoak({ seed, maximumSteps: STEPS })
    process.stdout.write(`soak, seed ${seed}: ${result.stepCount} steps, ${result.faultCount} faults, ` +
      `${result.submissionCount} submissions, ${result.callCount} calls, ${result.checkCount} guarantee checks\n`)
    expect(result.violations).toEqual([])
    expect(result.submissionCount).toBeGreaterThan(50)
    expect(result.faultCount).toBeGreaterThan(10)
  })

  it('a seed gives the same run each time', () => {
    const [first, second] = [1, 2].map(() => runSoak({ seed: 5, maximumSteps: 10_000 }))
    expect(second).toEqual(first)
  })
})
