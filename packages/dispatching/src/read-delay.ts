/** Time for which input waited before a busy or paused process read it. */
import { PROCESS_PAUSE_MILLISECONDS } from './dispatch-limits.js'

/**
 * Lateness of a tick from which the process counts as paused: time in which it was stopped while the event loop waited
 * for input counts as idle, and only timers show it.
 */
const LATE_TICK_MILLISECONDS = 50

/**
 * Time after a pause in which connections from it may still be accepted, one a turn. The caller of a later one has had
 * time to end it, if it left during the pause, and that is read before its job is submitted.
 */
const QUEUE_DRAIN_MILLISECONDS = 1_000

/** Readings of the process, in milliseconds. */
export interface LoopReading {
  readonly now: number
  /** Total time for which the event loop has waited for input since the start of the process. */
  readonly idle: number
}

/** When a tick was scheduled, and for when, in milliseconds. */
export interface TickTiming {
  readonly scheduledAt: number
  readonly dueAt: number
}

export interface ReadDelay {
  /** Records that a tick runs now. */
  tickRuns: (tick: TickTiming, now: number) => void
  /** Records the end of a turn of the event loop: all input that was there when it polled has been read. */
  turnEnds: (reading: LoopReading) => void
  /** Whether connections from before a process pause may wait to be accepted; each turn is then to be recorded. */
  isAcceptingOld: () => boolean
  /**
   * Records that a connection is accepted.
   *
   * @returns how long its first request may have waited already, in milliseconds; 0 if it is from after the last pause.
   */
  connectionAccepted: (tick: TickTiming, now: number) => number
  /** Returns how long input that is read now has waited at most, in milliseconds. `tick` is the next one. */
  longest: (reading: LoopReading, tick: TickTiming) => number
}

function isLate (tick: TickTiming, now: number, milliseconds = LATE_TICK_MILLISECONDS): boolean {
  return now - tick.dueAt > milliseconds
}

/**
 * Creates the read delay of a process that has just started to listen. Input arrives at any time after the previous
 * input was read; while the event loop waits, it is read as it arrives, unless the process is paused meanwhile. Input
 * from a pause is read up to the end of the poll that follows the late tick. Pauses shorter than the interval of the
 * ticks do not show.
 *
 * @example
 * const readDelay = createReadDelay({ now: 0, idle: 0 })
 * readDelay.longest({ now: 300, idle: 20 }, { scheduledAt: 280, dueAt: 300 }) // 280
 */
export function createReadDelay (started: LoopReading): ReadDelay {
  let last = started
  let pausedSince: number | undefined
  /** Begin of the last pause, from which connections that are accepted now may be; undefined if none is. */
  let queuedSince: number | undefined
  let drainedAt = 0
  let hasAccepted = false

  function recordPause (tick: TickTiming, now: number): void {
    if (!isLate(tick, now, PROCESS_PAUSE_MILLISECONDS)) return
    queuedSince = tick.scheduledAt
    drainedAt = now + QUEUE_DRAIN_MILLISECONDS
  }

  return {
    tickRuns: (tick, now) => {
      if (!isLate(tick, now)) return
      pausedSince ??= tick.scheduledAt
      recordPause(tick, now)
    },
    turnEnds: reading => {
      last = reading
      pausedSince = undefined
      if (!hasAccepted || reading.now >= drainedAt) queuedSince = undefined
      hasAccepted = false
    },
    isAcceptingOld: () => queuedSince !== undefined,
    connectionAccepted: (tick, now) => {
      hasAccepted = true
      recordPause(tick, now)
      return queuedSince === undefined || now >= drainedAt ? 0 : now - queuedSince
    },
    longest: ({ now, idle }, tick) => {
      const since = pausedSince ?? (isLate(tick, now) ? tick.scheduledAt : now)
      return Math.max(0, now - since, now - last.now - (idle - last.idle))
    }
  }
}
