import { describe, expect, it } from 'vitest'
import { createRunTimeModel, type RunTimeModel } from '@baobabpost/runs'

const KINDS = [{ route: 'urgent', estimateMilliseconds: 86 }, { route: 'other', estimateMilliseconds: 286 }]

/** Records runs of both kinds in turn at an upstream with a fixed part of 12 ms. */
function record (model: RunTimeModel, count: number, factor: number, longAt?: number): void {
  for (let index = 0; index < count; index += 1) {
    const work = KINDS[index % KINDS.length] ?? { route: 'urgent', estimateMilliseconds: 86 }
    const wave = 1 + 0.05 * Math.sin(index)
    model.recordDone(work, (12 + factor * work.estimateMilliseconds * wave) * (index === longAt ? 7 : 1))
  }
}

describe('the run times of an upstream', () => {
  it.each([0.625, 1, 1.67])('are learned within some tens of runs at a factor of %s', factor => {
    const model = createRunTimeModel(() => 1)
    record(model, 40, factor)
    for (const work of KINDS) {
      const expected = 12 + factor * work.estimateMilliseconds
      expect(Math.abs(model.expect(work) / expected - 1)).toBeLessThan(0.1)
    }
  })

  // A moving average of weight 0.1 took an upstream for 60 % slower after one task of 7 times its usual time.
  it('hardly change with a single run that takes 7 times as long', () => {
    const usual = createRunTimeModel(() => 1)
    const withLong = createRunTimeModel(() => 1)
    record(usual, 20, 1)
    record(withLong, 20, 1, 13)
    for (const work of KINDS) {
      expect(Math.abs(withLong.expect(work) / usual.expect(work) - 1)).toBeLessThan(0.05)
    }
  })

  it('keep their spread and tail with 3 % of the runs 7 times as long', () => {
    const usual = createRunTimeModel(() => 1)
    const withLong = createRunTimeModel(() => 1)
    record(usual, 96, 1)
    for (let index = 0; index < 3; index += 1) record(withLong, 32, 1, 7)
    expect(withLong.runTimes()[2]).toBeLessThan(usual.runTimes()[2] + 0.05)
    expect(withLong.runTimes()[3]).toBeLessThan(3 * usual.runTimes()[3] + 0.05)
  })

  it('follow a slow-down to a fifth within eight runs', () => {
    const model = createRunTimeModel(() => 1)
    record(model, 96, 1)
    record(model, 8, 5)
    expect(model.runTimes()[1]).toBeGreaterThan(4)
  })

  // Runs from before a route's factor was known would look like a spread of the upstream, and plans would avoid it.
  it('count earlier runs by the factor that is known now', () => {
    let urgentFactor = 1
    const model = createRunTimeModel(route => route === 'urgent' ? urgentFactor : 1)
    for (let index = 0; index < 20; index += 1) {
      model.recordDone({ route: 'urgent', estimateMilliseconds: 52 }, 98)
      model.recordDone({ route: 'other', estimateMilliseconds: 286 }, 298)
    }
    urgentFactor = 1.65
    record(model, 4, 1)
    const [fixed, factor, spread] = model.runTimes()
    expect(Math.abs(factor - 1)).toBeLessThan(0.05)
    expect(Math.abs(fixed - 12)).toBeLessThan(4)
    expect(spread).toBeLessThan(0.1)
  })

  it('are taken over from an earlier incarnation, unless this one has learned them', () => {
    const earlier = createRunTimeModel(() => 1)
    record(earlier, 60, 1.67)
    const restarted = createRunTimeModel(() => 1)
    expect(restarted.adopt(earlier.runTimes())).toBe(true)
    expect(restarted.runTimes()[1]).toBeCloseTo(earlier.runTimes()[1], 2)
    expect(restarted.adopt([0, 0.2, 0, 0, 96])).toBe(false)
    record(restarted, 20, 1.67)
    expect(Math.abs(restarted.runTimes()[1] - 1.67)).toBeLessThan(0.1)
  })
})
