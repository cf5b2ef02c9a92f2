import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { expectedWait, Placement, type PlacementChoice, type PlacementQuestion } from '@baobabpost/dispatching'
import { createFleet, type FleetJob, type Sending } from '@baobabpost/rehearsal'

const SIZE = { processor: 6_200, memory: 64, accelerators: 0 }
/** Unlike upstreams, as on the lending desk: speed and room. */
const UPSTREAMS = [
  { speed: 0.6, processor: 64_000 }, { speed: 1, processor: 64_000 }, { speed: 1.6, processor: 96_000 }
]

/** Takes the upstream where the task should end first, and nothing else into account. */
class FastestEndPlacement extends Placement {
  override choose (question: PlacementQuestion): PlacementChoice | undefined {
    let best: PlacementChoice | undefined
    for (const agent of question.candidates) {
      const { size, estimateMilliseconds } = question.task.step
      const waitMilliseconds = expectedWait(agent, size.processor, question.priority)
      const finishMilliseconds = waitMilliseconds + estimateMilliseconds * agent.room.slowness
      if (best === undefined || finishMilliseconds < best.finishMilliseconds) {
        best = { agent, waitMilliseconds, finishMilliseconds }
      }
    }
    return best
  }
}

interface Load {
  /** Share of jobs that were answered within their objective. */
  readonly inTime: number
  readonly refused: number
  readonly answered: number
  readonly violations: readonly string[]
}

/** Plays three seconds of jobs of three kinds at three entries, with a seeded order. */
async function play (jobsPerSecond: number, placement?: () => Placement): Promise<Load> {
  const fleet = createFleet({
    entries: 3,
    upstreams: Array.from({ length: 9 }, (_, index) => {
      const { speed, processor } = UPSTREAMS[index % 3] ?? { speed: 1, processor: 64_000 }
      return { speed, capacity: { processor, memory: 131_072, accelerators: 0 } }
    }),
    ...(placement === undefined ? {} : { placement })
  })
  await vi.advanceTimersByTimeAsync(2_000)
  let seed = 17
  const random = (): number => {
    seed = (seed * 16_807) % 2_147_483_647
    return seed / 2_147_483_647
  }
  const sent: Array<{ sending: Sending, job: FleetJob, at: number }> = []
  const count = Math.round(jobsPerSecond * 3)
  for (let number = 0; number < count; number += 1) {
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
    const entry = fleet.entries[Math.floor(3 * random() ** 1.5)]
    if (entry !== undefined) sent.push({ sending: fleet.send(entry, job), job, at: performance.now() })
    await vi.advanceTimersByTimeAsync(1_000 / jobsPerSecond)
  }
  await vi.advanceTimersByTimeAsync(6_000)
  let inTime = 0
  let refused = 0
  let answered = 0
  for (const { sending, job, at } of sent) {
    if (sending.answer !== undefined) answered += 1
    if (sending.answer?.kind === 'refused') refused += 1
    const objective = 1.6 * job.work.milliseconds + 60
    if (sending.answer?.kind === 'completed' && sending.answeredAt - at <= objective) inTime += 1
  }
  return {
    inTime: inTime / sent.length, refused, answered: answered / sent.length, violations: fleet.ledger.violations
  }
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
