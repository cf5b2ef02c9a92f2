/** The whole matrix, split so that several workers share it; it prints its size and what it checked. */
import { describe, expect, it } from 'vitest'
import { FAULTS } from '../src/faults.js'
import { type CellResult, matrixCells, runCell } from '../src/matrix.js'

const SEED = Number(process.env['MATRIX_SEED'] ?? 1)
const MINIMUM_STRUCK_SHARE = 0.9

function describeViolations ({ cell, violations }: CellResult): string[] {
  return violations.map(({ promise, detail }) =>
    `${cell.life}: ${cell.fault.name}, as it ${cell.step.name}: ${promise} (${detail})`)
}

describe('every fault at every step', () => {
  const results: CellResult[] = []

  it.each(FAULTS.map(({ name }) => name))('no promise is broken: %s', name => {
    const cells = matrixCells().filter(({ fault }) => fault.name === name)
    const mine = cells.map(cell => runCell(cell, SEED))
    results.push(...mine)
    expect(mine.flatMap(describeViolations)).toEqual([])
  })

  it('is the product of the lists, and its faults strike', () => {
    expect(results).toHaveLength(matrixCells().length)
    const struck = results.filter(result => result.struck).length
    const ends = new Map<string, number>()
    for (const { cell, end } of results) ends.set(`${cell.life} ${end}`, (ends.get(`${cell.life} ${end}`) ?? 0) + 1)
    const sum = (select: (result: CellResult) => number): number =>
      results.reduce((total, result) => total + select(result), 0)
    process.stdout.write(
      `matrix, seed ${SEED}: ${results.length} cells, the fault struck in ${struck}; ` +
      `${sum(result => result.checks)} promises checked in ${sum(result => result.steps)} steps; ends: ` +
      [...ends].sort().map(([end, count]) => `${end} ${count}`).join(', ') + '\n')
    expect(struck / results.length).toBeGreaterThan(MINIMUM_STRUCK_SHARE)
  })
})
