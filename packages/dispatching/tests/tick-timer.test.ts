import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { startEntryProgram, type JobAnswer } from '@baobabpost/dispatching'
import { startTickTimer } from '../src/tick-timer.js'

/** Longest wait of a job for the next tick. */
const TICK_MILLISECONDS = 20

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function startEntry (): ReturnType<typeof startEntryProgram> {
  return startEntryProgram({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'domain-1',
    client: { call: () => new Promise(() => {}), close: () => {} },
    logger: silentLogger,
    now: () => performance.now()
  })
}

describe('an entry without jobs', () => {
  it('wakes ten times a second, not fifty times', async () => {
    const entry = startEntry()
    await vi.advanceTimersByTimeAsync(1_000)
    const timers = vi.spyOn(globalThis, 'setImmediate')
    await vi.advanceTimersByTimeAsync(10_000)
    expect(timers.mock.calls.length).toBeLessThanOrEqual(101)
    timers.mockRestore()
    entry.close()
  })

  it.each([0, 30, 60, 90])('answers a job that expires %i ms after it became idle within a tick', async pause => {
    const entry = startEntry()
    await vi.advanceTimersByTimeAsync(1_000 + pause)
    const deadlineAt = performance.now() + 5
    let answeredAt: number | undefined
    let answer: JobAnswer | undefined
    entry.dispatcher.submit({
      id: '5c0e7a21d94b36f8',
      route: 'route',
      service: 'desk',
      priority: 0,
      specification: '{}',
      steps: [{
        taskCount: 1,
        size: { processor: 1_000, memory: 64, accelerators: 0 },
        estimateMilliseconds: 1,
        dependsOn: [],
        label: undefined,
        rack: undefined,
        maximumPerUpstream: undefined
      }],
      maximumAttempts: 1,
      stretch: 1.6,
      targetLatencyMilliseconds: 5,
      arrivedAt: performance.now(),
      deadlineAt
    }, given => {
      answer = given
      answeredAt = performance.now()
    }, performance.now())
    await vi.advanceTimersByTimeAsync(200)
    expect(answer?.kind).toBe('refused')
    expect(answeredAt).toBeLessThanOrEqual(deadlineAt + TICK_MILLISECONDS)
    entry.close()
  })
})

describe('the tick after a late one', () => {
  beforeEach(() => { vi.useRealTimers() })

  // After a process pause, tasks are sent at the second tick: what arrived meanwhile must have been read by then.
  it('comes after a poll for input, also if other late timers take long', async () => {
    const events: string[] = []
    const stall = (milliseconds: number): void => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds)
    }
    const ticks = startTickTimer({
      onTick: () => {
        events.push('tick')
        setImmediate(() => { events.push('poll') })
      },
      isIdle: () => false,
      now: () => performance.now()
    })
    for (const delay of [21, 22, 23]) setTimeout(() => { stall(30) }, delay)
    stall(200)
    await expect.poll(() => events.length).toBeGreaterThanOrEqual(4)
    ticks.close()
    expect(events.slice(0, 3)).toEqual(['tick', 'poll', 'tick'])
  })
})
