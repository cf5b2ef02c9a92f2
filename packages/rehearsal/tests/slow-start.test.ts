import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createFleet, type Fleet, type FleetAgent, type FleetEntry, type FleetJob, type JobSubmission } from '@baobabpost/rehearsal'

const SIZE = { processor: 5_000, memory: 64, accelerators: 0 }
const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }
const TASKS_PER_UPSTREAM = 12
const RUN_MILLISECONDS = 200
const OBJECTIVE_MILLISECONDS = 1.6 * RUN_MILLISECONDS + 60
const COLD_MILLISECONDS = 4_000
const DOMAIN = 'domain-1'

let fleet: Fleet
let jobCount = 0

async function start (): Promise<void> {
  fleet = createFleet({
    entries: 3, upstreams: Array.from({ length: 9 }, () => ({ capacity: CAPACITY, speed: 1 })), failureDomains: 3
  })
  jobCount = 0
  for (const { evacuations } of fleet.entries) evacuations.applyListing([], 1)
  await vi.advanceTimersByTimeAsync(2_000)
}

function setEvacuated (isEvacuated: boolean, offset: number): void {
  for (const { evacuations, program } of fleet.entries) {
    if (evacuations.applyRecord(DOMAIN, isEvacuated, offset)) program.evacuationsChanged('store')
  }
}

function agentsOfDomain (): FleetAgent[] {
  return fleet.agents.filter((_, index) => index % 3 === 0)
}

function makeCold (agents: readonly FleetAgent[], reportsCold: boolean): void {
  for (const { standIn: { faults } } of agents) {
    faults.coldUntil = performance.now() + COLD_MILLISECONDS
    faults.reportsCold = reportsCold
  }
}

function job (): FleetJob {
  jobCount += 1
  return {
    id: jobCount.toString(16).padStart(16, '0'),
    standInTask: { milliseconds: RUN_MILLISECONDS, size: SIZE },
    taskCount: 3,
    deadlineMilliseconds: 1_515
  }
}

interface Sent { readonly submission: JobSubmission, readonly sentAt: number }

/** Sends jobs that need a share of all upstreams; calls `observe` after each. */
async function sendLoad (share: number, seconds: number, observe: () => void = () => {}): Promise<Sent[]> {
  const jobsPerSecond = share * fleet.agents.length * TASKS_PER_UPSTREAM / 3 / (RUN_MILLISECONDS / 1_000)
  const sent: Sent[] = []
  for (let index = 0; index < Math.round(jobsPerSecond * seconds); index += 1) {
    const entry = fleet.entries[index % fleet.entries.length] as FleetEntry
    sent.push({ submission: fleet.send(entry, job()), sentAt: performance.now() })
    await vi.advanceTimersByTimeAsync(1_000 / jobsPerSecond)
    observe()
  }
  await vi.advanceTimersByTimeAsync(2_000)
  return sent
}

function shareInTime (sent: readonly Sent[]): number {
  return sent.filter(({ submission, sentAt }) =>
    submission.answer?.kind === 'completed' && submission.answeredAt - sentAt <= OBJECTIVE_MILLISECONDS).length / sent.length
}

function shareCompleted (sent: readonly Sent[]): number {
  return sent.filter(({ submission }) => submission.answer?.kind === 'completed').length / sent.length
}

/** Load while the upstreams of a domain come back cold after an evacuation; their heartbeats say so, or do not. */
async function comeBackFromEvacuation (share: number, reportsCold: boolean): Promise<Sent[]> {
  await start()
  setEvacuated(true, 1)
  await sendLoad(share * 0.6, 1)
  makeCold(agentsOfDomain(), reportsCold)
  // The next heartbeat of each upstream, at most 1.5 s later, says that it is cold; the cold time begins anew then.
  await vi.advanceTimersByTimeAsync(1_600)
  makeCold(agentsOfDomain(), reportsCold)
  setEvacuated(false, 2)
  return await sendLoad(share, 4)
}

