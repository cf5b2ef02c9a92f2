/** Writes log lines to standard output without blocking the event loop, within a bounded volume. */
import { write } from 'node:fs'

/** Interval between writes: lines are batched so that a busy process makes few of them. */
const FLUSH_INTERVAL_MILLISECONDS = 50
/** Rate limit for ordinary lines; a fleet at its usual load writes a third of this. */
const ORDINARY_LINES_PER_SECOND = 600
/** Size of the buffer for lines that a slow reader has not taken yet. */
const MAXIMUM_WAITING_BYTES = 1_048_576

/** Numbers of lines that were dropped since the start. */
export interface DroppedLines {
  /** Lines of successful work, dropped above the rate limit or if half of the buffer is full. */
  readonly ordinary: number
  /** Lines of failures and changes, dropped only if the whole buffer is full. */
  readonly essential: number
}

/** Buffer that writes log lines in batches. */
export interface LineSink {
  /** Queues a line, given without its line end. Ordinary lines are dropped before essential ones. */
  write: (line: string, isEssential: boolean) => void
  /** Returns the numbers of lines dropped since the start. */
  dropped: () => DroppedLines
  /** Resolves when all queued lines are written, or after the timeout. */
  drain: (timeoutMilliseconds: number) => Promise<void>
}

export interface LineSinkOptions {
  /** Writes text and then calls `done`; to standard output by default. */
  readonly writeText?: (text: string, done: (written: boolean) => void) => void
  /** Monotonic clock in milliseconds. */
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
 * Creates a line sink. Only one write runs at a time; lines that arrive meanwhile wait in a buffer of bounded size.
 *
 * @example
 * const sink = createLineSink({ now: () => performance.now() })
 * sink.write('{"event":"entry started"}', true)
 */
export function createLineSink (options: LineSinkOptions): LineSink {
  const writeText = options.writeText ?? writeToStandardOutput
  // Opening the stream makes a pipe non-blocking: a write to a full one would hold up the exit of the process.
  if (options.writeText === undefined) process.stdout.on('error', () => {})
  const dropped = { ordinary: 0, essential: 0 }
  let waitingLines: string[] = []
  let waitingBytes = 0
  let waitingCounts = { ordinary: 0, essential: 0 }
  let isWriting = false
  let isFlushScheduled = false
  let tokens = ORDINARY_LINES_PER_SECOND
  let refilledAt = options.now()

  function takeToken (): boolean {
    const now = options.now()
    tokens = Math.min(ORDINARY_LINES_PER_SECOND, tokens + (now - refilledAt) * ORDINARY_LINES_PER_SECOND / 1_000)
    refilledAt = now
    if (tokens < 1) return false
    tokens -= 1
    return true
  }

  function scheduleFlush (): void {
    if (isFlushScheduled || isWriting || waitingLines.length === 0) return
    isFlushScheduled = true
    setTimeout(flush, FLUSH_INTERVAL_MILLISECONDS)
  }

  function flush (): void {
    isFlushScheduled = false
    if (isWriting || waitingLines.length === 0) return
    const text = waitingLines.join('')
    waitingLines = []
    waitingBytes = 0
    const counts = waitingCounts
    waitingCounts = { ordinary: 0, essential: 0 }
    isWriting = true
    writeText(text, isWritten => {
      isWriting = false
      if (!isWritten) {
        dropped.ordinary += counts.ordinary
        dropped.essential += counts.essential
      }
      scheduleFlush()
    })
  }

  return {
    write: (line, isEssential) => {
      const bytes = Buffer.byteLength(line) + 1
      const isFull = waitingBytes + bytes > MAXIMUM_WAITING_BYTES
      // Half of the buffer is reserved for essential lines, which explain failures.
      const isFullForOrdinary = waitingBytes + bytes > MAXIMUM_WAITING_BYTES / 2
      if (isEssential ? isFull : isFullForOrdinary || !takeToken()) {
        dropped[isEssential ? 'essential' : 'ordinary'] += 1
        return
      }
      waitingLines.push(line + '\n')
      waitingBytes += bytes
      waitingCounts[isEssential ? 'essential' : 'ordinary'] += 1
      scheduleFlush()
    },
    dropped: () => ({ ...dropped }),
    drain: async timeoutMilliseconds => {
      const deadline = options.now() + timeoutMilliseconds
      flush()
      while ((isWriting || waitingLines.length > 0) && options.now() < deadline) {
        await new Promise(resolve => { setTimeout(resolve, 5) })
        flush()
      }
    }
  }
}
