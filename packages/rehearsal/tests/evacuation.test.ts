import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createFleet, type Fleet, type FleetEntry, type FleetJob, type JobSubmission } from '@baobabpost/rehearsal'

const SIZE = { processor: 6_000, memory: 64, accelerators: 0 }
const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }
/** Tasks of `SIZE` that fit on one upstream. */
const TASKS_PER_UPSTREAM = 10
const RUN_MILLISECONDS = 200
const OBJECTIVE_MILLISECONDS = 1.6 * RUN_MILLISECONDS + 60
const DOMAIN = 'domain-1'

let fleet: Fleet
let jobCount = 0
let logPosition = 0

/** Starts a fleet of 3 failure domains, 3 entries and 9 upstreams whose evacuations are known. */
async function start (): Promise<void> {
  fleet = createFleet({
    entries: 3, upstreams: Array.from({ length: 9 }, () => ({ capacity: CAPACITY, speed: 1 })), failureDomains: 3
  })
  logPosition = 1
  for (const { evacuations } of fleet.entries) evacuations.applyListing([], logPosition)
  await vi.advanceTimersByTimeAsync(2_000)
}

/** Makes a record known to entries, as if they had read it from the store. */
function readRecord (entries: readonly FleetEntry[], domain: string, isEvacuated: boolean): void {
  const offset = logPosition
  logPosition += 1
  for (const { evacuations, program } of entries) {
    if (evacuations.applyRecord(domain, isEvacuated, offset)) program.evacuationsChanged('store')
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

/** Sends jobs that need a share of all upstreams for some time, to the entries in turn. */
async function sendLoad (share: number, seconds: number): Promise<Sent[]> {
  const jobsPerSecond = share * fleet.agents.length * TASKS_PER_UPSTREAM / 3 / (RUN_MILLISECONDS / 1_000)
  const sent: Sent[] = []
  const count = Math.round(jobsPerSecond * seconds)
  for (let index = 0; index < count; index += 1) {
    const entry = fleet.entries[index % fleet.entries.length] as FleetEntry
    if (!entry.processState.isKilled) sent.push({ submission: fleet.send(entry, job()), sentAt: performance.now() })
    await vi.advanceTimersByTimeAsync(1_000 / jobsPerSecond)
  }
  await vi.advanceTimersByTimeAsync(2_000)
  return sent
}

function shareInTime (sent: readonly Sent[]): number {
  const inTime = sent.filter(({ submission, sentAt }) =>
    submission.answer?.kind === 'completed' && submission.answeredAt - sentAt <= OBJECTIVE_MILLISECONDS)
  return inTime.length / sent.length
}

/** Number of runs at the upstreams of the evacuated domain. */
function runningInDomain (): number {
  let count = 0
  for (const [index, { standIn }] of fleet.agents.entries()) if (index % 3 === 0) count += standIn.runningCount()
  return count
}

function startsInDomain (): number {
  return fleet.agents.filter((_, index) => index % 3 === 0)
    .reduce((total, { standIn }) => total + standIn.startCount(), 0)
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
  jobCount = 0
})

afterEach(() => {
  expect(fleet.runLog.violations).toEqual([])
  vi.useRealTimers()
})

describe('evacuation of one of three failure domains', { timeout: 120_000 }, () => {
  it('starts nothing in the domain, answers every caller, and uses the domain again', async () => {
    await start()
    expect(shareInTime(await sendLoad(0.8, 2))).toBeGreaterThan(0.95)
    readRecord(fleet.entries, DOMAIN, true)
    await vi.advanceTimersByTimeAsync(10)
    const startsBefore = startsInDomain()
    const during = await sendLoad(0.8, 4)
    expect(startsInDomain()).toBe(startsBefore)
    // The load is 1.2 times what is left, so 0.83 of the jobs can be in time. With admission by the expected finish
    // 0.36 were: the others were late together, and used the capacity of those that could have been in time.
    expect(shareInTime(during)).toBeGreaterThan(0.66)
    for (const { submission, sentAt } of during) {
      if (submission.answer?.kind === 'completed') continue
      expect(submission.answer).toBeDefined()
      expect(submission.answeredAt - sentAt).toBeLessThanOrEqual(OBJECTIVE_MILLISECONDS)
    }
    readRecord(fleet.entries, DOMAIN, false)
    await vi.advanceTimersByTimeAsync(500)
    expect(shareInTime(await sendLoad(0.8, 2))).toBeGreaterThan(0.95)
    expect(startsInDomain()).toBeGreaterThan(startsBefore)
  })

  it('starts nothing in the domain on orders of entries that are cut off from the store', async () => {
    await start()
    readRecord(fleet.entries.slice(0, 1), DOMAIN, true)
    await vi.advanceTimersByTimeAsync(1_000)
    const startsBefore = startsInDomain()
    await sendLoad(0.5, 1)
    expect(startsInDomain()).toBe(startsBefore)
    for (const { evacuations } of fleet.entries) expect(evacuations.isEvacuated(DOMAIN)).toBe(true)
  })

  it('starts nothing in the domain after its agents and an entry were started again', async () => {
    await start()
    readRecord(fleet.entries, DOMAIN, true)
    await vi.advanceTimersByTimeAsync(1_000)
    const startsBefore = startsInDomain()
    for (const [index, agent] of fleet.agents.entries()) {
      if (index % 3 !== 0) continue
      fleet.killAgent(agent)
      fleet.startAgent(agent)
    }
    const entry = fleet.entries[1] as FleetEntry
    fleet.killEntry(entry)
    fleet.startEntry(entry)
    await sendLoad(0.5, 2)
    expect(startsInDomain()).toBe(startsBefore)
    expect(runningInDomain()).toBe(0)
  })

  it('refuses jobs at once, with a Retry-After, while all domains are evacuated', async () => {
    await start()
    for (const domain of ['domain-1', 'domain-2', 'domain-3']) readRecord(fleet.entries, domain, true)
    await vi.advanceTimersByTimeAsync(50)
    const submission = fleet.send(fleet.entries[0] as FleetEntry, job())
    expect(submission.answer).toEqual({
      kind: 'refused', reason: 'all failure domains are evacuated', retryAfterMilliseconds: 5_000
    })
  })

  it('follows an evacuation that is ended and ordered again within a second', async () => {
    await start()
    for (const isEvacuated of [true, false, true]) {
      readRecord(fleet.entries, DOMAIN, isEvacuated)
      await vi.advanceTimersByTimeAsync(300)
    }
    const startsBefore = startsInDomain()
    await sendLoad(0.5, 1)
    expect(startsInDomain()).toBe(startsBefore)
  })
})
