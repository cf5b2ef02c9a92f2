import { describe, expect, it } from 'vitest'
import type { RunTimes, Start } from '@baobabpost/fleet-calls'
import { createRegistryUnderTest, heartbeat, TASK, type RegistryUnderTest } from './registry-under-test.js'

const REMEMBERED: RunTimes = [14, 1.5, 0.05, 0.1, 96]

function createServing (): RegistryUnderTest {
  const test = createRegistryUnderTest()
  test.registry.handleHeartbeat(heartbeat(), test.advance(1))
  test.list()
  return test
}

function start (test: RegistryUnderTest, fields: Partial<Start>): RunTimes | undefined {
  const now = test.advance(1)
  const answer = test.registry.answerStart({
    caller: { entry: 'entry-1', incarnation: 'entry-1-1', heardAt: now, heardFrom: 'agent-1' },
    specification: '{}',
    priority: 0,
    patienceMilliseconds: 50,
    orders: [{
      task: TASK, run: 1, size: { processor: 1_000, memory: 64, accelerators: 0 }, estimateMilliseconds: 100
    }],
    ...fields
  }, now)
  return answer.room.runTimes
}

describe('run times at an agent', () => {
  it('are taken over from an entry that remembers them of this instance', () => {
    expect(start(createServing(), { remembered: { instance: 1_000, runTimes: REMEMBERED } })?.[1]).toBeCloseTo(1.5)
  })

  // What one instance of an upstream took says nothing of the next: it may have another size or be cold.
  it('are not taken over from another instance', () => {
    expect(start(createServing(), { remembered: { instance: 999, runTimes: REMEMBERED } })?.[1]).toBe(1)
  })

  it('are forgotten when the upstream is started again', () => {
    const test = createServing()
    start(test, { remembered: { instance: 1_000, runTimes: REMEMBERED } })
    test.registry.handleHeartbeat(heartbeat({ instance: { id: 'i-1', startedAt: 2_000 } }), test.advance(1))
    expect(test.watch().room.runTimes?.[1]).toBe(1)
  })

  it('are learned from runs by the estimate and the factor of the route', () => {
    const test = createServing()
    start(test, { route: 'urgent', estimateFactor: 1.5 })
    test.answerLastStart('taken')
    test.advance(160)
    test.list({ ended: [{ number: 1, task: TASK, run: 1, kind: 'done' }] })
    const runTimes = test.watch().room.runTimes
    expect(runTimes?.[4]).toBe(1)
    // 163 ms for 150 ms of work: the usual fixed part and a factor of 1, not 1.6 times the estimate.
    expect(Math.abs((runTimes?.[1] ?? 0) - 1)).toBeLessThan(0.1)
  })

  // Entries kept work away for seconds from an upstream whose stalled runs had been stopped.
  it('tell all entries at once when the upstream is in time again', () => {
    const test = createServing()
    const running = ['5c0e7a21d94b36f8.0.0.1', '5c0e7a21d94b36f8.0.0.2'].map(task => ({ task, run: 1, percent: 10 }))
    for (const { task } of running) {
      test.order(1, task)
      test.answerLastStart('taken')
    }
    test.advance(1_000)
    test.list({ running })
    expect(test.watch().room.pace).toBeGreaterThan(1)
    const before = test.wakes.count
    test.list({ ended: running.map(({ task }, index) => ({ number: index + 1, task, run: 1, kind: 'stopped' })) })
    expect(test.watch().room.pace).toBeUndefined()
    expect(test.wakes.count).toBeGreaterThan(before)
  })

  // A task away from the rack of its data takes longer everywhere, which says nothing of the upstream.
  it('are not made longer by runs away from the rack of their data', () => {
    const test = createServing()
    const size = { processor: 1_000, memory: 64, accelerators: 0 }
    for (let run = 1; run <= 20; run += 1) {
      const task = `5c0e7a21d94b36f8.0.0.${run}`
      const orders = [{ task, run: 1, size, estimateMilliseconds: 100, awayFactor: run % 2 === 0 ? 2.5 : 1 }]
      start(test, { route: 'urgent', orders })
      test.answerLastStart('taken')
      test.advance(run % 2 === 0 ? 260 : 110)
      test.list({ ended: [{ number: run, task, run: 1, kind: 'done' }] })
    }
    const [, factor, spread] = test.watch().room.runTimes ?? [0, 0, 9]
    expect(Math.abs(factor - 1)).toBeLessThan(0.1)
    expect(spread).toBeLessThan(0.1)
  })

  it('come with the factors of the routes for an entry that has just started, of a bounded number of routes', () => {
    const test = createServing()
    for (let index = 0; index < 100; index += 1) start(test, { route: `route-${index}`, estimateFactor: 1.2 })
    const { profile } = test.watch()
    expect(profile?.instance).toBe(1_000)
    expect(Object.keys(profile?.routeFactors ?? {})).toHaveLength(64)
    expect(profile?.routeFactors?.['route-99']).toBe(1.2)
  })
})
