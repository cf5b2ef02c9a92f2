import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SlownessEstimates } from '@baobabpost/dispatching'
import {
  createFleet, runUnevenWorkload, UNEVEN_JOB_MILLISECONDS, UNEVEN_TASK_SIZE, type UnevenWorkloadResult
} from '@baobabpost/rehearsal'

const UPSTREAMS = 8
const PROCESSOR = 40_000
const FULL_RATE = UPSTREAMS * Math.floor(PROCESSOR / UNEVEN_TASK_SIZE.processor) * 1_000 / UNEVEN_JOB_MILLISECONDS
/** Time at which one upstream slows down to a fifth; the jobs from then on are counted. */
const SLOW_FROM_SECONDS = 2

async function run (isEarlier: boolean): Promise<UnevenWorkloadResult> {
  const fleet = createFleet({
    entries: 3,
    upstreams: Array.from({ length: UPSTREAMS }, () => (
      { speed: 1, capacity: { processor: PROCESSOR, memory: 131_072, accelerators: 0 } })),
    fixedMilliseconds: 12,
    ...(isEarlier ? { runTimes: () => new SlownessEstimates() } : {})
  })
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  await advance(2_000)
  const slow = fleet.agents[0]?.standIn
  let isSlow = false
  return runUnevenWorkload(fleet, {
    jobsPerSecond: 0.5 * FULL_RATE,
    seconds: 5,
    warmUpSeconds: SLOW_FROM_SECONDS,
    settleMilliseconds: 2_500,
    advance,
    onTime: seconds => {
      if (seconds >= SLOW_FROM_SECONDS && !isSlow) {
        isSlow = true
        slow?.setSpeed(0.2)
      }
    }
  })
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

/** Long enough for a busy machine; no expectation depends on it. */
const RUN_TIMEOUT_MILLISECONDS = 180_000

describe('an upstream that slows down to a fifth without a word', { timeout: RUN_TIMEOUT_MILLISECONDS }, () => {
  // A moving average of ended runs alone learns of a slow-down when the first slow runs end, five times too late.
  it('costs no more jobs their objective than with the earlier model, and no task is started twice at once', async () => {
    const learned = await run(false)
    const earlier = await run(true)
    expect(learned.violations).toEqual([])
    expect(learned.inTime).toBeGreaterThanOrEqual(earlier.inTime)
  })
})
