/** Shows that an upstream has become slow before its runs end, by the lateness of several of them together. */

/** A run that a listing shows. */
export interface PresentRun {
  readonly task: string
  readonly run: number
  /** Progress, 0 to 100. */
  readonly percent: number
  /** Time since the start order, and the expected time of the run, in milliseconds. */
  readonly elapsedMilliseconds: number
  readonly expectedMilliseconds: number
}

export interface Pace {
  /** Records how a run that was done compares with its expected time. */
  recordDone: (ratio: number, now: number) => void
  /** Takes the runs of a listing into account. */
  observe: (runs: readonly PresentRun[], now: number) => void
  /** How much longer present runs take than expected; 1 unless most of them are late. */
  pace: () => number
}

interface ProgressMark {
  readonly run: number
  readonly percent: number
  readonly at: number
}

/** Shortest time over which progress is compared: an upstream may tell it only some times a second. */
const PROGRESS_INTERVAL_MILLISECONDS = 250
/** Time for which a run that was done counts beside the present ones. */
const DONE_RETENTION_MILLISECONDS = 400
/** Runs of which most must be late: one alone says nothing of the upstream, since 3 % of the tasks are long. */
const MINIMUM_RUNS = 2
/** Lateness from which runs count as late; below it the learned spread covers them. */
const LATE_RATIO = 1.5
/** Largest lateness: runs without any progress are stopped as stalled. */
const MAXIMUM_RATIO = 10

/**
 * Creates the pace of an instance of an upstream. It answers the load of upstreams that slow down without a word: their
 * runs would tell only when they end, which takes the longer the slower they are.
 *
 * @example
 * const pace = createPace()
 * pace.observe(runs, now)
 * pace.pace() // 1 while at most half of the runs are late
 */
export function createPace (): Pace {
  const marks = new Map<string, ProgressMark>()
  let done: Array<{ readonly ratio: number, readonly at: number }> = []
  let pace = 1

  /** Returns the lateness that a run's progress since its mark shows; 1 while the mark is too recent. */
  function progressRatio ({ task, run, percent, expectedMilliseconds }: PresentRun, now: number): number {
    const mark = marks.get(task)
    if (mark?.run !== run) {
      marks.set(task, { run, percent, at: now })
      return 1
    }
    const milliseconds = now - mark.at
    if (milliseconds < PROGRESS_INTERVAL_MILLISECONDS) return 1
    if (milliseconds >= 2 * PROGRESS_INTERVAL_MILLISECONDS) marks.set(task, { run, percent, at: now })
    const expectedPercent = 100 * milliseconds / expectedMilliseconds
    return expectedPercent / Math.max(expectedPercent / MAXIMUM_RATIO, percent - mark.percent)
  }

  return {
    recordDone: (ratio, now) => { done.push({ ratio, at: now }) },
    pace: () => pace,
    observe: (runs, now) => {
      done = done.filter(({ at }) => now - at < DONE_RETENTION_MILLISECONDS)
      const present = new Set(runs.map(({ task }) => task))
      for (const task of marks.keys()) if (!present.has(task)) marks.delete(task)
      const ratios = done.map(({ ratio }) => ratio)
      for (const run of runs) {
        ratios.push(Math.max(run.elapsedMilliseconds / run.expectedMilliseconds, progressRatio(run, now)))
      }
      ratios.sort((left, right) => left - right)
      const lowerMedian = ratios[Math.floor((ratios.length - 1) / 2)] ?? 1
      const isLate = ratios.length >= MINIMUM_RUNS && lowerMedian >= LATE_RATIO
      pace = isLate ? Math.min(MAXIMUM_RATIO, lowerMedian) : 1
    }
  }
}
