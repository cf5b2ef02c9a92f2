/** Limit of the time for which accepted jobs wait until an entry handles them. */
import type { LoopReading } from './read-delay.js'

/** Longest wait of an accepted job: half of the 60 ms that a short job has beside its run. */
const LONGEST_WAIT_MILLISECONDS = 30
/** Time that the handling of a job is taken to last before the first ones; code that has just started is slow. */
const INITIAL_HANDLING_MILLISECONDS = 10
/** Weight of the newest job in the moving average of the handling times. */
const HANDLING_WEIGHT = 0.1
/** Share of the known handling time that a job counts for if none waited: its own time is only an upper limit. */
const UNKNOWN_PACE_SHARE = 0.5

export interface WaitLimit {
  /** Whether a job that is read now is accepted, while others wait to be handled. */
  admit: (waitingJobs: number) => boolean
  /** Records that the handling of a job begins, while others wait. */
  recordHandling: (waitingJobs: number, reading: LoopReading) => void
  /** Time for which a waiting job waits for each one before it, in milliseconds. */
  handlingMilliseconds: () => number
}

/**
 * Creates a limit for an entry that handles one job after the other, with other work in between. A job is accepted if
 * those before it are expected to be handled soon, and always if none waits: the entry is never idle while it refuses.
 * It answers the load of more callers than an entry can serve, and that of an entry whose code becomes faster within
 * its first seconds.
 *
 * @example
 * const limit = createWaitLimit()
 * limit.admit(0) // true
 * limit.recordHandling(0, { now, idle })
 */
export function createWaitLimit (): WaitLimit {
  let handlingMilliseconds = INITIAL_HANDLING_MILLISECONDS
  let last: LoopReading | undefined
  let hadWaitingJobs = false

  return {
    admit: waitingJobs => waitingJobs === 0 || waitingJobs * handlingMilliseconds <= LONGEST_WAIT_MILLISECONDS,
    recordHandling: (waitingJobs, reading) => {
      if (last !== undefined) {
        const worked = reading.now - last.now - (reading.idle - last.idle)
        // Without a waiting job, work that no job would have waited for is included; a pace that is too slow to let any
        // wait must not last, so it falls.
        const pace = hadWaitingJobs ? worked : Math.min(worked, handlingMilliseconds * UNKNOWN_PACE_SHARE)
        handlingMilliseconds += HANDLING_WEIGHT * (pace - handlingMilliseconds)
      }
      last = reading
      hadWaitingJobs = waitingJobs > 0
    },
    handlingMilliseconds: () => handlingMilliseconds
  }
}
