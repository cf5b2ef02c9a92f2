/** Shows on standard error what a command is waiting for, if the command takes longer than a second. */

export interface ProgressOptions {
  readonly write: (text: string) => void
  /** Whether the output is a terminal, on which the line is rewritten in place. */
  readonly isTerminal: boolean
}

/** Progress display of one command. */
export interface Progress {
  /** Replaces the activity that is shown. */
  report: (activity: string) => void
  /** Removes the display. */
  stop: () => void
}

const DISPLAY_DELAY_MILLISECONDS = 1_000
const TERMINAL_INTERVAL_MILLISECONDS = 500
const PLAIN_INTERVAL_MILLISECONDS = 10_000
const CLEAR_LINE = '\r\u001b[K'

/**
 * Starts a progress display.
 *
 * @param text - Activity to show until the first report.
 *
 * @example
 * const progress = startProgress('reading the fleet', { write: text => process.stderr.write(text), isTerminal: true })
 * try { await work() } finally { progress.stop() }
 */
export function startProgress (text: string, options: ProgressOptions): Progress {
  const startedAt = Date.now()
  let activity = text
  let isShown = false
  let timer: NodeJS.Timeout | undefined

  function show (): void {
    const seconds = Math.round((Date.now() - startedAt) / 1_000)
    const line = `${activity} (${seconds} s)`
    options.write(options.isTerminal ? CLEAR_LINE + line : line + '\n')
    isShown = true
    timer = setTimeout(show, options.isTerminal ? TERMINAL_INTERVAL_MILLISECONDS : PLAIN_INTERVAL_MILLISECONDS)
    timer.unref()
  }

  timer = setTimeout(show, DISPLAY_DELAY_MILLISECONDS)
  return {
    report (next) { activity = next },
    stop () {
      clearTimeout(timer)
      if (isShown && options.isTerminal) options.write(CLEAR_LINE)
    }
  }
}
