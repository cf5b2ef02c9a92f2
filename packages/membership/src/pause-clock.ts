/**
 * Measures the time during which this process ran. Missing heartbeats count only while this process could receive
 * them: otherwise it would suspect every other process after a pause of its own.
 */

/** Longest time between two ticks that counts as running; the rest of a longer gap is a process pause. */
const MAXIMUM_TICK_GAP_MILLISECONDS = 300

/** Clock that leaves out pauses of this process. */
export interface PauseClock {
  /** Records that the process runs at the given Unix time in milliseconds. */
  tick: (now: number) => void
  /** Running time since the clock was created; does not advance during pauses. */
  runningMilliseconds: () => number
}

/**
 * Creates a clock that does not advance while the process is paused.
 *
 * @example
 * const clock = createPauseClock(now)
 */
export function createPauseClock (startedAt: number): PauseClock {
  let lastTickAt = startedAt
  let runningMilliseconds = 0
  return {
    tick (now) {
      runningMilliseconds += Math.min(Math.max(0, now - lastTickAt), MAXIMUM_TICK_GAP_MILLISECONDS)
      lastTickAt = now
    },
    runningMilliseconds: () => runningMilliseconds
  }
}
