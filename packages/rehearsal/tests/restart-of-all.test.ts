import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { LatestStartAdmission, type Admission, type MissDecision, type MissedTask } from '@baobabpost/dispatching'
import { createFleet, type JobSubmission } from '@baobabpost/rehearsal'

const UPSTREAMS = 9
const SLOTS = 8
const SIZE = { processor: 4_000, memory: 64, accelerators: 0 }
const RUN_MILLISECONDS = 200
const OBJECTIVE_MILLISECONDS = 1.6 * RUN_MILLISECONDS + 60
/** Time between the starts of two agents: upstreams find their agents by heartbeats, one after the other. */
const START_INTERVAL_MILLISECONDS = 20
/** Callers that come back when the entries do, with two tasks each. */
const RETURNING_JOBS = 30
const JOBS_AT_ONCE = 6

/** Refuses by the capacity that is known, whatever may be about to serve. */
class RefusingAdmission extends LatestStartAdmission {
  override decideMiss (missed: MissedTask): MissDecision {
    return super.decideMiss({ ...missed, isCapacityArriving: false })
  }
}

async function countInTime (admission: () => Admission): Promise<{ inTime: number, refused: number }> {
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  const fleet = createFleet({
    entries: 3,
    upstreams: Array.from({ length: UPSTREAMS }, () => ({
      speed: 1, capacity: { processor: SIZE.processor * SLOTS, memory: 131_072, accelerators: 0 }
    })),
    admission
  })
  await advance(2_000)
  for (const agent of fleet.agents) fleet.killAgent(agent)
  for (const entry of fleet.entries) fleet.killEntry(entry)
  await advance(600)
  for (const entry of fleet.entries) fleet.startEntry(entry)
  const sent: JobSubmission[] = []
  for (const [index, agent] of fleet.agents.entries()) {
    fleet.startAgent(agent)
    await advance(START_INTERVAL_MILLISECONDS)
    if (index >= RETURNING_JOBS / JOBS_AT_ONCE) continue
    for (let job = 0; job < JOBS_AT_ONCE; job += 1) {
      const entry = fleet.entries[job % fleet.entries.length]
      if (entry === undefined) continue
      sent.push(fleet.send(entry, {
        id: (100 * index + job).toString(16).padStart(16, '0'),
        standInTask: { milliseconds: RUN_MILLISECONDS, size: SIZE },
        taskCount: 2
      }))
    }
  }
  await advance(3_000)
  expect(fleet.runLog.violations).toEqual([])
  return {
    inTime: sent.filter(({ answer, answeredAt, sentAt }) =>
      answer?.kind === 'completed' && answeredAt - sentAt <= OBJECTIVE_MILLISECONDS).length,
    refused: sent.filter(({ answer }) => answer?.kind === 'refused').length
  }
}

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

// After all processes were restarted, callers were refused for the lack of capacity that served 50 ms later.
it('serves the callers that come back while upstreams are still being found', async () => {
  const waiting = await countInTime(() => new LatestStartAdmission())
  const refusing = await countInTime(() => new RefusingAdmission())
  expect(waiting.refused).toBeLessThan(refusing.refused)
  expect(waiting.inTime).toBeGreaterThan(refusing.inTime)
}, 60_000)
