/** Runs the matrix cells of one kind of work, checks that no guarantee is violated, and prints a summary. */
import { describe, expect, it } from 'vitest'
import { FAULTS } from '../src/matrix-faults.js'
import { type CellResult, type WorkKind, matrixCells, runCell } from '../src/matrix.js'

const SEED = Number(process.env['MATRIX_SEED'] ?? 1)
const MINIMUM_INJECTED_SHARE = 0.9

function describeViolations ({ cell, violations }: CellResult): string[] {
  return violations.map(({ guarantee, detail }) =>
    `${cell.workKind}: ${cell.fault.name}, when it ${cell.step.name}: ${guarantee} (${detail})`)
}

function printSummary (workKind: WorkKind, results: readonly CellResult[]): void {
  const finalStates = new Map<string, number>()
  for (const { finalState } of results) finalStates.set(finalState, (finalStates.get(finalState) ?? 0) + 1)
  const sum = (select: (result: CellResult) => number): number =>
    results.reduce((total, result) => total + select(result), 0)
  process.stdout.write(
    `matrix of ${workKind}s, seed ${SEED}: ${results.length} cells, the fault was injected in ` +
    `${sum(({ wasInjected }) => wasInjected ? 1 : 0)}; ${sum(({ checkCount }) => checkCount)} guarantee checks in ` +
    `${sum(({ stepCount }) => stepCount)} steps; final states: ` +
    [...finalStates].sort().map(([finalState, count]) => `${finalState} ${count}`).join(', ') + '\n')
}

/** Defines the tests of one part of the matrix: the faults whose index modulo `parts` is `part`. */
export function checkMatrix (workKind: WorkKind, parts: number, part: number): void {
  const faults = FAULTS.filter((_fault, index) => index % parts === part)
  const cells = matrixCells().filter(cell => cell.workKind === workKind && faults.includes(cell.fault))
  const results: CellResult[] = []

  describe(`every fault at every step of a ${workKind}, part ${part + 1} of ${parts}`, () => {
    it.each(faults.map(({ name }) => name))('no guarantee is violated: %s', name => {
      const faultResults = cells.filter(({ fault }) => fault.name === name).map(cell => runCell(cell, SEED))
      results.push(...faultResults)
      expect(faultResults.flatMap(describeViolations)).toEqual([])
    })

    it('runs all cells and injects the fault in nearly all of them', () => {
      printSummary(workKind, results)
      expect(results).toHaveLength(cells.length)
      expect(results.filter(({ wasInjected }) => wasInjected).length / results.length)
        .toBeGreaterThan(MINIMUM_INJECTED_SHARE)
    })
  })
}
