import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { createFleet, type Fleet, type JobSubmission } from '@baobabpost/rehearsal'

const SIZE = { processor: 4_000, memory: 64, accelerators: 0 }
const RUN_MILLISECONDS = 80
const OBJECTIVE_MILLISECONDS = 1.6 * RUN_MILLISECONDS + 60
const advance = (milliseconds: number): Promise<unknown> => vi.advanceTimersByTimeAsync(milliseconds)

let fleet: Fleet

beforeEach(async () => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
  const upstream = { speed: 1, capacity: { processor: 32_000, memory: 131_072, accelerators: 0 } }
  fleet = createFleet({ entries: 1, upstreams: [upstream, upstream] })
  await advance(2_000)
})
afterEach(() => { vi.useRealTimers() })

function sendJobs (count: number): JobSubmission[] {
  const [entry] = fleet.entries
  if (entry === undefined) throw new Error('expected an entry')
  return Array.from({ length: count }, (_, index) => fleet.send(entry, {
    id: (index + 1).toString(16).padStart(16, '0'),
    standInTask: { milliseconds: RUN_MILLISECONDS, size: SIZE },
    taskCount: 2
  }))
}

// A job without any upstream was held for as long as its caller waited, and then refused as not run.
it('refuses a job that was not started once its answer is of no use', async () => {
  for (const agent of fleet.agents) fleet.killAgent(agent)
  await advance(700)
  const sent = sendJobs(5)
  await advance(3_000)
  expect(fleet.runLog.violations).toEqual([])
  for (const { answer, answeredAt, sentAt } of sent) {
    expect(answer?.kind).toBe('refused')
    expect(answeredAt - sentAt).toBeLessThanOrEqual(3 * OBJECTIVE_MILLISECONDS + 50)
  }
})

it('serves a job late whose upstreams are back while its answer is of use', async () => {
  for (const agent of fleet.agents) fleet.killAgent(agent)
  await advance(700)
  const sent = sendJobs(5)
  await advance(100)
  for (const agent of fleet.agents) fleet.startAgent(agent)
  await advance(3_000)
  expect(fleet.runLog.violations).toEqual([])
  for (const { answer } of sent) expect(answer?.kind).toBe('completed')
})
