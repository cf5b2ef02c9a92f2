/** Time for which input waited before a busy process read it. */

/** Readings of the process, in milliseconds. */
export interface LoopReading {
  readonly now: number
  /** Total time for which the event loop has waited for input since the start of the process. */
  readonly idle: number
}

export interface ReadDelay {
  /** Records that all input which was there has been read; to be called once in each turn of the event loop. */
  markRead: (reading: LoopReading) => void
  /** Returns how long input that is read now has waited at most, in milliseconds. */
  longest: (reading: LoopReading) => number
}

/**
 * Creates the read delay of a process that has just started to listen. Input arrives at any time after the previous
 * input was read; while the event loop waits, it is read as it arrives.
 *
 * @example
 * const readDelay = createReadDelay({ now: 0, idle: 0 })
 * readDelay.longest({ now: 300, idle: 20 }) // 280
 */
export function createReadDelay (started: LoopReading): ReadDelay {
  let last = started
  return {
    markRead: reading => { last = reading },
    longest: ({ now, idle }) => Math.max(0, now - last.now - (idle - last.idle))
  }
}
