import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { CallName } from '@baobabpost/fleet-calls'
import { createFleet, runCounterWorkload, type WorkloadResult, type Fleet } from '@baobabpost/rehearsal'

const ENTRIES = 8
const UPSTREAMS = [
  { speed: 0.7, processor: 64_000 }, { speed: 0.7, processor: 64_000 }, { speed: 1.7, processor: 96_000 }
]

/** What a load brought to callers, and what the processes spent on each other. */
interface Load extends WorkloadResult {
  readonly callsPerJob: Readonly<Partial<Record<CallName, number>>>
  /** Watches a second of an entry without work. */
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

/** Plays two seconds of the desk's load after ten quiet seconds. */
async function play (upstreams: number, jobsPerSecond: number): Promise<Load> {
  const fleet = createLargeFleet(upstreams)
  const { callCounts } = fleet.network
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  await advance(5_000)
  callCounts.clear()
  await advance(5_000)
  const idleWatches = (callCounts.get('watch') ?? 0) / 5 / ENTRIES
  callCounts.clear()
  const load = await runCounterWorkload(fleet, { jobsPerSecond, seconds: 2, settleMilliseconds: 2_500, advance })
  const callsPerJob: Partial<Record<CallName, number>> = {}
  for (const [name, count] of callCounts) callsPerJob[name] = count / load.jobs
  return { ...load, callsPerJob, idleWatches }
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

/** Time for a play on a busy machine; nothing that is checked depends on it. */
const PLAY_TIMEOUT_MILLISECONDS = 180_000
/** 13 KB/s of control at 669 bytes a watch. */
const IDLE_WATCHES_PER_SECOND = 19.4

describe('a large fleet', { timeout: PLAY_TIMEOUT_MILLISECONDS }, () => {
  it('spends calls by its work, and few while there is none', async () => {
    const load = await play(30, 240)
    expect(load.violations).toEqual([])
    expect(load.inTime).toBeGreaterThan(0.98)
    expect(load.callsPerJob.start).toBeLessThan(2)
    expect(load.callsPerJob.watch).toBeLessThan(3)
    expect(load.idleWatches).toBeLessThan(IDLE_WATCHES_PER_SECOND)
  })
})
