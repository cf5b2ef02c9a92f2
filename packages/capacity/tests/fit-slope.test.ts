import { describe, expect, test } from 'vitest'
import fc from 'fast-check'
import { fitSlope, probeConfiguration } from '@baobabpost/capacity'

describe('fitSlope', () => {
  test('returns the slope and intercept of the line on which all points lie', () => {
    const number = fc.integer({ min: -1_000, max: 1_000 })
    const sizes = fc.uniqueArray(fc.nat(10_000), { minLength: 2, maxLength: 8 })
    fc.assert(fc.property(number, number, sizes, (perUnit, fixed, given) => {
      const points = given.map(size => ({ size, cost: fixed + perUnit * size }))
      const { perUnit: slope, fixed: intercept, rSquared } = fitSlope(points)
      expect(slope).toBeCloseTo(perUnit, 4)
      expect(intercept).toBeCloseTo(fixed, 2)
      expect(rSquared).toBeCloseTo(1, 4)
    }))
  })

  test('throws when all sizes are equal', () => {
    expect(() => fitSlope([{ size: 3, cost: 1 }, { size: 3, cost: 2 }])).toThrow('needs at least two different sizes')
  })
})

test('a probe that measures memory throws when Node runs without --expose-gc', () => {
  expect(() => probeConfiguration()).toThrow('--expose-gc')
})
