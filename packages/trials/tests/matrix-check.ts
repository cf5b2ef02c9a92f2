/** Runs the cells of one kind of life and checks them; prints the size of the matrix and what it checked. */
import { describe, expect, it } from 'vitest'
import { FAULTS } from '../src/matrix-faults.js'
import { type CellResult, type WorkKind, matrixCells, runCell } from '../src/matrix.js'

const SEED = Number(process.env['MATRIX_SEED'] ?? 1)
const MINIMUM_STRUCK_SHARE = 0.9

function describeViolations ({ cell, violations }: CellResult): string[] {
  return violations.map(({ promise, detail }) =>
    `${cell.life}: ${cell.fault.name}, as it ${cell.step.name}: ${promise} (${detail})`)
}

function printSummary (life: WorkKind, results: readonly CellResult[]): void {
  const ends = new Map<string, number>()
  for (const { end } of results) ends.set(end, (ends.get(end) ?? 0) + 1)
  const sum = (select: (result: CellResult) => number): number =>
    results.reduce((total, result) => total + select(result), 0)
  process.stdout.write(
    `matrix of ${life}s, seed ${SEED}: ${results.length} cells, the fault struck in ` +
    `${sum(({ struck }) => struck ? 1 : 0)}; ${sum(({ checks }) => checks)} promises checked in ` +
    `${sum(({ steps }) => steps)} steps; ends: ` +
    [...ends].sort().map(([end, count]) => `${end} ${count}`).join(', ') + '\n')
}

/** Defines the tests of one part of the matrix: the faults whose place leaves the given rest. */
export function checkMatrix (life: WorkKind, parts: number, part: number): void {
  const faults = FAULTS.filter((_fault, place) => place % parts === part)
  const cells = matrixCells().filter(cell => cell.life === life && faults.includes(cell.fault))
  const results: CellResult[] = []

  describe(`every fault at every step of a ${life}, part ${part + 1} of ${parts}`, () => {
    it.each(faults.map(({ name }) => name))('no promise is broken: %s', name => {
      const mine = cells.filter(({ fault }) => fault.name === name).map(cell => runCell(cell, SEED))
      results.push(...mine)
      expect(mine.flatMap(describeViolations)).toEqual([])
    })

    it('all cells ran, and the faults strike', () => {
      printSummary(life, results)
      expect(results).toHaveLength(cells.length)
      expect(results.filter(({ struck }) => struck).length / results.length).toBeGreaterThan(MINIMUM_STRUCK_SHARE)
    })
  })
}