/** Highest number of runs that each upstream of the domain had in each half second. */
function watchRunning (): { observe: () => void, highestAt: (halfSecond: number) => number } {
  const startedAt = performance.now()
  const highest: number[] = []
  return {
    observe: () => {
      const index = Math.floor((performance.now() - startedAt) / 500)
      for (const { standIn } of agentsOfDomain()) highest[index] = Math.max(highest[index] ?? 0, standIn.runningCount())
    },
    highestAt: halfSecond => highest[halfSecond] ?? 0
  }
}

/** Time within which a heartbeat of each upstream arrives. */
const HEARTBEAT_MILLISECONDS = 1_600

/** Each way in which upstreams come back cold. */
const WAYS_BACK: ReadonlyArray<readonly [string, () => Promise<void>]> = [
  ['an evacuation', async () => {
    setEvacuated(true, 1)
    makeCold(agentsOfDomain(), true)
    await vi.advanceTimersByTimeAsync(HEARTBEAT_MILLISECONDS)
    setEvacuated(false, 2)
  }],
  ['a restart', async () => {
    for (const { standIn } of agentsOfDomain()) standIn.crash()
    makeCold(agentsOfDomain(), true)
    await vi.advanceTimersByTimeAsync(HEARTBEAT_MILLISECONDS)
  }],
  ['a scale-out', async () => {
    for (const agent of agentsOfDomain()) fleet.killAgent(agent)
    await vi.advanceTimersByTimeAsync(2_000)
    for (const { standIn } of agentsOfDomain()) standIn.crash()
    makeCold(agentsOfDomain(), true)
    for (const agent of agentsOfDomain()) fleet.startAgent(agent)
    await vi.advanceTimersByTimeAsync(HEARTBEAT_MILLISECONDS)
  }]
]

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
})

afterEach(() => {
  expect(fleet.runLog.violations).toEqual([])
  vi.useRealTimers()
})

describe('upstreams that come back cold', () => {
  it.each(WAYS_BACK)('get a share that rises after %s', { timeout: 120_000 }, async (_way, comeBack) => {
    await start()
    await comeBack()
    const { observe, highestAt } = watchRunning()
    await sendLoad(0.8, 3, observe)
    // 0.4 to 0.53 of the cold time have passed: at most 34 of 64 cores.
    expect(highestAt(0)).toBeLessThanOrEqual(6)
    expect(highestAt(0)).toBeLessThan(highestAt(5))
    expect(highestAt(5)).toBeGreaterThanOrEqual(9)
  })

  // All entries see empty upstreams at once, and plan for the usual run time there.
  it('meet more objectives with slow start than without, while others have capacity', { timeout: 120_000 }, async () => {
    const without = await comeBackFromEvacuation(0.6, false)
    const withSlowStart = await comeBackFromEvacuation(0.6, true)
    expect(shareInTime(withSlowStart)).toBeGreaterThan(shareInTime(without))
    expect(shareCompleted(withSlowStart)).toBe(1)
  })

  it('lose little of what is completed when their capacity is needed at once', { timeout: 120_000 }, async () => {
    const without = await comeBackFromEvacuation(0.8, false)
    const withSlowStart = await comeBackFromEvacuation(0.8, true)
    expect(shareCompleted(withSlowStart)).toBeGreaterThan(shareCompleted(without) - 0.05)
  })

  it('get no full load from agents that were started again while they are cold', { timeout: 120_000 }, async () => {
    await start()
    for (const { standIn } of agentsOfDomain()) standIn.crash()
    makeCold(agentsOfDomain(), true)
    await vi.advanceTimersByTimeAsync(1_000)
    for (const agent of agentsOfDomain()) {
      fleet.killAgent(agent)
      fleet.startAgent(agent)
    }
    await vi.advanceTimersByTimeAsync(100)
    const { observe, highestAt } = watchRunning()
    await sendLoad(0.8, 3, observe)
    expect(highestAt(0)).toBeLessThanOrEqual(4)
    expect(highestAt(5)).toBeGreaterThan(highestAt(0))
  })
})
