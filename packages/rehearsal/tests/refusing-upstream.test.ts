// Guards against starting tasks elsewhere, or failing their jobs, while an upstream that refuses connections runs them.
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createFleet, type Fleet, type FleetAgent, type JobSubmission } from '@baobabpost/rehearsal'

const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }
const SIZE = { processor: 3_000, memory: 64, accelerators: 0 }
const JOB_INTERVAL_MILLISECONDS = 60
const DEADLINE_MILLISECONDS = 8_000
/** Time between two cuts, in which the runs of the last one are done. */
const CALM_MILLISECONDS = 3_000

let fleet: Fleet
let submissions: JobSubmission[]

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
  fleet = createFleet({ entries: 2, upstreams: Array.from({ length: 5 }, () => ({ capacity: CAPACITY, speed: 1 })) })
  submissions = []
  await vi.advanceTimersByTimeAsync(2_000)
})

afterEach(() => { vi.useRealTimers() })

/** Advances the time while both entries get jobs of two tasks in turn; every fourth job has long tasks if any has. */
async function load (milliseconds: number, longMilliseconds = 700): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += JOB_INTERVAL_MILLISECONDS) {
    const number = submissions.length
    const entry = fleet.entries[number % fleet.entries.length]
    if (entry === undefined) throw new Error('the fleet has no entry')
    submissions.push(fleet.send(entry, {
      id: number.toString(16).padStart(16, '0'),
      standInTask: { milliseconds: number % 4 === 0 ? longMilliseconds : 700, size: SIZE },
      taskCount: 2,
      deadlineMilliseconds: DEADLINE_MILLISECONDS
    }))
    await vi.advanceTimersByTimeAsync(JOB_INTERVAL_MILLISECONDS)
  }
}

/** Cuts each upstream off in turn for some time, during which its runs go on. */
async function cutEach (
  milliseconds: number, during?: (agent: FleetAgent) => Promise<void>, longMilliseconds?: number
): Promise<void> {
  await load(1_000, longMilliseconds)
  for (const agent of fleet.agents) {
    agent.standIn.faults.refusesConnections = true
    await during?.(agent)
    await load(milliseconds, longMilliseconds)
    agent.standIn.faults.refusesConnections = false
    await load(CALM_MILLISECONDS, longMilliseconds)
  }
  await vi.advanceTimersByTimeAsync(DEADLINE_MILLISECONDS)
}

function unserved (): readonly JobSubmission[] {
  return submissions.filter(({ answer }) => answer?.kind !== 'completed')
}

describe('an upstream that refuses connections while its runs go on', { timeout: 60_000 }, () => {
  it.each([150, 400, 1_000, 2_500])('for %i ms runs no task that runs elsewhere, and fails no job', async milliseconds => {
    await cutEach(milliseconds)
    expect(fleet.runLog.violations).toEqual([])
    expect(unserved()).toEqual([])
  })

  it('runs no task that runs elsewhere if its agent is killed and starts again during the cut', async () => {
    await cutEach(900, async agent => {
      await load(100)
      fleet.killAgent(agent)
      fleet.startAgent(agent)
    })
    expect(fleet.runLog.violations).toEqual([])
    expect(unserved()).toEqual([])
  })

  it('for a short time keeps its long runs, which are not started again', async () => {
    await cutEach(300, undefined, 3_000)
    expect(fleet.runLog.violations).toEqual([])
    expect(unserved()).toEqual([])
    expect(Math.max(...fleet.runLog.startCounts.values())).toBe(1)
  })
})

describe('an upstream that ends', () => {
  /** Returns the times from the end of the fullest upstream to the next starts of its tasks. */
  async function measureRestarts (downMilliseconds: number): Promise<number[]> {
    await load(1_000)
    const ended = fleet.agents.reduce((fullest, agent) =>
      agent.standIn.runningCount() > fullest.standIn.runningCount() ? agent : fullest)
    const before = new Map(fleet.runLog.startCounts)
    const endedAt = performance.now()
    const lostCount = ended.standIn.runningCount()
    ended.standIn.crash(downMilliseconds)
    const restarts: number[] = []
    const waiting = new Set(before.keys())
    while (performance.now() < endedAt + 1_500) {
      await vi.advanceTimersByTimeAsync(1)
      for (const task of waiting) {
        if (fleet.runLog.startCounts.get(task) === before.get(task)) continue
        waiting.delete(task)
        restarts.push(performance.now() - endedAt)
      }
    }
    expect(lostCount).toBeGreaterThan(0)
    expect(restarts).toHaveLength(lostCount)
    return restarts
  }

  it('has its tasks start elsewhere within 60 ms after it is back', async () => {
    expect(Math.max(...await measureRestarts(200))).toBeLessThanOrEqual(260)
  })

  // The lease of an upstream that has answered is over 428 ms after the last listing that reached it.
  it('for good has its tasks start elsewhere when the lease is over, though it has refused start orders since', async () => {
    expect(Math.max(...await measureRestarts(10_000))).toBeLessThanOrEqual(450)
  })
})
