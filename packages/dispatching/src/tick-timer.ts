/** Timer of an entry's ticks, which are rare while there is nothing that they could find. */

/** Interval of the ticks while there is work; short compared with the shortest objective. */
const BUSY_TICK_MILLISECONDS = 20
/** Interval without work; a fraction of the gap from which the process counts as paused. */
const IDLE_TICK_MILLISECONDS = 100

export interface TickTimer {
  /** To be called when work arrives: the next tick follows within the interval for work. */
  wake: () => void
  close: () => void
}

export interface TickTimerOptions {
  /** Called at each tick with the time by which it is late, in milliseconds. */
  readonly onTick: (lateMilliseconds: number) => void
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
  let dueAt = 0

  function schedule (milliseconds: number): void {
    dueAt = now() + milliseconds
    timer = setTimeout(run, milliseconds)
  }

  function run (): void {
    const lateMilliseconds = now() - dueAt
    schedule(BUSY_TICK_MILLISECONDS)
    onTick(lateMilliseconds)
    if (!isIdle()) return
    clearTimeout(timer)
    schedule(IDLE_TICK_MILLISECONDS)
  }

  schedule(BUSY_TICK_MILLISECONDS)
  return {
    wake: () => {
      if (dueAt - now() <= BUSY_TICK_MILLISECONDS) return
      clearTimeout(timer)
      schedule(BUSY_TICK_MILLISECONDS)
    },
    close: () => { clearTimeout(timer) }
  }
}
