/**
 * Checks that the simulation detects violations: with fencing rules removed or the memory of started tasks shortened,
 * tasks start twice, and the matrix and the soak run must report it.
 */
import { START_RULES, type StartRule } from '@baobabpost/execution'
import type { NotRunReason } from '@baobabpost/messages'
import { describe, expect, it } from 'vitest'
import { matrixCells, runCell } from '../src/matrix.js'
import { runSoak } from '../src/soak.js'

function rulesWithout (...reasons: readonly NotRunReason[]): readonly StartRule[] {
  return START_RULES.filter(({ reason }) => !reasons.includes(reason))
}

/** Returns the violated guarantees to callers, without the violated invariants inside the processes. */
function violatedGuarantees (violations: readonly { readonly guarantee: string }[]): string[] {
  return [...new Set(violations.map(({ guarantee }) => guarantee).filter(guarantee => !guarantee.startsWith('invariant ')))]
}

describe('weakened fencing', () => {
  it('the matrix detects agents that start tasks with a stale epoch or after their expiry', () => {
    const startRules = rulesWithout('stale-epoch', 'expired')
    const cells = matrixCells().filter(({ workKind, fault }) => workKind === 'submission' && /delayed and/.test(fault.name))
    expect(cells.flatMap(cell => runCell(cell, 1).violations)).toEqual([])
    const violations = cells.flatMap(cell => runCell(cell, 1, { startRules }).violations)
    expect(violatedGuarantees(violations)).toContain('no task starts twice')
  })

  it('the soak run detects agents that forget which tasks they started', () => {
    const agentOverrides = { keyWindowMilliseconds: 50, clockSkewMilliseconds: 0 }
    const result = runSoak({ seed: 11, maximumSteps: 60_000, agentOverrides })
    expect(violatedGuarantees(result.violations)).toContain('no task starts twice')
  })
})
