import { describe, expect, test } from 'vitest'
import fc from 'fast-check'
import { fitSlope, probeConfiguration } from '@baobabpost/capacity'

describe('fitted slopes', () => {
  test('find the line that points lie on', () => {
    const number = fc.integer({ min: -1_000, max: 1_000 })
    const sizes = fc.uniqueArray(fc.nat(10_000), { minLength: 2, maxLength: 8 })
    fc.assert(fc.property(number, number, sizes, (perUnit, fixed, given) => {
      const points = given.map(size => ({ size, cost: fixed + perUnit * size }))
      const { perUnit: slope, fixed: start, fit } = fitSlope(points)
      expect(slope).toBeCloseTo(perUnit, 4)
      expect(start).toBeCloseTo(fixed, 2)
      expect(fit).toBeCloseTo(1, 4)
    }))
  })

  test('are refused where all sizes are the same', () => {
    expect(() => fitSlope([{ size: 3, cost: 1 }, { size: 3, cost: 2 }])).toThrow('two different sizes')
  })
})

test('a probe refuses to run without the collection of garbage that its figures need', () => {
  expect(() => probeConfiguration()).toThrow('--expose-gc')
})
