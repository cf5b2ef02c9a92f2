import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createFleet, type Fleet, type FleetAgent, type FleetJob } from '@baobabpost/rehearsal'

const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }
const JOB: FleetJob = {
  id: '0000000000000001',
  standInTask: { milliseconds: 2_500, size: { processor: 6_000, memory: 64, accelerators: 0 } },
  taskCount: 4,
  deadlineMilliseconds: 8_000
}

let fleet: Fleet

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
})

afterEach(() => { vi.useRealTimers() })

/** Sends a job, and cuts its entry off from the agents of its runs, so that connections between them are refused. */
async function cutOffRuns (runMilliseconds: number): Promise<readonly FleetAgent[]> {
  fleet = createFleet({ entries: 1, upstreams: Array.from({ length: 3 }, () => ({ capacity: CAPACITY, speed: 1 })) })
  await vi.advanceTimersByTimeAsync(2_000)
  const [entry] = fleet.entries
  if (entry === undefined) throw new Error('expected an entry')
  fleet.send(entry, JOB)
  await vi.advanceTimersByTimeAsync(runMilliseconds)
  const cutOff = fleet.agents.filter(({ standIn }) => standIn.runningCount() > 0)
  expect(cutOff.length).toBeGreaterThan(0)
  for (const { address } of cutOff) fleet.network.cutRefusing(entry.address, address)
  return cutOff
}

describe('an agent behind a cut that refuses connections', () => {
  it.each([0, 100, 200, 280, 400, 500, 600].flatMap(killedAfter =>
    [300, 340, 380, 420].map(runMilliseconds => [killedAfter, runMilliseconds] as const)
  ))('runs no task that runs elsewhere, if it is killed %i ms after the cut, at %i ms of the runs', async (killedAfter, runMilliseconds) => {
    const cutOff = await cutOffRuns(runMilliseconds)
    await vi.advanceTimersByTimeAsync(killedAfter)
    for (const agent of cutOff) fleet.killAgent(agent)
    await vi.advanceTimersByTimeAsync(8_000)
    expect(fleet.runLog.violations).toEqual([])
    expect([...fleet.runLog.startCounts.values()].some(count => count > 1)).toBe(true)
  })

  it('runs no task that runs elsewhere, if it is not killed', async () => {
    await cutOffRuns(300)
    await vi.advanceTimersByTimeAsync(8_000)
    expect(fleet.runLog.violations).toEqual([])
    expect([...fleet.runLog.startCounts.values()].some(count => count > 1)).toBe(true)
  })

  it('keeps its runs if the cut heals within the lease of the entry', async () => {
    const [agent] = await cutOffRuns(300)
    await vi.advanceTimersByTimeAsync(250)
    fleet.network.healAll()
    await vi.advanceTimersByTimeAsync(4_000)
    expect(agent).toBeDefined()
    expect([...fleet.runLog.startCounts.values()]).toEqual([1, 1, 1, 1])
  })
})
