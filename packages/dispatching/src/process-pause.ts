/** Detects pauses of the process by the gaps between its ticks, and tells when tasks may be sent again. */
import { PROCESS_PAUSE_MILLISECONDS, REPEATED_PAUSE_MILLISECONDS } from './dispatch-limits.js'

export interface ProcessPause {
  /** Records a tick. Returns the time since the last one if it shows a pause, in milliseconds, and otherwise 0. */
  tick: (now: number) => number
  /**
   * Whether tasks may be sent. What arrived during a pause is read between the tick that shows it and the next one:
   * callers may have left.
   */
  maySend: (now: number) => boolean
}

/**
 * Creates the detection for a process that has not ticked. Ticks come in another phase of the event loop than input, so
 * that a whole poll for input lies between two of them, however long timers take. All times are on the steady clock, in
 * milliseconds.
 *
 * @example
 * const pause = createProcessPause()
 * pause.tick(0)
 * pause.maySend(1_900) // false
 * pause.tick(1_900) // 1900
 */
export function createProcessPause (): ProcessPause {
  let lastTickAt: number | undefined
  let isPaused = false
  return {
    tick: now => {
      const gap = now - (lastTickAt ?? now)
      isPaused = gap > (isPaused ? REPEATED_PAUSE_MILLISECONDS : PROCESS_PAUSE_MILLISECONDS)
      lastTickAt = now
      return isPaused ? gap : 0
    },
    maySend: now => !isPaused && now - (lastTickAt ?? now) <= PROCESS_PAUSE_MILLISECONDS
  }
}
