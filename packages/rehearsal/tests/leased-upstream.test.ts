import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { createLeasedUpstream, createRunLog } from '@baobabpost/rehearsal'

const CAPACITY = { processor: 4_000, memory: 4_096, accelerators: 0 }
const STEP = JSON.stringify({ milliseconds: 100, size: CAPACITY })

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })
afterEach(() => { vi.useRealTimers() })

// The first of two runs of a task was replaced by the second, and its capacity never became free.
it('frees the capacity of each of two runs of a task', async () => {
  const now = (): number => performance.now()
  const runLog = createRunLog(now)
  const { upstream } = createLeasedUpstream({
    name: 'upstream-1', service: 'desk', capacity: CAPACITY, speed: 1, now, observer: runLog
  })
  const start = async (task: string, run: number): Promise<void> => {
    const order = { task, run, specification: STEP, fencingToken: 1, leaseUntil: now() + 900, instance: undefined }
    upstream.start(order, 50).catch(() => {})
    await vi.advanceTimersByTimeAsync(5)
  }
  await start('0000000000000001.0.0.0', 1)
  await start('0000000000000001.0.0.0', 2)
  expect(runLog.violations).toHaveLength(2)
  await vi.advanceTimersByTimeAsync(200)
  await start('0000000000000002.0.0.0', 1)
  expect(runLog.violations).toHaveLength(2)
})
