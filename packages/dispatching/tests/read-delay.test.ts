import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createReadDelay, startEntryProgram } from '@baobabpost/dispatching'

/** A tick that is never late. */
const ON_TIME = { scheduledAt: 0, dueAt: Infinity }
/** A tick of an entry without work. */
const TICK = { scheduledAt: 1_000, dueAt: 1_100 }
const NEXT_TICK = { scheduledAt: 3_000, dueAt: 3_020 }

it('counts the time since the last read in which the process was busy, as input that waited was counted as fresh', () => {
  const readDelay = createReadDelay({ now: 0, idle: 0 })
  expect(readDelay.longest({ now: 400, idle: 0 }, ON_TIME)).toBe(400)
  readDelay.turnEnds({ now: 450, idle: 0 })
  expect(readDelay.longest({ now: 700, idle: 200 }, ON_TIME)).toBe(50)
  // The event loop waited all the time, so input is read as it arrives.
  readDelay.turnEnds({ now: 700, idle: 200 })
  expect(readDelay.longest({ now: 900, idle: 400 }, ON_TIME)).toBe(0)
})

describe('a pause inside the wait of the event loop', () => {
  it('counts while the tick that was due in it has not run', () => {
    const readDelay = createReadDelay({ now: 1_000, idle: 900 })
    expect(readDelay.longest({ now: 1_120, idle: 1_020 }, TICK)).toBe(0)
    expect(readDelay.longest({ now: 3_000, idle: 2_890 }, TICK)).toBe(2_000)
  })

  it('counts until the end of the turn after the late tick', () => {
    const readDelay = createReadDelay({ now: 1_000, idle: 900 })
    readDelay.tickRuns(TICK, 3_000)
    expect(readDelay.longest({ now: 3_004, idle: 2_890 }, NEXT_TICK)).toBe(2_004)
    readDelay.turnEnds({ now: 3_010, idle: 2_890 })
    expect(readDelay.longest({ now: 3_012, idle: 2_890 }, NEXT_TICK)).toBe(2)
  })

  it('counts for connections that waited to be accepted, one a turn, until a turn accepts none', () => {
    const readDelay = createReadDelay({ now: 1_000, idle: 900 })
    expect(readDelay.connectionAccepted(TICK, 1_050)).toBe(0)
    readDelay.turnEnds({ now: 1_050, idle: 900 })
    expect(readDelay.connectionAccepted(TICK, 3_000)).toBe(2_000)
    readDelay.turnEnds({ now: 3_001, idle: 900 })
    readDelay.tickRuns(TICK, 3_002)
    expect(readDelay.connectionAccepted(NEXT_TICK, 3_003)).toBe(2_003)
    readDelay.turnEnds({ now: 3_004, idle: 900 })
    expect(readDelay.isAcceptingOld()).toBe(true)
    readDelay.turnEnds({ now: 3_005, idle: 900 })
    expect(readDelay.isAcceptingOld()).toBe(false)
    expect(readDelay.connectionAccepted(NEXT_TICK, 3_006)).toBe(0)
  })

  it('counts for no more connections than can wait', () => {
    const readDelay = createReadDelay({ now: 1_000, idle: 900 }, 3)
    readDelay.tickRuns(TICK, 3_000)
    const waited = [1, 2, 3, 4].map(turn => readDelay.connectionAccepted(NEXT_TICK, 3_000 + turn))
    expect(waited).toEqual([2_001, 2_002, 2_003, 0])
  })
})

describe('an entry that was stopped while it waited for input', () => {
  let now = 0

  beforeEach(() => { vi.useFakeTimers() })
  afterEach(() => { vi.useRealTimers() })

  // A request that had waited for 1.9 s counted as 2 ms old, since a stopped process counts as one that waits.
  it('takes what it reads for as old as the pause, before and after its late tick', () => {
    const entry = startEntryProgram({
      entry: 'entry-1',
      incarnation: '1',
      failureDomain: 'domain-1',
      client: { call: () => new Promise(() => {}), close: () => {} },
      logger: silentLogger,
      now: () => now,
      idle: () => now
    })
    now = 1_900
    expect(entry.unreadMilliseconds()).toBeGreaterThanOrEqual(1_880)
    vi.advanceTimersToNextTimer()
    vi.advanceTimersByTime(20)
    now = 1_905
    expect(entry.unreadMilliseconds()).toBeGreaterThanOrEqual(1_880)
    vi.advanceTimersByTime(1)
    now = 1_910
    expect(entry.unreadMilliseconds()).toBe(0)
    entry.close()
  })
})
