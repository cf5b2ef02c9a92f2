import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createRandom } from '@baobabpost/common'
import { createFleet, type Fleet, type FleetAgent, type FleetEntry, type FleetJob } from '@baobabpost/rehearsal'

const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }
const JOB: FleetJob = {
  id: '0000000000000001',
  standInTask: { milliseconds: 4_000, size: { processor: 6_000, memory: 64, accelerators: 0 } },
  taskCount: 1,
  deadlineMilliseconds: 12_000
}

let fleet: Fleet
let entry: FleetEntry

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
})

afterEach(() => { vi.useRealTimers() })

/** Lets half of the list orders be carried out 2 to 12 s late, their leases counted from then, and starts a run. */
async function startRun (seed: number): Promise<FleetAgent> {
  fleet = createFleet({ entries: 1, upstreams: Array.from({ length: 3 }, () => ({ capacity: CAPACITY, speed: 1 })) })
  const random = createRandom(seed)
  for (const { standIn: { faults } } of fleet.agents) {
    faults.countsLeasesFromArrival = true
    faults.isListDelayed = () => {
      faults.orderDelayMilliseconds = 2_000 + random.below(10_000)
      return random.below(2) === 0
    }
  }
  const [first] = fleet.entries
  if (first === undefined) throw new Error('expected an entry')
  entry = first
  await vi.advanceTimersByTimeAsync(10_000)
  fleet.send(entry, JOB)
  await vi.advanceTimersByTimeAsync(500)
  const agent = fleet.agents.find(({ standIn }) => standIn.runningCount() > 0)
  if (agent === undefined) throw new Error('expected a run')
  return agent
}

describe('an upstream that carries out lease renewals late, and counts them from then', () => {
  it.each([5, 10, 11, 12, 13, 17])('runs no task that runs elsewhere, if its agent was killed (seed %i)', async seed => {
    const agent = await startRun(seed)
    fleet.killAgent(agent)
    await vi.advanceTimersByTimeAsync(6_000)
    expect(fleet.runLog.violations).toEqual([])
    expect(fleet.runLog.startCounts.get(`${JOB.id}.0.0.0`)).toBeGreaterThan(1)
  })

  it.each([1, 2, 3, 4, 5, 6])('runs no task that runs elsewhere, if its agent is cut off and its stops are lost (seed %i)', async seed => {
    const agent = await startRun(seed)
    agent.standIn.faults.losesStops = true
    fleet.network.cut(entry.address, agent.address)
    await vi.advanceTimersByTimeAsync(6_000)
    expect(fleet.runLog.violations).toEqual([])
    expect(fleet.runLog.startCounts.get(`${JOB.id}.0.0.0`)).toBeGreaterThan(1)
  })
})
