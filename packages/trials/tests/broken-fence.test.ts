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
function brokenGuarantees (violations: readonly { readonly guarantee: string }[]): string[] {
  return [...new Set(violations.map(({ guarantee }) => guarantee).filter(guarantee => !guarantee.startsWith('invariant ')))]
}

describe('a broken fence', () => {
  it('agents that start under any epoch, at any time, make the matrix red', () => {
    const startRules = rulesWithout('stale-epoch', 'expired')
    const cells = matrixCells().filter(({ workKind, fault }) => workKind === 'submission' && /delayed and/.test(fault.name))
    expect(cells.flatMap(cell => runCell(cell, 1).violations)).toEqual([])
    const violations = cells.flatMap(cell => runCell(cell, 1, { startRules }).violations)
    expect(brokenGuarantees(violations)).toContain('no task starts twice')
  })

  it('agents that forget what they started make the randomised run red', () => {
    const agentOverrides = { keyWindowMilliseconds: 50, clockSkewMilliseconds: 0 }
    const result = runSoak({ seed: 11, maximumSteps: 60_000, agentOverrides })
    expect(brokenGuarantees(result.violations)).toContain('no task starts twice')
  })
})
