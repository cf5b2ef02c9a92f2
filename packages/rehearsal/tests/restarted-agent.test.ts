import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { createFleet } from '@baobabpost/rehearsal'

const SIZE = { processor: 4_000, memory: 64, accelerators: 0 }

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})
afterEach(() => { vi.useRealTimers() })

// The first watch of a restarted agent waited for as long as one of an idle agent; the entry sent nothing meanwhile.
it('gives work to restarted agents as soon as they serve, also in a large fleet', async () => {
  const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)
  const fleet = createFleet({
    entries: 1,
    upstreams: Array.from({ length: 60 }, () => ({
      speed: 1, capacity: { processor: 32_000, memory: 131_072, accelerators: 0 }
    }))
  })
  await advance(2_000)
  for (const agent of fleet.agents) fleet.killAgent(agent)
  await advance(1_000)
  for (const agent of fleet.agents) fleet.startAgent(agent)
  await advance(200)
  const [entry] = fleet.entries
  if (entry === undefined) throw new Error('expected an entry')
  const submission = fleet.send(entry, {
    id: '0000000000000001', standInTask: { milliseconds: 100, size: SIZE }, taskCount: 8
  })
  await advance(4_000)
  expect(fleet.runLog.violations).toEqual([])
  expect(submission.answer?.kind).toBe('completed')
  expect(submission.answeredAt - submission.sentAt).toBeLessThan(220)
}, 30_000)

// The next incarnation knew nothing of the run, and told the entry that its order had not arrived.
it.each([
  [100, 60], [100, 90], [200, 190], [300, 100], [300, 290]
])('runs no task twice whose agent is back after %i ms, if its job is sent again to its entry after %i ms', async (backAfter, sentAgainAfter) => {
  const capacity = { processor: 64_000, memory: 131_072, accelerators: 0 }
  const fleet = createFleet({ entries: 1, upstreams: [{ capacity, speed: 1 }, { capacity, speed: 1 }] })
  await vi.advanceTimersByTimeAsync(2_000)
  const [entry] = fleet.entries
  if (entry === undefined) throw new Error('expected an entry')
  const job = {
    id: '0000000000000001', standInTask: { milliseconds: 2_500, size: SIZE }, taskCount: 1, deadlineMilliseconds: 8_000
  }
  const first = fleet.send(entry, job)
  await vi.advanceTimersByTimeAsync(150)
  const agent = fleet.agents.find(({ standIn }) => standIn.runningCount() > 0)
  if (agent === undefined) throw new Error('expected a run')
  fleet.killAgent(agent)
  setTimeout(() => { fleet.startAgent(agent) }, backAfter)
  setTimeout(() => {
    first.leave()
    fleet.send(entry, job)
  }, sentAgainAfter)
  await vi.advanceTimersByTimeAsync(6_000)
  expect(fleet.runLog.violations).toEqual([])
})
