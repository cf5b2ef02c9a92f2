/** The client of the platform's log: the only place where this package meets sockets and timers. */
import type { Logger, Random } from '@baobabpost/common'
import { createAppendQueue } from './append-queue.js'
import { createLogHttp, type ReadAnswer } from './log-http.js'
import { createNonce, decodeLogRecord, encodeLogRecord } from './log-record-codec.js'
import type { AppendOutcome, PlatformLogClient, PlatformLogListener } from './platform-log-client.js'

/** Records asked for in one read. */
const READ_LIMIT_RECORDS = 500
/** How often pending appends are looked at. */
const PUMP_MILLISECONDS = 20
/** An empty read that came back sooner than this is not asked again at once. */
const SHORTEST_EMPTY_READ_MILLISECONDS = 20
const MINIMUM_BACK_OFF_MILLISECONDS = 50
const MAXIMUM_BACK_OFF_MILLISECONDS = 1_000

/** Settings of the client. */
export interface PlatformLogClientOptions {
  /** Address `IP:PORT` of the log. */
  readonly address: string
  /** Identity that the records carry. */
  readonly author: string
  readonly listener: PlatformLogListener
  readonly random: Random
  readonly logger: Logger
  /** Time for which a read waits for new records. */
  readonly waitMilliseconds?: number
  /** Time after which an answer is given up. */
  readonly answerMilliseconds?: number
  readonly maximumPendingAppends?: number
  readonly maximumAppendsPerSecond?: number
  /** Time after which a record that could not be appended is given up. */
  readonly abandonAfterMilliseconds?: number
}

/**
 * Makes a client; nothing is sent before `start`.
 *
 * @example
 * const client = createPlatformLogClient({ address: '127.0.0.1:7400', author: 'entry-1', listener, random, logger })
 * client.start()
 */
export function createPlatformLogClient (options: PlatformLogClientOptions): PlatformLogClient {
  const { listener, logger, random } = options
  const waitMilliseconds = options.waitMilliseconds ?? 400
  const http = createLogHttp({ address: options.address, answerMilliseconds: options.answerMilliseconds ?? 2_000 })
  const queue = createAppendQueue({
    maximumPending: options.maximumPendingAppends ?? 1_000,
    maximumInFlight: 8,
    maximumPerSecond: options.maximumAppendsPerSecond ?? 50,
    minimumBackOffMilliseconds: MINIMUM_BACK_OFF_MILLISECONDS,
    maximumBackOffMilliseconds: MAXIMUM_BACK_OFF_MILLISECONDS,
    abandonAfterMilliseconds: options.abandonAfterMilliseconds ?? 10_000,
    random
  })
  let running = false
  let position = 0
  let end = 0
  let endReadStartedAt: number | undefined
  let behindSince: number | undefined
  let lastReachedAt = 0
  let failures = 0
  let readTimer: NodeJS.Timeout | undefined
  let pumpTimer: NodeJS.Timeout | undefined

  function tell (outcome: AppendOutcome | undefined): void {
    if (outcome === undefined) return
    if (outcome.kind !== 'appended') logger.warn('an append was given up', { kind: outcome.kind, nonce: outcome.nonce })
    listener.onAppendOutcome(outcome)
  }

  function reportFault (error: unknown): void {
    logger.error('a fault in the handling of the log', { detail: String(error) })
  }

  function pump (): void {
    const now = Date.now()
    for (const outcome of queue.expire(now)) tell(outcome)
    if (!running) return
    for (let append = queue.next(now); append !== undefined; append = queue.next(now)) {
      const { nonce, data } = append
      http.append(data).then(result => {
        tell(queue.attempted(nonce, result, Date.now()))
        schedulePump()
      }).catch(reportFault)
    }
    schedulePump()
  }

  function schedulePump (): void {
    if (pumpTimer !== undefined || !running || queue.pending() === 0) return
    pumpTimer = setTimeout(() => {
      pumpTimer = undefined
      pump()
    }, PUMP_MILLISECONDS)
  }

  function takeRead (answer: ReadAnswer, readStartedAt: number): void {
    const now = Date.now()
    const entries = answer.records.map(({ offset, data }) => ({ offset, record: decodeLogRecord(data) }))
    if (answer.first > position + 1) {
      logger.warn('records were dropped before they were read', { position, first: answer.first })
      position = answer.first - 1
    }
    position = Math.max(position, entries.at(-1)?.offset ?? 0)
    end = answer.next - 1
    if (end < position) logger.error('the log has fewer records than were read from it', { position, end })
    const reachedEnd = position >= end
    listener.onBatch({ entries, firstOffset: answer.first, nextOffset: answer.next, readStartedAt, hasReachedEnd: reachedEnd })
    for (const { offset, record } of entries) {
      if (record !== undefined) tell(queue.seen(record.nonce, offset))
    }
    if (!reachedEnd) return
    queue.endReached(readStartedAt)
    endReadStartedAt = readStartedAt
    lastReachedAt = now
    if (behindSince !== undefined) logger.info('the log is read to its end', { position })
    behindSince = undefined
  }

  function backOff (): number {
    const bound = Math.min(MAXIMUM_BACK_OFF_MILLISECONDS, MINIMUM_BACK_OFF_MILLISECONDS * 2 ** Math.min(failures, 16))
    return bound / 2 + random.fraction() * bound / 2
  }

  function readFailed (error: unknown): void {
    failures += 1
    if (behindSince !== undefined) return
    behindSince = lastReachedAt
    logger.warn('the log can not be read', { detail: String(error) })
  }

  /** Waits for new records only where nothing hangs on knowing the end of the log at once. */
  function readWait (): number {
    return behindSince !== undefined || queue.doubtful() ? 0 : waitMilliseconds
  }

  /** Reads once and gives the pause before the next read, in milliseconds. */
  async function readOnce (): Promise<number> {
    const startedAt = Date.now()
    let answer: ReadAnswer
    try {
      answer = await http.read(position + 1, READ_LIMIT_RECORDS, readWait())
    } catch (error) {
      readFailed(error)
      return backOff()
    }
    if (!running) return 0
    failures = 0
    takeRead(answer, startedAt)
    const tooSoon = answer.records.length === 0 && Date.now() - startedAt < SHORTEST_EMPTY_READ_MILLISECONDS
    return tooSoon ? SHORTEST_EMPTY_READ_MILLISECONDS : 0
  }

  function readOn (): void {
    readOnce().catch((error: unknown) => {
      reportFault(error)
      return MAXIMUM_BACK_OFF_MILLISECONDS
    }).then(pause => {
      if (running) readTimer = setTimeout(readOn, pause)
    }).catch(reportFault)
  }

  return {
    append (changes) {
      const now = Date.now()
      const nonce = createNonce(now)
      const data = encodeLogRecord({ author: options.author, nonce, changes })
      if (queue.add({ nonce, data }, now)) pump()
      else setImmediate(tell, { kind: 'abandoned', nonce } satisfies AppendOutcome)
      return nonce
    },
    status: () => ({ position, end, endReadStartedAt, behindSince, pendingAppends: queue.pending() }),
    start () {
      if (running) return
      running = true
      lastReachedAt = Date.now()
      behindSince = lastReachedAt
      readOn()
      pump()
    },
    close () {
      running = false
      clearTimeout(readTimer)
      clearTimeout(pumpTimer)
      http.close()
      for (const outcome of queue.clear()) tell(outcome)
    }
  }
}
