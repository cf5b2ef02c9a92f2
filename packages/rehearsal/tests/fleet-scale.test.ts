import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { CallName } from '@baobabpost/fleet-calls'
import { createFleet, runCounterWorkload, type WorkloadResult, type Fleet } from '@baobabpost/rehearsal'

const ENTRIES = 8
const UPSTREAMS = [
  { speed: 0.7, processor: 64_000 }, { speed: 0.7, processor: 64_000 }, { speed: 1.7, processor: 96_000 }
]

/** Results of a workload, and the calls that the processes made for it. */
interface LargeFleetResult extends WorkloadResult {
  readonly callsPerJob: Readonly<Partial<Record<CallName, number>>>
  /** Watch calls per second and entry while there is no work. */
  readonly idleWatches: number
}

function createLargeFleet (upstreams: number): Fleet {
  return createFleet({
    entries: ENTRIES,
    upstreams: Array.from({ length: upstreams }, (_, index) => {
      const { speed, processor } = UPSTREAMS[index % 3] ?? { speed: 1, processor: 64_000 }
      return { speed, capacity: { processor, memory: 131_072, accelerators: 0 } }
    })
  })
}

/** Runs two seconds of the counter workload after ten seconds without work. */
async function runAtRate (upstreams: number, jobsPerSecond: number): Promise<LargeFleetResult> {
  const fleet = createLargeFleet(upstreams)
  const { callCounts } = fleet.network
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  await advance(5_000)
  callCounts.clear()
  await advance(5_000)
  const idleWatches = (callCounts.get('watch') ?? 0) / 5 / ENTRIES
  callCounts.clear()
  const result = await runCounterWorkload(fleet, { jobsPerSecond, seconds: 2, settleMilliseconds: 2_500, advance })
  const callsPerJob: Partial<Record<CallName, number>> = {}
  for (const [name, count] of callCounts) callsPerJob[name] = count / result.jobs
  return { ...result, callsPerJob, idleWatches }
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

/** Long enough for a busy machine; no expectation depends on it. */
const RUN_TIMEOUT_MILLISECONDS = 180_000
/** Limit for an entry without work: 13 KB/s of control traffic at 669 bytes per watch call. */
const IDLE_WATCHES_PER_SECOND = 19.4

describe('a large fleet', { timeout: RUN_TIMEOUT_MILLISECONDS }, () => {
  it('limits the calls per job, and the watch calls while there is no work', async () => {
    const load = await runAtRate(30, 240)
    expect(load.violations).toEqual([])
    expect(load.inTime).toBeGreaterThan(0.98)
    expect(load.callsPerJob.start).toBeLessThan(2)
    expect(load.callsPerJob.watch).toBeLessThan(3)
    expect(load.idleWatches).toBeLessThan(IDLE_WATCHES_PER_SECOND)
  })
})
