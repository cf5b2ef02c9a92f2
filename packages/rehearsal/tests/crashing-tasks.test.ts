import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createFleet, type Fleet, type FleetEntry, type JobSubmission, type StandInTask } from '@baobabpost/rehearsal'

const SIZE = { processor: 3_000, memory: 64, accelerators: 0 }
const CAPACITY = { processor: 32_000, memory: 131_072, accelerators: 0 }
const DOWN_MILLISECONDS = 3_000
const DEADLINE_MILLISECONDS = 2_500
/** Deadline within which the upstreams of three crashes are back: only then is each crash certain. */
const LONG_DEADLINE_MILLISECONDS = 9_000
const CRASHES: StandInTask = {
  milliseconds: 60, size: SIZE, crash: { tasks: [0], afterMilliseconds: 20, downMilliseconds: DOWN_MILLISECONDS }
}
const SHORT: StandInTask = { milliseconds: 60, size: SIZE }
const LONG: StandInTask = { milliseconds: 900, size: SIZE }

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance', 'Date']
  })
})

afterEach(() => {
  vi.useRealTimers()
})

interface Play {
  readonly fleet: Fleet
  /** Submissions of all jobs by route. */
  readonly byRoute: Map<string, JobSubmission[]>
  /** Sends a job with five tasks, the first of which crashes its upstreams. */
  sendCrashing: (entry?: FleetEntry, id?: string, deadlineMilliseconds?: number) => JobSubmission
  /** Advances the time while all routes send jobs; `crashEvery` names the jobs of the short route that crash. */
  load: (milliseconds: number, crashEvery?: number) => Promise<void>
}

async function startPlay (entries = 3): Promise<Play> {
  const fleet = createFleet({
    entries, upstreams: Array.from({ length: 11 }, () => ({ capacity: CAPACITY, speed: 1 })), failureDomains: 3
  })
  await vi.advanceTimersByTimeAsync(2_000)
  const byRoute = new Map<string, JobSubmission[]>()
  let count = 0

  function send (
    route: string,
    standInTask: StandInTask,
    taskCount: number,
    entry?: FleetEntry,
    id?: string,
    deadlineMilliseconds = DEADLINE_MILLISECONDS
  ): JobSubmission {
    count += 1
    const chosen = entry ?? fleet.entries[count % fleet.entries.length]
    if (chosen === undefined) throw new Error('the fleet has no entry')
    const submission = fleet.send(chosen, {
      id: id ?? count.toString(16).padStart(16, '0'), route, standInTask, taskCount, deadlineMilliseconds
    })
    byRoute.set(route, [...byRoute.get(route) ?? [], submission])
    return submission
  }

  return {
    fleet,
    byRoute,
    sendCrashing: (entry, id, deadlineMilliseconds) => send('short', CRASHES, 5, entry, id, deadlineMilliseconds),
    load: async (milliseconds, crashEvery = Infinity) => {
      for (let step = 0; step < milliseconds / 40; step += 1) {
        const isCrashing = step % crashEvery === crashEvery - 1
        send('short', isCrashing ? CRASHES : SHORT, 5)
        send('middle', { ...SHORT, milliseconds: 200 }, 2)
        send('middle', { ...SHORT, milliseconds: 200 }, 2)
        if (step % 5 === 0) send('long', LONG, 4)
        await vi.advanceTimersByTimeAsync(40)
      }
    }
  }
}

function servedShare (submissions: readonly JobSubmission[] = []): number {
  return submissions.filter(({ answer }) => answer?.kind === 'completed').length / submissions.length
}

describe('a fleet with tasks that crash each upstream which starts them', { timeout: 60_000 }, () => {
  it('crashes at most three upstreams under one task, and answers its job as failed', async () => {
    const play = await startPlay()
    await play.load(1_000)
    const submission = play.sendCrashing(undefined, undefined, LONG_DEADLINE_MILLISECONDS)
    await play.load(9_500)
    expect(play.fleet.runLog.violations).toEqual([])
    expect(Math.max(...play.fleet.runLog.crashCounts.values())).toBeLessThanOrEqual(3)
    expect(submission.answer?.kind).toBe('failed')
  })

  // A refused connection may be a cut, so the task can't be blamed before the upstreams are back.
  it('answers its job at its deadline if no upstream is back by then', async () => {
    const play = await startPlay()
    await play.load(1_000)
    const submission = play.sendCrashing()
    await play.load(3_000)
    expect(play.fleet.runLog.violations).toEqual([])
    expect(submission.answer?.kind).toBe('given-up')
    expect(submission.answeredAt - submission.sentAt).toBeLessThanOrEqual(DEADLINE_MILLISECONDS)
  })

  it('does not count anew when the entry is killed and the job is sent again to another', async () => {
    const play = await startPlay()
    const [first, second] = play.fleet.entries as [FleetEntry, FleetEntry]
    play.sendCrashing(first, 'c'.repeat(16))
    await play.load(80)
    play.fleet.killEntry(first)
    await play.load(1_300)
    const submission = play.sendCrashing(second, 'c'.repeat(16), LONG_DEADLINE_MILLISECONDS)
    await play.load(9_500)
    expect(play.fleet.runLog.violations).toEqual([])
    expect(submission.answer?.kind).toBe('failed')
  })

  it('does not count anew when the agents of the crashed upstreams are killed', async () => {
    const play = await startPlay()
    const submission = play.sendCrashing(undefined, undefined, LONG_DEADLINE_MILLISECONDS)
    await play.load(80)
    for (const agent of play.fleet.agents) {
      if (!agent.standIn.isDown()) continue
      play.fleet.killAgent(agent)
      play.fleet.startAgent(agent)
    }
    await play.load(9_500)
    expect(play.fleet.runLog.violations).toEqual([])
    expect(submission.answer?.kind).toBe('failed')
  })

  it('refuses jobs of such a route soon while the upstreams that it may use are down', async () => {
    const play = await startPlay()
    await play.load(1_000)
    await play.load(8_000, 10)
    const refused = play.byRoute.get('short')?.filter(({ answer }) => answer?.kind === 'refused') ?? []
    const slow = refused.filter(({ answeredAt, sentAt }) => answeredAt - sentAt > 500)
    expect(refused.length).toBeGreaterThan(20)
    expect(slow.length).toBeLessThanOrEqual(0.1 * refused.length)
  })

  it('serves the other routes while one route keeps sending such tasks, and fails none of its sound jobs', async () => {
    const play = await startPlay()
    await play.load(1_000)
    await play.load(10_000, 10)
    await play.load(3_000)
    await vi.advanceTimersByTimeAsync(3_000)
    expect(play.fleet.runLog.violations).toEqual([])
    expect(servedShare(play.byRoute.get('middle'))).toBeGreaterThanOrEqual(0.9)
    expect(servedShare(play.byRoute.get('long'))).toBeGreaterThanOrEqual(0.9)
  })
})
