/** Writes log lines without ever blocking the loop, and within a bounded volume. */
import { write } from 'node:fs'

/** Interval at which lines are written, so that a busy process makes few writes. */
const FLUSH_MILLISECONDS = 50
/** Lines of ordinary work that are written in a second; a fleet at its usual load writes a third of it. */
const ORDINARY_LINES_PER_SECOND = 600
/** Bytes that may wait for a slow reader. */
const MAXIMUM_WAITING_BYTES = 1_048_576

/** Lines that were dropped since the last time that this was told. */
export interface DroppedLines {
  /** Lines of ordinary work, beyond the rate or the space. */
  readonly ordinary: number
  /** Lines of failures and changes, beyond the space only. */
  readonly essential: number
}

/** A sink of lines. */
export interface LineSink {
  /** Takes a line without its end. Ordinary ones are the first to be dropped. */
  take: (line: string, essential: boolean) => void
  /** Lines dropped in all. */
  dropped: () => DroppedLines
  /** Resolves when what was taken is written, or after the timeout. */
  drain: (timeoutMilliseconds: number) => Promise<void>
}

/** What a sink writes to. */
export interface LineSinkOptions {
  /** Writes text and calls back; a file descriptor by default. */
  readonly writeText?: (text: string, done: (written: boolean) => void) => void
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

function writeToStandardOutput (text: string, done: (written: boolean) => void): void {
  const buffer = Buffer.from(text)
  const writeFrom = (position: number): void => {
    write(1, buffer, position, (failure, written) => {
      if (failure !== null) return done(false)
      if (position + written >= buffer.length) return done(true)
      writeFrom(position + written)
    })
  }
  writeFrom(0)
}

/**
 * Makes a sink of lines. One write is under way at a time; what comes meanwhile waits, within a bounded space.
 *
 * @example
 * const sink = createLineSink({ now: () => performance.now() })
 * sink.take('{"event":"entry started"}', true)
 */
export function createLineSink (options: LineSinkOptions): LineSink {
  const writeText = options.writeText ?? writeToStandardOutput
  const dropped = { ordinary: 0, essential: 0 }
  let waiting: string[] = []
  let waitingBytes = 0
  let writing = false
  let planned = false
  let tokens = ORDINARY_LINES_PER_SECOND
  let filledAt = options.now()

  function takeToken (): boolean {
    const now = options.now()
    tokens = Math.min(ORDINARY_LINES_PER_SECOND, tokens + (now - filledAt) * ORDINARY_LINES_PER_SECOND / 1_000)
    filledAt = now
    if (tokens < 1) return false
    tokens -= 1
    return true
  }

  function plan (): void {
    if (planned || writing || waiting.length === 0) return
    planned = true
    setTimeout(flush, FLUSH_MILLISECONDS)
  }

  function flush (): void {
    planned = false
    if (writing || waiting.length === 0) return
    const text = waiting.join('')
    waiting = []
    waitingBytes = 0
    writing = true
    writeText(text, () => {
      writing = false
      plan()
    })
  }

  return {
    take: (line, essential) => {
      const full = waitingBytes + line.length > MAXIMUM_WAITING_BYTES
      // Half of the space is kept for the lines that explain failures.
      const fullForOrdinary = waitingBytes + line.length > MAXIMUM_WAITING_BYTES / 2
      if (essential ? full : fullForOrdinary || !takeToken()) {
        dropped[essential ? 'essential' : 'ordinary'] += 1
        return
      }
      waiting.push(line + '\n')
      waitingBytes += line.length + 1
      plan()
    },
    dropped: () => ({ ...dropped }),
    drain: async timeoutMilliseconds => {
      const deadline = options.now() + timeoutMilliseconds
      flush()
      while ((writing || waiting.length > 0) && options.now() < deadline) {
        await new Promise(resolve => { setTimeout(resolve, 5) })
        flush()
      }
    }
  }
}
