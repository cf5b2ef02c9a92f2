import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createFleet, SERVICE, type JobSubmission, type UpstreamKind } from '@baobabpost/rehearsal'

const CAPACITY = { processor: 32_000, memory: 131_072, accelerators: 0 }
const SIZE = { processor: 3_000, memory: 64, accelerators: 0 }
/** Time after which TCP sends a lost packet again, at the earliest. */
const RETRANSMISSION_MILLISECONDS = 210
const DOWN_MILLISECONDS = 80
const ROUNDS = 3

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

// Entries that can't hear yet of the next instance of an upstream go on sending it tasks of the former one's kind, and
// its agent started them.
it.each<[string, Partial<UpstreamKind>, string]>([
  ['label', { labels: ['b', 'r1'] }, 'a'], ['rack', { labels: ['a', 'r2'] }, 'r1'], ['service', { service: 'portal' }, 'a']
])('starts no task at an upstream whose next instance has another %s, and answers every job', async (_name, nextKind, label) => {
  let refusedCount = 0
  const fleet = createFleet({
    entries: 2,
    upstreams: Array.from({ length: 8 }, (_, index) => ({ capacity: CAPACITY, speed: 1, labels: index < 2 ? ['a', 'r1'] : ['b', 'r2'] })),
    logger: {
      ...silentLogger, warn: event => { if (event === 'order refused: unsuitable upstream') refusedCount += 1 }
    }
  })
  await vi.advanceTimersByTimeAsync(3_000)
  const submissions: JobSubmission[] = []
  async function submitEach (milliseconds: number, count: number): Promise<void> {
    for (let sent = 0; sent < count; sent += 1) {
      const entry = fleet.entries[submissions.length % fleet.entries.length]
      if (entry === undefined) throw new Error('expected an entry')
      submissions.push(fleet.send(entry, {
        id: submissions.length.toString(16).padStart(16, '0'),
        taskCount: 3,
        standInTask: { milliseconds: 150, size: SIZE, requires: { service: SERVICE, label } },
        deadlineMilliseconds: 1_500
      }))
      await vi.advanceTimersByTimeAsync(milliseconds)
    }
  }
  const [agent] = fleet.agents
  if (agent === undefined) throw new Error('expected an agent')
  for (let round = 0; round < ROUNDS; round += 1) {
    await submitEach(60, 10)
    fleet.network.holdAnswers(agent.address, RETRANSMISSION_MILLISECONDS)
    for (const kind of [nextKind, { service: SERVICE, labels: ['a', 'r1'] }]) {
      agent.standIn.setNextKind(kind)
      agent.standIn.crash(DOWN_MILLISECONDS)
      await vi.advanceTimersByTimeAsync(DOWN_MILLISECONDS)
      agent.program.handleHeartbeat(agent.standIn.report())
      await submitEach(40, 8)
      await vi.advanceTimersByTimeAsync(2_000)
    }
  }
  expect(fleet.runLog.violations).toEqual([])
  expect(refusedCount).toBeGreaterThan(0)
  expect(submissions.filter(({ answer }) => answer === undefined)).toEqual([])
  const completedCount = submissions.filter(({ answer }) => answer?.kind === 'completed').length
  expect(completedCount).toBeGreaterThanOrEqual(0.9 * submissions.length)
}, 30_000)
