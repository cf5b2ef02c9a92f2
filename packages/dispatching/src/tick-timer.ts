/** Timer of an entry's ticks, which are rare while there is nothing that they could find. */
import type { TickTiming } from './read-delay.js'

/** Interval of the ticks while there is work; short compared with the shortest objective. */
const BUSY_TICK_MILLISECONDS = 20
/** Interval without work; a fraction of the gap from which the process counts as paused. */
const IDLE_TICK_MILLISECONDS = 100

export interface TickTimer {
  /** To be called when work arrives: the next tick follows within the interval for work. */
  wake: () => void
  /** When the next tick was scheduled, and for when. */
  next: () => TickTiming
  close: () => void
}

export interface TickTimerOptions {
  /** Called with the timing of the tick that runs. */
  readonly onTick: (tick: TickTiming) => void
  /** Whether there is no work. */
  readonly isIdle: () => boolean
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

/**
 * Starts the ticks.
 *
 * @example
 * const ticks = startTickTimer({ onTick, isIdle: () => jobs.size === 0, now: () => performance.now() })
 * ticks.wake()
 */
export function startTickTimer ({ onTick, isIdle, now }: TickTimerOptions): TickTimer {
  let timer: ReturnType<typeof setTimeout>
  let next: TickTiming

  function schedule (milliseconds: number): void {
    const scheduledAt = now()
    next = { scheduledAt, dueAt: scheduledAt + milliseconds }
    timer = setTimeout(run, milliseconds)
  }

  function run (): void {
    const tick = next
    schedule(BUSY_TICK_MILLISECONDS)
    onTick(tick)
    if (!isIdle()) return
    clearTimeout(timer)
    schedule(IDLE_TICK_MILLISECONDS)
  }

  schedule(BUSY_TICK_MILLISECONDS)
  return {
    wake: () => {
      if (next.dueAt - now() <= BUSY_TICK_MILLISECONDS) return
      clearTimeout(timer)
      schedule(BUSY_TICK_MILLISECONDS)
    },
    next: () => next,
    close: () => { clearTimeout(timer) }
  }
}
