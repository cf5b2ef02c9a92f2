import { describe, expect, it } from 'vitest'
import { createSlowStart } from '@baobabpost/runs'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const COLD_MILLISECONDS = 4_000
/** Tasks of one core that a cold upstream of 32 cores gets at first: an eighth. */
const INITIAL_TASKS = 4

let taskCount = 0

function report (
  underTest: RegistryUnderTest, sequence: number, coldRemainingMilliseconds?: number, startedAt = 1_000
): void {
  underTest.registry.handleHeartbeat(heartbeat({
    sequence,
    instance: { id: 'i-1', startedAt },
    ...(coldRemainingMilliseconds === undefined ? {} : { coldRemainingMilliseconds })
  }), underTest.advance(1))
}

function serving (coldRemainingMilliseconds?: number): RegistryUnderTest {
  const underTest = createRegistryUnderTest()
  report(underTest, 1, coldRemainingMilliseconds)
  underTest.list()
  return underTest
}

/** Orders more tasks than fit, and returns how many were started. */
function startAsManyAsFit (underTest: RegistryUnderTest): number {
  const before = underTest.starts.length
  for (let count = 0; count < 40; count += 1) {
    taskCount += 1
    underTest.order(1, `${TASK}${taskCount}`)
  }
  return underTest.starts.length - before
}

/** Completes all runs that were started and not completed. */
function completeAll (underTest: RegistryUnderTest, from: number): void {
  const ended = underTest.starts.slice(from).map(({ order: { task, run } }, index) =>
    ({ number: from + index + 1, task, run, kind: 'done' as const }))
  underTest.list({ ended })
}

describe('a cold upstream', () => {
  it('gets a small share at first, which entries are told as its free capacity', () => {
    const underTest = serving(COLD_MILLISECONDS)
    expect(underTest.watch().room.free.processor).toBe(INITIAL_TASKS * 1_000)
    expect(startAsManyAsFit(underTest)).toBe(INITIAL_TASKS)
  })

  it('gets more with each run that it completes, and more as the reported time passes', () => {
    const underTest = serving(COLD_MILLISECONDS)
    startAsManyAsFit(underTest)
    // A quarter of the time, though 4 of 32 cores completed are an eighth only.
    underTest.advance(COLD_MILLISECONDS / 4 - 2)
    completeAll(underTest, 0)
    const inTime = underTest.watch().room.free.processor + underTest.registry.runCount() * 1_000
    expect(inTime).toBe(8_000)
    // Completed work raises the share while hardly any time passes.
    let completed = INITIAL_TASKS
    for (let round = 0; round < 4; round += 1) {
      startAsManyAsFit(underTest)
      const started = underTest.starts.length
      completeAll(underTest, completed)
      completed = started
    }
    expect(underTest.registry.offeredShare(underTest.advance(0))).toBeGreaterThan(0.75)
  })

  it('gets its whole capacity when the reported time is over, and when a heartbeat says that it is warm', () => {
    const byTime = serving(COLD_MILLISECONDS)
    byTime.advance(COLD_MILLISECONDS)
    byTime.list()
    expect(startAsManyAsFit(byTime)).toBe(32)
    const byReport = serving(COLD_MILLISECONDS)
    report(byReport, 2, 0)
    expect(startAsManyAsFit(byReport)).toBe(32)
  })

  it('is not stopped, and keeps its runs, when it becomes cold while they run', () => {
    const underTest = serving()
    expect(startAsManyAsFit(underTest)).toBe(32)
    report(underTest, 2, COLD_MILLISECONDS)
    expect(underTest.stops).toEqual([])
    expect(underTest.watch().room.free.processor).toBeLessThan(0)
  })

  it('gets one run that is larger than its share while it has no other', () => {
    const underTest = serving(COLD_MILLISECONDS)
    const size = { processor: 20_000, memory: 64, accelerators: 0 }
    const now = underTest.advance(1)
    const { verdicts } = underTest.registry.answerStart({
      caller: { entry: 'entry-1', incarnation: 'entry-1-1', heardAt: now, heardFrom: 'agent-1' },
      specification: '{}',
      priority: 0,
      patienceMilliseconds: 0,
      orders: [1, 2].map(run => ({ task: `${TASK}${run}`, run, size, estimateMilliseconds: 100 }))
    }, now)
    expect(verdicts).toEqual(['accepted', 'no-room'])
  })

  it('gets a small share again after a restart, whatever its former instance completed', () => {
    const underTest = serving()
    startAsManyAsFit(underTest)
    report(underTest, 1, COLD_MILLISECONDS, 2_000)
    underTest.list({ startedAt: 2_000 })
    expect(startAsManyAsFit(underTest)).toBe(INITIAL_TASKS)
  })

  it('gets a small share from an agent that was started while it is cold', () => {
    const underTest = createRegistryUnderTest()
    report(underTest, 7, COLD_MILLISECONDS / 2)
    underTest.list()
    expect(startAsManyAsFit(underTest)).toBe(INITIAL_TASKS)
  })
})

describe('an upstream whose heartbeats do not say that it is cold', () => {
  it.each([undefined, 0])('gets its whole capacity at once (%s)', coldRemainingMilliseconds => {
    expect(startAsManyAsFit(serving(coldRemainingMilliseconds))).toBe(32)
  })
})

describe('slow start', () => {
  it('begins anew when the upstream becomes colder, as after idle time, and not when it becomes warmer', () => {
    const slowStart = createSlowStart()
    expect(slowStart.recordReport(1_000, 0)).toBe(true)
    slowStart.recordCompletion(1)
    expect(slowStart.recordReport(500, 500)).toBe(false)
    expect(slowStart.share(500)).toBe(1)
    expect(slowStart.recordReport(2_000, 600)).toBe(true)
    expect(slowStart.share(600)).toBe(0.125)
  })

  it('never falls between two reports, is whole at the end, and is told in steps', () => {
    const slowStart = createSlowStart()
    slowStart.recordReport(1_000, 0)
    slowStart.takeProgress(0)
    let before = slowStart.share(0)
    let steps = 0
    for (let now = 0; now <= 1_000; now += 20) {
      slowStart.recordCompletion(0.02)
      expect(slowStart.share(now)).toBeGreaterThanOrEqual(before)
      before = slowStart.share(now)
      if (slowStart.takeProgress(now) !== 'unchanged') steps += 1
    }
    expect(before).toBe(1)
    expect(steps).toBeLessThanOrEqual(8)
  })
})
