import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createFleet, RESEND_MILLISECONDS, type Fleet, type FleetAgent, type FleetEntry, type FleetJob } from '@baobabpost/rehearsal'

const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }
const JOB: FleetJob = {
  id: '0000000000000001',
  standInTask: { milliseconds: 2_500, size: { processor: 6_000, memory: 64, accelerators: 0 } },
  taskCount: 1,
  deadlineMilliseconds: 8_000
}

let fleet: Fleet
let entry: FleetEntry
let other: FleetEntry

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
  const upstreams = Array.from({ length: 2 }, () => ({ capacity: CAPACITY, speed: 1 }))
  fleet = createFleet({ entries: 2, upstreams, keepsDelayedOrders: true })
  const [first, second] = fleet.entries
  if (first === undefined || second === undefined) throw new Error('expected two entries')
  entry = first
  other = second
  await vi.advanceTimersByTimeAsync(2_000)
})

afterEach(() => { vi.useRealTimers() })

/** Delays the start order of a job, and returns the agent that it was sent to. */
async function delayOrder (milliseconds: number): Promise<FleetAgent> {
  let ordering: FleetAgent | undefined
  for (const agent of fleet.agents) {
    const { faults } = agent.standIn
    faults.orderDelayMilliseconds = milliseconds
    faults.isOrderDelayed = () => { ordering ??= agent; return true }
  }
  fleet.send(entry, JOB)
  await vi.advanceTimersByTimeAsync(20)
  if (ordering === undefined) throw new Error('expected an order')
  for (const { standIn: { faults } } of fleet.agents) faults.isOrderDelayed = () => false
  return ordering
}

describe('an upstream that starts again and carries out an order without an answer', () => {
  it('runs no task that runs elsewhere, if its agent was killed with it', async () => {
    const agent = await delayOrder(1_500)
    fleet.killAgent(agent)
    agent.standIn.crash(1_000)
    await vi.advanceTimersByTimeAsync(3_000)
    fleet.startAgent(agent)
    await vi.advanceTimersByTimeAsync(5_000)
    expect(fleet.runLog.violations).toEqual([])
  })

  // The order arrives within the 20 ms in which the agent may not have listed the new instance yet.
  it.each([0, 4, 8, 12, 16, 19])('%i ms before it runs no task that runs elsewhere, if its entry was killed and the caller sent the job again', async milliseconds => {
    const agent = await delayOrder(2_000)
    fleet.killEntry(entry)
    agent.standIn.crash(1_980 - milliseconds)
    await vi.advanceTimersByTimeAsync(RESEND_MILLISECONDS)
    fleet.send(other, JOB)
    await vi.advanceTimersByTimeAsync(5_000)
    expect(fleet.runLog.violations).toEqual([])
  })

  it.each([0, 4, 8, 12, 16, 19])('%i ms before it runs no task that runs elsewhere, if the former instance had acknowledged a stop of it', async milliseconds => {
    const agent = await delayOrder(1_500)
    await vi.advanceTimersByTimeAsync(400)
    expect(agent.standIn.startCount()).toBe(1)
    agent.standIn.crash(1_080 - milliseconds)
    await vi.advanceTimersByTimeAsync(6_000)
    expect(fleet.runLog.violations).toEqual([])
  })

  // Its next incarnation fenced the living instance, and knew nothing of the order.
  it.each([0, 4, 8, 12, 16, 19])('%i ms before it runs no task that runs elsewhere, if its agent alone had started again before', async milliseconds => {
    const agent = await delayOrder(2_000)
    fleet.killAgent(agent)
    await vi.advanceTimersByTimeAsync(200)
    fleet.startAgent(agent)
    await vi.advanceTimersByTimeAsync(800)
    agent.standIn.crash(980 - milliseconds)
    await vi.advanceTimersByTimeAsync(6_000)
    expect(fleet.runLog.violations).toEqual([])
  })
})
