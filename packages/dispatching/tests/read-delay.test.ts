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

  it('counts for connections of the second after it only, although each turn accepts one', () => {
    const readDelay = createReadDelay({ now: 1_000, idle: 900 })
    readDelay.tickRuns(TICK, 3_000)
    const waited = [3_010, 3_990, 4_010].map(at => {
      const milliseconds = readDelay.connectionAccepted({ scheduledAt: at, dueAt: at + 20 }, at)
      readDelay.turnEnds({ now: at, idle: 900 })
      return milliseconds
    })
    expect(waited).toEqual([2_010, 2_990, 0])
  })

  it('counts for connections from a second pause, while those of the first are accepted', () => {
    const readDelay = createReadDelay({ now: 1_000, idle: 900 })
    readDelay.tickRuns(TICK, 3_000)
    readDelay.connectionAccepted(NEXT_TICK, 3_001)
    readDelay.turnEnds({ now: 3_010, idle: 900 })
    readDelay.tickRuns(NEXT_TICK, 4_900)
    expect(readDelay.connectionAccepted({ scheduledAt: 4_900, dueAt: 4_920 }, 4_901)).toBe(1_901)
  })

  // An entry whose listen queue is never empty refused every job of a new connection, after one slow turn.
  it('does not count for connections if it was no longer than a slow turn', () => {
    const readDelay = createReadDelay({ now: 1_000, idle: 900 })
    readDelay.tickRuns({ scheduledAt: 1_000, dueAt: 1_020 }, 1_140)
    expect(readDelay.connectionAccepted({ scheduledAt: 1_140, dueAt: 1_160 }, 1_141)).toBe(0)
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
