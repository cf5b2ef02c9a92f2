import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { expectedWaitMilliseconds, Placement, type PlacementChoice, type PlacementRequest } from '@baobabpost/dispatching'
import { createFleet, runCounterWorkload, type WorkloadResult } from '@baobabpost/rehearsal'

/** Upstreams of different speed and capacity, as at a lending counter. */
const UPSTREAMS = [
  { speed: 0.6, processor: 64_000 }, { speed: 1, processor: 64_000 }, { speed: 1.6, processor: 96_000 }
]

/** Chooses the upstream with the earliest expected finish, without any cost terms. */
class FastestFinishPlacement extends Placement {
  override choose (request: PlacementRequest): PlacementChoice | undefined {
    let best: PlacementChoice | undefined
    for (const agent of request.candidates) {
      const { size, estimateMilliseconds } = request.task.step
      const waitMilliseconds = expectedWaitMilliseconds(agent, size.processor, request.priority)
      const finishMilliseconds = waitMilliseconds + estimateMilliseconds * agent.load.slowness
      if (best === undefined || finishMilliseconds < best.finishMilliseconds) {
        best = { agent, waitMilliseconds, finishMilliseconds }
      }
    }
    return best
  }
}

/** Runs three seconds of the counter workload at three entries. */
async function runAtRate (jobsPerSecond: number, placement?: () => Placement): Promise<WorkloadResult> {
  const fleet = createFleet({
    entries: 3,
    upstreams: Array.from({ length: 9 }, (_, index) => {
      const { speed, processor } = UPSTREAMS[index % 3] ?? { speed: 1, processor: 64_000 }
      return { speed, capacity: { processor, memory: 131_072, accelerators: 0 } }
    }),
    ...(placement === undefined ? {} : { placement })
  })
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  await advance(2_000)
  return runCounterWorkload(fleet, { jobsPerSecond, seconds: 3, settleMilliseconds: 6_000, advance })
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

/** Long enough for a busy machine; no expectation depends on it. */
const RUN_TIMEOUT_MILLISECONDS = 180_000

describe('callers of upstreams of different speed', { timeout: RUN_TIMEOUT_MILLISECONDS }, () => {
  it('get their answers within the objective at the usual load', async () => {
    const load = await runAtRate(110)
    expect(load).toMatchObject({ answered: 1, refused: 0, violations: [] })
    expect(load.inTime).toBeGreaterThan(0.95)
  })

  it('get more answers within the objective in a burst than with a placement by expected finish alone', async () => {
    const load = await runAtRate(170)
    const fastest = await runAtRate(170, () => new FastestFinishPlacement())
    expect(load.violations).toEqual([])
    expect(load.answered).toBe(1)
    expect(load.inTime).toBeGreaterThan(fastest.inTime)
  })

  it('all get an answer when the load is twice the capacity', async () => {
    const load = await runAtRate(360)
    expect(load.violations).toEqual([])
    expect(load.answered).toBe(1)
  })
})
