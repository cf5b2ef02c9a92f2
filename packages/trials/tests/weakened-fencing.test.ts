/** The trials can fail: with a rule of the fence taken out on purpose, they find that promises are broken. */
import { START_RULES, type StartRule } from '@baobabpost/execution'
import type { NotRunReason } from '@baobabpost/messages'
import { describe, expect, it } from 'vitest'
import { matrixCells, runCell } from '../src/matrix.js'
import { runSoak } from '../src/soak.js'

function rulesWithout (...reasons: readonly NotRunReason[]): readonly StartRule[] {
  return START_RULES.filter(({ reason }) => !reasons.includes(reason))
}

/** Promises that callers would see broken; the asserted invariants of the agent itself are left out. */
function promisesBroken (violations: readonly { readonly promise: string }[]): string[] {
  return [...new Set(violations.map(({ promise }) => promise).filter(promise => !promise.startsWith('invariant ')))]
}

describe('a broken fence', () => {
  it('agents that start under any epoch, at any time, make the matrix red', () => {
    const startRules = rulesWithout('stale-epoch', 'expired')
    const cells = matrixCells().filter(({ life, fault }) => life === 'submission' && /delayed and/.test(fault.name))
    expect(cells.flatMap(cell => runCell(cell, 1).violations)).toEqual([])
    const violations = cells.flatMap(cell => runCell(cell, 1, { startRules }).violations)
    expect(promisesBroken(violations)).toContain('no task starts twice')
  })

  it('agents that forget what they started make the randomised run red', () => {
    const agentChanges = { keyWindowMilliseconds: 50, clockSkewMilliseconds: 0 }
    const result = runSoak({ seed: 11, maximumSteps: 60_000, agentChanges })
    expect(promisesBroken(result.violations)).toContain('no task starts twice')
  })
})
