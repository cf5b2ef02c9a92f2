import { describe, expect, it } from 'vitest'
import { createPace, type PresentRun } from '@baobabpost/runs'

const EXPECTED_MILLISECONDS = 1_000

/** Runs that were all started at time 0, with the progress of each. */
function runsAt (now: number, percents: readonly number[]): PresentRun[] {
  return percents.map((percent, index) => ({
    task: `task-${index}`, run: 1, percent, elapsedMilliseconds: now, expectedMilliseconds: EXPECTED_MILLISECONDS
  }))
}

describe('the pace of an upstream', () => {
  it('shows a slow-down to a fifth from the progress of runs that are not late yet', () => {
    const pace = createPace()
    pace.observe(runsAt(100, [10, 10, 10]), 100)
    pace.observe(runsAt(400, [16, 16, 16]), 400)
    expect(pace.pace()).toBeCloseTo(5)
  })

  // Three tasks in a hundred take 7 times as long, at upstreams that are not slow.
  it('is not changed by one late run among others', () => {
    const pace = createPace()
    pace.observe(runsAt(100, [2, 10, 10]), 100)
    pace.observe(runsAt(400, [6, 40, 40]), 400)
    expect(pace.pace()).toBe(1)
  })

  it('is not changed by a late run that is alone, or beside runs that have just ended in time', () => {
    const pace = createPace()
    pace.observe(runsAt(4_000, [50]), 4_000)
    expect(pace.pace()).toBe(1)
    for (const at of [4_010, 4_050, 4_090]) pace.recordDone(1, at)
    pace.observe(runsAt(4_100, [50, 50]), 4_100)
    expect(pace.pace()).toBe(1)
  })

  it('is 1 again once the runs are in time', () => {
    const pace = createPace()
    pace.observe(runsAt(5_000, [50, 50]), 5_000)
    expect(pace.pace()).toBeGreaterThan(1)
    for (const at of [5_100, 5_110, 5_120]) pace.recordDone(1, at)
    pace.observe([], 5_130)
    expect(pace.pace()).toBe(1)
  })
})
