import { it } from 'vitest'
import { matrixCells, runCell } from '../src/matrix.js'
it('probe', () => {
  const t0 = Date.now()
  const cells = matrixCells()
  const promises = new Map<string, number>()
  const ends = new Map<string, number>()
  const lines: string[] = []
  let checks = 0, steps = 0, struck = 0
  for (const cell of cells) {
    if (Date.now() - t0 > 280_000) { lines.push('timeout'); break }
    let r
    try { r = runCell(cell, 1) } catch (error) { lines.push(`${cell.life} | ${cell.fault.name} | ${cell.step.name}: THROW ${(error as Error).stack!.split('\n').slice(0, 4).join(' ')}`); continue }
    checks += r.checks; steps += r.steps; if (r.struck) struck += 1
    ends.set(`${cell.life} ${r.end}`, (ends.get(`${cell.life} ${r.end}`) ?? 0) + 1)
    for (const v of r.violations) promises.set(v.promise, (promises.get(v.promise) ?? 0) + 1)
    if (r.violations.length > 0) lines.push(`${cell.life} | ${cell.fault.name} | ${cell.step.name}: ${r.violations[0]!.promise} ${r.violations[0]!.detail} (${r.violations.length})`)
  }
  console.log(cells.length, 'cells', struck, 'struck', checks, 'checks', steps, 'steps', Date.now() - t0, 'ms')
  console.log([...ends], [...promises])
  console.log(lines.slice(0, 120).join('\n'))
}, 300000)
