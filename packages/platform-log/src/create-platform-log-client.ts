/** Client of the platform's log: reads by long poll, schedules appends and reports outcomes. */
import type { Logger, Random } from '@baobabpost/common'
import { createAppendQueue } from './append-queue.js'
import { createLogHttp, type ReadAnswer } from './log-http.js'
import { createNonce, decodeLogRecord, encodeLogRecord } from './log-record-codec.js'
import type { AppendOutcome, PlatformLogClient, PlatformLogListener } from './platform-log-client.js'

/** Maximum number of records in one read. */
const READ_LIMIT_RECORDS = 500
/** Interval at which pending appends are sent or expire. */
const SEND_INTERVAL_MILLISECONDS = 20
/** An empty read that returns sooner than this is followed by a pause, so that reads do not loop at full speed. */
const MINIMUM_EMPTY_READ_MILLISECONDS = 20
const MINIMUM_BACK_OFF_MILLISECONDS = 50
const MAXIMUM_BACK_OFF_MILLISECONDS = 1_000

export interface PlatformLogClientOptions {
  /** Address `IP:PORT` of the log. */
  readonly address: string
  /** Identity written into each record as its author. */
  readonly author: string
  readonly listener: PlatformLogListener
  readonly random: Random
  readonly logger: Logger
  /** Time for which a read waits for new records; 400 by default. */
  readonly waitMilliseconds?: number
  /** Time allowed for an answer, beyond the wait for new records; 2,000 by default. */
  readonly answerMilliseconds?: number
  /** 1,000 by default. */
  readonly maximumPendingAppends?: number
  /** 50 by default. */
  readonly maximumAppendsPerSecond?: number
  /** Time after which a record that could not be appended is abandoned; 10,000 by default. */
  readonly abandonAfterMilliseconds?: number
}

/**
 * Creates a client; nothing is sent before `start`.
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
  let isRunning = false
  let position = 0
  let end = 0
  let endReadStartedAt: number | undefined
  let behindSince: number | undefined
  let endReachedAt = 0
  let consecutiveFailures = 0
  let readTimer: NodeJS.Timeout | undefined
  let sendTimer: NodeJS.Timeout | undefined

  function reportOutcome (outcome: AppendOutcome | undefined): void {
    if (outcome === undefined) return
    if (outcome.kind !== 'appended') logger.warn('append will not be retried', { kind: outcome.kind, nonce: outcome.nonce })
    listener.onAppendOutcome(outcome)
  }

  function logFault (error: unknown): void {
    logger.error('error while handling an answer of the platform log', { detail: String(error) })
  }

  function sendPending (): void {
    const now = Date.now()
    for (const outcome of queue.expire(now)) reportOutcome(outcome)
    if (!isRunning) return
    for (let append = queue.next(now); append !== undefined; append = queue.next(now)) {
      const { nonce, data } = append
      http.append(data).then(result => {
        reportOutcome(queue.attemptFinished(nonce, result, Date.now()))
        scheduleSend()
      }).catch(logFault)
    }
    scheduleSend()
  }

  function scheduleSend (): void {
    if (sendTimer !== undefined || !isRunning || queue.pendingCount() === 0) return
    sendTimer = setTimeout(() => {
      sendTimer = undefined
      sendPending()
    }, SEND_INTERVAL_MILLISECONDS)
  }

  function handleRead (answer: ReadAnswer, readStartedAt: number): void {
    const now = Date.now()
    const entries = answer.records.map(({ offset, data }) => ({
      offset, record: data === undefined ? undefined : decodeLogRecord(data)
    }))
    if (answer.first > position + 1) {
      logger.warn('the platform log dropped records before they were read', { position, first: answer.first })
      position = answer.first - 1
    }
    position = Math.max(position, entries.at(-1)?.offset ?? 0)
    end = answer.next - 1
    if (end < position) logger.error('the platform log ends before records that were already read', { position, end })
    const hasReachedEnd = position >= end
    listener.onBatch({ entries, firstOffset: answer.first, nextOffset: answer.next, readStartedAt, hasReachedEnd })
    for (const { offset, record } of entries) {
      if (record !== undefined) reportOutcome(queue.foundOnLog(record.nonce, offset))
    }
    if (!hasReachedEnd) return
    queue.endReached(readStartedAt)
    endReadStartedAt = readStartedAt
    endReachedAt = now
    if (behindSince !== undefined) logger.info('platform log read to its end', { position })
    behindSince = undefined
  }

  function backOffMilliseconds (): number {
    const bound = Math.min(
      MAXIMUM_BACK_OFF_MILLISECONDS, MINIMUM_BACK_OFF_MILLISECONDS * 2 ** Math.min(consecutiveFailures, 16)
    )
    return bound / 2 + random.fraction() * bound / 2
  }

  function readFailed (error: unknown): void {
    consecutiveFailures += 1
    if (behindSince !== undefined) return
    behindSince = endReachedAt
    logger.warn('reading the platform log failed', { detail: String(error) })
  }

  /** Wait for new records: none while this client is behind, or needs the end of the log for doubtful appends. */
  function readWaitMilliseconds (): number {
    return behindSince !== undefined || queue.hasDoubtful() ? 0 : waitMilliseconds
  }

  /** Reads once and returns the pause before the next read, in milliseconds. */
  async function readOnce (): Promise<number> {
    const startedAt = Date.now()
    let answer: ReadAnswer
    try {
      answer = await http.read(position + 1, READ_LIMIT_RECORDS, readWaitMilliseconds())
    } catch (error) {
      readFailed(error)
      return backOffMilliseconds()
    }
    if (!isRunning) return 0
    consecutiveFailures = 0
    handleRead(answer, startedAt)
    const isTooSoon = answer.records.length === 0 && Date.now() - startedAt < MINIMUM_EMPTY_READ_MILLISECONDS
    return isTooSoon ? MINIMUM_EMPTY_READ_MILLISECONDS : 0
  }

  function continueReading (): void {
    readOnce().catch((error: unknown) => {
      logFault(error)
      return MAXIMUM_BACK_OFF_MILLISECONDS
    }).then(pauseMilliseconds => {
      if (isRunning) readTimer = setTimeout(continueReading, pauseMilliseconds)
    }).catch(logFault)
  }

  return {
    append (changes) {
      const now = Date.now()
      const nonce = createNonce(now)
      const data = encodeLogRecord({ author: options.author, nonce, changes })
      if (queue.add({ nonce, data }, now)) sendPending()
      else setImmediate(reportOutcome, { kind: 'abandoned', nonce } satisfies AppendOutcome)
      return nonce
    },
    status: () => ({ position, end, endReadStartedAt, behindSince, pendingAppends: queue.pendingCount() }),
    start () {
      if (isRunning) return
      isRunning = true
      endReachedAt = Date.now()
      behindSince = endReachedAt
      continueReading()
      sendPending()
    },
    close () {
      isRunning = false
      clearTimeout(readTimer)
      clearTimeout(sendTimer)
      http.close()
      for (const outcome of queue.clear()) reportOutcome(outcome)
    }
  }
}
