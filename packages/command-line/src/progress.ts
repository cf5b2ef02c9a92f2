/** Shows on standard error that a command is still at work, once it takes over a second. */

/** Where and how progress is shown. */
export interface ProgressOptions {
  readonly write: (text: string) => void
  /** Whether the line may be rewritten in place. */
  readonly isTerminal: boolean
}

/** Progress of one command. */
export interface Progress {
  /** Says what is awaited now. */
  report: (text: string) => void
  /** Ends the display. */
  stop: () => void
}

const FIRST_SHOWN_AFTER_MILLISECONDS = 1_000
const TERMINAL_INTERVAL_MILLISECONDS = 500
const PLAIN_INTERVAL_MILLISECONDS = 10_000
const CLEAR_LINE = '\r\u001b[K'

/**
 * Starts to show progress.
 *
 * @example
 * const progress = startProgress('asking the entry', { write: text => process.stderr.write(text), isTerminal: true })
 * try { await work() } finally { progress.stop() }
 */
export function startProgress (text: string, options: ProgressOptions): Progress {
  const startedAt = Date.now()
  let current = text
  let shown = false
  let timer: NodeJS.Timeout | undefined

  function show (): void {
    const seconds = Math.round((Date.now() - startedAt) / 1_000)
    const line = `${current} (${seconds} s)`
    options.write(options.isTerminal ? CLEAR_LINE + line : line + '\n')
    shown = true
    timer = setTimeout(show, options.isTerminal ? TERMINAL_INTERVAL_MILLISECONDS : PLAIN_INTERVAL_MILLISECONDS)
    timer.unref()
  }

  timer = setTimeout(show, FIRST_SHOWN_AFTER_MILLISECONDS)
  return {
    report (next) { current = next },
    stop () {
      clearTimeout(timer)
      if (shown && options.isTerminal) options.write(CLEAR_LINE)
    }
  }
}
