/** Spreads work over the turns of the event loop. */

export interface TurnLane {
  /** Runs work in a later turn, after what was added before; one piece a turn. */
  add: (work: () => void) => void
}

/**
 * Creates a lane without work.
 *
 * @param defer - Calls back in the next turn.
 * @example
 * const lane = createTurnLane(setImmediate)
 * lane.add(() => { socket.resume() })
 */
export function createTurnLane (defer: (run: () => void) => void): TurnLane {
  const waiting: Array<() => void> = []

  function runNext (): void {
    const work = waiting.shift()
    if (waiting.length > 0) defer(runNext)
    work?.()
  }

  return {
    add: work => {
      waiting.push(work)
      if (waiting.length === 1) defer(runNext)
    }
  }
}
