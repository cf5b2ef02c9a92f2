import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { createFleet, RESEND_MILLISECONDS, type Fleet, type FleetJob } from '@baobabpost/rehearsal'

const SIZE = { processor: 6_000, memory: 64, accelerators: 0 }
const CAPACITY = { processor: 64_000, memory: 131_072, accelerators: 0 }

let fleet: Fleet

/** Long jobs, so that a run which is not stopped is still there when its task starts elsewhere. */
const JOBS: readonly FleetJob[] = Array.from({ length: 8 }, (_, index) => ({
  id: (index + 1).toString(16).padStart(16, '0'),
  standInTask: { milliseconds: 2_500, size: SIZE },
  taskCount: 4,
  deadlineMilliseconds: 6_000
}))

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date'] })
  fleet = createFleet({ entries: 2, upstreams: Array.from({ length: 8 }, () => ({ capacity: CAPACITY, speed: 1 })) })
  await vi.advanceTimersByTimeAsync(2_000)
})

afterEach(() => { vi.useRealTimers() })

// The watches of its entry renew the lease of a run whose stop call does not arrive.
it('does not run a task twice at once when its caller leaves, and the stop calls of its entry are lost', async () => {
  const [entry, other] = fleet.entries
  if (entry === undefined || other === undefined) throw new Error('expected two entries')
  const submissions = JOBS.map(job => fleet.send(entry, job))
  await vi.advanceTimersByTimeAsync(400)
  fleet.network.delayOf = name => name === 'stop' ? 60_000 : 0
  for (const submission of submissions) submission.leave()
  await vi.advanceTimersByTimeAsync(RESEND_MILLISECONDS)
  for (const job of JOBS) fleet.send(other, job)
  await vi.advanceTimersByTimeAsync(7_000)
  expect(fleet.runLog.violations).toEqual([])
})
