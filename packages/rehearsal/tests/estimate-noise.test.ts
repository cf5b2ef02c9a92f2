import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { LearnedRunTimes, type JobRequest } from '@baobabpost/dispatching'
import { createFleet, runUnevenWorkload, UNEVEN_JOB_MILLISECONDS, type UnevenWorkloadResult } from '@baobabpost/rehearsal'

const SPEEDS = [0.7, 0.7, 1.7]
const UPSTREAMS = 9
const SLOTS = 8
const FULL_RATE = SPEEDS.reduce((sum, speed) => sum + speed, 0) / SPEEDS.length * UPSTREAMS * SLOTS *
  1_000 / UNEVEN_JOB_MILLISECONDS

/** Learned run times that take each estimate as it is. */
class UncorrectedRunTimes extends LearnedRunTimes {
  override correctEstimates (request: JobRequest): JobRequest {
    return request
  }
}

async function run (use: number, isCorrected: boolean): Promise<UnevenWorkloadResult> {
  const fleet = createFleet({
    entries: 3,
    upstreams: Array.from({ length: UPSTREAMS }, (_, index) => ({
      speed: SPEEDS[index % SPEEDS.length] ?? 1,
      capacity: { processor: 5_000 * SLOTS, memory: 131_072, accelerators: 0 }
    })),
    fixedMilliseconds: 12,
    runTimes: () => isCorrected ? new LearnedRunTimes(silentLogger) : new UncorrectedRunTimes(silentLogger)
  })
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  await advance(2_000)
  return runUnevenWorkload(fleet, {
    jobsPerSecond: use * FULL_RATE,
    seconds: 16,
    warmUpSeconds: 2,
    settleMilliseconds: 2_500,
    lengthVariation: 0.6,
    estimateVariation: 0.5,
    taskVariation: 0.25,
    advance
  })
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

// Jobs whose estimates are too low, each by another factor, were refused or placed by an objective shorter than theirs.
it.each([0.8, 1])('serves more jobs in time with estimates off by job at %s of the capacity', async use => {
  const corrected = await run(use, true)
  const uncorrected = await run(use, false)
  expect(corrected.violations).toEqual([])
  expect(corrected.inTime).toBeGreaterThan(uncorrected.inTime)
}, 180_000)

// With a margin for all of the spread of run times no upstream seemed fast enough for a job whose slack is a share of
// its length, although a job longer than estimated has a longer objective too: most long jobs were refused.
it('serves the long jobs of such a load nearly always in time', async () => {
  const result = await run(0.8, true)
  expect(result.byRoute.get('long')?.inTime).toBeGreaterThanOrEqual(0.9)
}, 60_000)
