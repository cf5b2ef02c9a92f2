import { describe, expect, test } from 'vitest'
import fc from 'fast-check'
import { compareValues, formatTable } from '@baobabpost/command-line'

const cell = fc.string({ unit: 'grapheme-ascii', maxLength: 60 })

describe('tables', () => {
  test('fit any width that is at least that of columns of minimum width', () => {
    fc.assert(fc.property(fc.array(fc.tuple(cell, cell, cell)), fc.integer({ min: 28, max: 200 }), (rows, width) => {
      const columns = [{ title: 'NAME' }, { title: 'COUNT', isRightAligned: true }, { title: 'DETAIL' }]
      for (const line of formatTable(columns, rows, width).split('\n')) expect(line.length).toBeLessThanOrEqual(width)
    }))
  })

  test('are not truncated if the width is infinite', () => {
    expect(formatTable([{ title: 'A' }], [['x'.repeat(300)]], Number.POSITIVE_INFINITY)).toContain('x'.repeat(300))
  })
})

test('compareValues returns no differences if and only if the values are equal', () => {
  fc.assert(fc.property(fc.jsonValue(), fc.jsonValue(), (left, right) => {
    expect(compareValues(left, left)).toEqual([])
    const differ = compareValues(left, right).length > 0
    expect(differ).toBe(!equalJson(left, right))
  }))
})

function equalJson (left: unknown, right: unknown): boolean {
  const sorted = (value: unknown): unknown => value !== null && typeof value === 'object' && !Array.isArray(value)
    ? Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1).map(([name, member]) => [name, sorted(member)])
    : { value }
  return JSON.stringify(sorted(left)) === JSON.stringify(sorted(right))
}
