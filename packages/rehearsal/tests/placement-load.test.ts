import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { expectedWaitMilliseconds, Placement, type PlacementChoice, type PlacementRequest } from '@baobabpost/dispatching'
import { createFleet, runCounterWorkload, type WorkloadResult } from '@baobabpost/rehearsal'

/** Unlike upstreams, as on the lending desk: speed and room. */
const UPSTREAMS = [
  { speed: 0.6, processor: 64_000 }, { speed: 1, processor: 64_000 }, { speed: 1.6, processor: 96_000 }
]

/** Takes the upstream where the task should end first, and nothing else into account. */
class FastestEndPlacement extends Placement {
  override choose (question: PlacementRequest): PlacementChoice | undefined {
    let best: PlacementChoice | undefined
    for (const agent of question.candidates) {
      const { size, estimateMilliseconds } = question.task.step
      const waitMilliseconds = expectedWaitMilliseconds(agent, size.processor, question.priority)
      const finishMilliseconds = waitMilliseconds + estimateMilliseconds * agent.room.slowness
      if (best === undefined || finishMilliseconds < best.finishMilliseconds) {
        best = { agent, waitMilliseconds, finishMilliseconds }
      }
    }
    return best
  }
}

/** Plays three seconds of the desk's load at three entries. */
async function play (jobsPerSecond: number, placement?: () => Placement): Promise<WorkloadResult> {
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

/** Time for a play on a busy machine; nothing that is checked depends on it. */
const PLAY_TIMEOUT_MILLISECONDS = 180_000

describe('callers of unlike upstreams', { timeout: PLAY_TIMEOUT_MILLISECONDS }, () => {
  it('get their answers in time at the usual load', async () => {
    const load = await play(110)
    expect(load).toMatchObject({ answered: 1, refused: 0, violations: [] })
    expect(load.inTime).toBeGreaterThan(0.95)
  })

  it('get more in time in a burst than where the fastest end alone decides', async () => {
    const load = await play(170)
    const fastest = await play(170, () => new FastestEndPlacement())
    expect(load.violations).toEqual([])
    expect(load.answered).toBe(1)
    expect(load.inTime).toBeGreaterThan(fastest.inTime)
  })

  it('all get an answer when twice as much comes as there is room for', async () => {
    const load = await play(360)
    expect(load.violations).toEqual([])
    expect(load.answered).toBe(1)
  })
})
