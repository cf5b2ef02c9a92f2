import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import {
  createFleet, RESEND_MILLISECONDS, type Fleet, type FleetAgent, type FleetEntry, type FleetJob
} from '@baobabpost/rehearsal'

const SIZE = { processor: 6_000, memory: 64, accelerators: 0 }
const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }

let fleet: Fleet
let entry: FleetEntry
let other: FleetEntry

/** Long jobs, so that a run which is not stopped is still there when its task starts elsewhere. */
const JOBS: readonly FleetJob[] = Array.from({ length: 8 }, (_, index) => ({
  id: (index + 1).toString(16).padStart(16, '0'),
  standInTask: { milliseconds: 2_500, size: SIZE },
  taskCount: 4,
  deadlineMilliseconds: 6_000
}))

/** Orders are carried out only after the end of the test. */
function loseOrders (agents: readonly FleetAgent[], isLosing: boolean): void {
  for (const { standIn: { faults } } of agents) {
    faults.isOrderDelayed = () => isLosing
    faults.orderDelayMilliseconds = 60_000
  }
}

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
  fleet = createFleet({ entries: 2, upstreams: Array.from({ length: 8 }, () => ({ capacity: CAPACITY, speed: 1 })) })
  const [first, second] = fleet.entries
  if (first === undefined || second === undefined) throw new Error('expected two entries')
  entry = first
  other = second
  await vi.advanceTimersByTimeAsync(2_000)
})

afterEach(() => { vi.useRealTimers() })

describe('a fleet whose upstreams lose every order for a while never runs a task twice at once', () => {
  it.each([0, 20, 40, 60, 80])('when its entry is killed %i ms after a second, and its caller sends the job again', async milliseconds => {
    for (const job of JOBS) fleet.send(entry, job)
    await vi.advanceTimersByTimeAsync(1_000 + milliseconds)
    loseOrders(fleet.agents, true)
    fleet.killEntry(entry)
    await vi.advanceTimersByTimeAsync(RESEND_MILLISECONDS)
    const resubmissions = JOBS.map(job => fleet.send(other, job))
    loseOrders(fleet.agents, false)
    await vi.advanceTimersByTimeAsync(7_000)
    expect(fleet.runLog.violations).toEqual([])
    expect(resubmissions.filter(({ answer }) => answer?.kind === 'completed')).toHaveLength(JOBS.length)
  })

  it('when its caller leaves and sends the job again to another entry', async () => {
    const submissions = JOBS.map(job => fleet.send(entry, job))
    await vi.advanceTimersByTimeAsync(400)
    loseOrders(fleet.agents, true)
    for (const submission of submissions) submission.leave()
    await vi.advanceTimersByTimeAsync(RESEND_MILLISECONDS)
    for (const job of JOBS) fleet.send(other, job)
    loseOrders(fleet.agents, false)
    await vi.advanceTimersByTimeAsync(7_000)
    expect(fleet.runLog.violations).toEqual([])
  })

  it('when an entry loses contact with the agent and starts its tasks elsewhere', async () => {
    for (const job of JOBS) fleet.send(entry, job)
    await vi.advanceTimersByTimeAsync(400)
    const agents = fleet.agents.slice(0, 2)
    loseOrders(agents, true)
    for (const agent of agents) fleet.network.cut(entry.address, agent.address)
    await vi.advanceTimersByTimeAsync(5_000)
    expect(fleet.runLog.violations).toEqual([])
  })
})
