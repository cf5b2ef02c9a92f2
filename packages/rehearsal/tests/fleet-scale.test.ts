import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { CallName } from '@baobabpost/fleet-calls'
import { createFleet, type Fleet, type FleetJob, type Sending } from '@baobabpost/rehearsal'

const SIZE = { processor: 6_200, memory: 64, accelerators: 0 }
const ENTRIES = 8
const UPSTREAMS = [
  { speed: 0.7, processor: 64_000 }, { speed: 0.7, processor: 64_000 }, { speed: 1.7, processor: 96_000 }
]

/** What a load brought to callers, and what the processes spent on each other. */
interface Load {
  readonly inTime: number
  readonly calls: Readonly<Partial<Record<CallName, number>>>
  readonly idleWatches: number
  readonly violations: readonly string[]
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

/** Plays two seconds of jobs of three kinds, with a seeded order, after ten quiet seconds. */
async function play (upstreams: number, jobsPerSecond: number): Promise<Load> {
  const fleet = createLargeFleet(upstreams)
  const { callCounts } = fleet.network
  await vi.advanceTimersByTimeAsync(5_000)
  callCounts.clear()
  await vi.advanceTimersByTimeAsync(5_000)
  const idleWatches = (callCounts.get('watch') ?? 0) / 5 / ENTRIES
  callCounts.clear()
  let seed = 17
  const random = (): number => {
    seed = (seed * 16_807) % 2_147_483_647
    return seed / 2_147_483_647
  }
  const sent: Array<{ sending: Sending, job: FleetJob, at: number }> = []
  for (let number = 0; number < jobsPerSecond * 2; number += 1) {
    const kind = random()
    const [base, tasks, priority] = kind < 0.24 ? [86, 8, 0] : kind < 0.29 ? [1_286, 4, 2] : [286, 2, 1]
    const milliseconds = base * (0.7 + 0.6 * random())
    const job: FleetJob = {
      id: number.toString(16).padStart(16, '0'),
      work: { milliseconds, size: SIZE },
      taskCount: tasks,
      priority,
      estimateMilliseconds: milliseconds * (0.7 + 0.6 * random())
    }
    const entry = fleet.entries[Math.floor(ENTRIES * random() ** 1.5)]
    if (entry !== undefined) sent.push({ sending: fleet.send(entry, job), job, at: performance.now() })
    await vi.advanceTimersByTimeAsync(1_000 / jobsPerSecond)
  }
  await vi.advanceTimersByTimeAsync(2_500)
  let inTime = 0
  for (const { sending, job, at } of sent) {
    const objective = 1.6 * job.work.milliseconds + 60
    if (sending.answer?.kind === 'completed' && sending.answeredAt - at <= objective) inTime += 1
  }
  const calls: Partial<Record<CallName, number>> = {}
  for (const [name, count] of callCounts) calls[name] = count / sent.length
  return { inTime: inTime / sent.length, calls, idleWatches, violations: fleet.ledger.violations }
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
    expect(load.calls.start).toBeLessThan(2)
    expect(load.calls.watch).toBeLessThan(3)
    expect(load.idleWatches).toBeLessThan(IDLE_WATCHES_PER_SECOND)
  })
})
