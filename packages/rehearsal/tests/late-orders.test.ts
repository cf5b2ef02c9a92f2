import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createFleet, RESEND_MILLISECONDS, type Fleet, type FleetAgent, type FleetEntry, type FleetJob, type JobSubmission } from '@baobabpost/rehearsal'

const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }
const JOB: FleetJob = {
  id: '0000000000000001',
  standInTask: { milliseconds: 2_500, size: { processor: 6_000, memory: 64, accelerators: 0 } },
  taskCount: 1,
  deadlineMilliseconds: 8_000
}

const TASK = `${JOB.id}.0.0.0`

let fleet: Fleet
let entry: FleetEntry
let other: FleetEntry
let first: JobSubmission

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
  const upstreams = Array.from({ length: 2 }, () => ({ capacity: CAPACITY, speed: 1 }))
  fleet = createFleet({ entries: 2, upstreams, keepsDelayedOrders: true })
  const [firstEntry, secondEntry] = fleet.entries
  if (firstEntry === undefined || secondEntry === undefined) throw new Error('expected two entries')
  entry = firstEntry
  other = secondEntry
  await vi.advanceTimersByTimeAsync(2_000)
})

afterEach(() => { vi.useRealTimers() })

/** Delays the start orders of a job, and returns the agent that the first of them was sent to. */
async function delayOrder (milliseconds: number, job = JOB): Promise<FleetAgent> {
  let ordering: FleetAgent | undefined
  for (const agent of fleet.agents) {
    const { faults } = agent.standIn
    faults.orderDelayMilliseconds = milliseconds
    faults.isOrderDelayed = () => { ordering ??= agent; return true }
  }
  first = fleet.send(entry, job)
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

  const REPEATED_JOB = { ...JOB, deadlineMilliseconds: 1_485 }

  /** Starts the upstream again shortly before it carries out an order that was sent now. */
  function startAgainBefore (agent: FleetAgent, milliseconds: number): void {
    setTimeout(() => { agent.standIn.crash(200) }, milliseconds - 500)
  }

  /** Sends the job again to the other entry for a time, as a caller whose submissions end without an answer. */
  async function sendAgainFor (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += RESEND_MILLISECONDS) {
      await vi.advanceTimersByTimeAsync(RESEND_MILLISECONDS)
      fleet.send(other, REPEATED_JOB)
    }
  }

  // The other entry never knew of the order, and the agent that sent it is gone.
  it.each([2_000, 5_000, 11_900])('%i ms after it was sent runs no task that an entry got again after the job was given up', async milliseconds => {
    const agent = await delayOrder(milliseconds)
    fleet.killAgent(agent)
    startAgainBefore(agent, milliseconds)
    await vi.advanceTimersByTimeAsync(RESEND_MILLISECONDS)
    await sendAgainFor(milliseconds + 1_000)
    expect(fleet.runLog.violations).toEqual([])
  })

  it.each([
    [2_000, 20], [2_000, 80], [2_000, 600], [5_000, 600], [11_900, 80], [11_900, 600]
  ])('%i ms after it was sent runs no task that an entry got again, if entry and agent were lost together %i ms after that', async (milliseconds, lostAfter) => {
    const agent = await delayOrder(milliseconds)
    startAgainBefore(agent, milliseconds)
    await vi.advanceTimersByTimeAsync(lostAfter - 20)
    fleet.killEntry(entry)
    fleet.killAgent(agent)
    await sendAgainFor(milliseconds + 1_000)
    expect(fleet.runLog.violations).toEqual([])
  })

  it('runs no task that is done and was sent again with its job', async () => {
    const agent = await delayOrder(8_000)
    startAgainBefore(agent, 8_000)
    await vi.advanceTimersByTimeAsync(3_000)
    expect(fleet.runLog.startCounts.get(TASK)).toBe(1)
    expect(agent.standIn.runningCount()).toBe(0)
    fleet.killAgent(agent)
    await vi.advanceTimersByTimeAsync(3_600)
    fleet.send(other, JOB)
    await vi.advanceTimersByTimeAsync(4_000)
    expect(fleet.runLog.violations).toEqual([])
  })
})

describe('a job whose task no other agent may get', () => {
  it('is answered once the leases at the lost agent have ended, not at its deadline', async () => {
    const agent = await delayOrder(5_000)
    fleet.killAgent(agent)
    agent.standIn.crash(5_000)
    await vi.advanceTimersByTimeAsync(1_400)
    expect(first.answer).toMatchObject({ kind: 'given-up' })
  })

  // Tasks that were lost together are candidates of a crash, which are spread over upstreams otherwise.
  it.each([1, 4])('goes to its agent once that has started again, with %i tasks at a time', async taskCount => {
    const agent = await delayOrder(6_000, { ...JOB, taskCount })
    fleet.killAgent(agent)
    await vi.advanceTimersByTimeAsync(500)
    fleet.startAgent(agent)
    await vi.advanceTimersByTimeAsync(3_500)
    expect(first.answer).toEqual({ kind: 'completed' })
  })
})
