/** Limit of the time for which accepted jobs wait until an entry handles them. */

/** Longest wait of an accepted job: half of the 60 ms that a short job has beside its run. */
const LONGEST_WAIT_MILLISECONDS = 30
/** Time that the handling of a job is taken to last before the first ones; code that has just started is slow. */
const INITIAL_HANDLING_MILLISECONDS = 10
/** Weight of the newest job in the moving average of the handling times. */
const HANDLING_WEIGHT = 0.2

/** What waits at the entry when a job is read. */
export interface EntryLoad {
  /** Accepted jobs that wait to be handled. */
  readonly waitingJobs: number
  /** Longest time for which the job that is read had waited unread, in milliseconds. */
  readonly unreadMilliseconds: number
}

export interface WaitLimit {
  /** Whether a job that is read now is accepted. */
  admit: (load: EntryLoad) => boolean
  /** Records that the handling of a job begins at `now`, and how many others wait then. */
  recordHandling: (waitingJobs: number, now: number) => void
  /** Time between the beginnings of two jobs' handling while others wait, in milliseconds. */
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
 * limit.admit({ waitingJobs: 0, unreadMilliseconds: 2 }) // true
 * limit.recordHandling(0, now)
 */
export function createWaitLimit (): WaitLimit {
  let handlingMilliseconds = INITIAL_HANDLING_MILLISECONDS
  /** When the handling of the last job began; undefined if no other waited then. */
  let lastHandlingAt: number | undefined

  return {
    admit: ({ waitingJobs, unreadMilliseconds }) =>
      waitingJobs === 0 || unreadMilliseconds + waitingJobs * handlingMilliseconds <= LONGEST_WAIT_MILLISECONDS,
    recordHandling: (waitingJobs, now) => {
      if (lastHandlingAt !== undefined) {
        handlingMilliseconds += HANDLING_WEIGHT * (now - lastHandlingAt - handlingMilliseconds)
      }
      lastHandlingAt = waitingJobs > 0 ? now : undefined
    },
    handlingMilliseconds: () => handlingMilliseconds
  }
}
