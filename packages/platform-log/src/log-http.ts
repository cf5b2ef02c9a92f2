/** HTTP requests to the platform's log, over keep-alive connections. */
import { Agent, request as createRequest, type IncomingMessage } from 'node:http'
import { Result, Schema } from 'effect'
import { NonNegativeInt } from '@baobabpost/messages'
import type { AttemptResult } from './append-queue.js'

const MAXIMUM_ANSWER_BYTES = 33_554_432
const MAXIMUM_CONNECTIONS = 16

const ReadBody = Schema.Struct({
  first: NonNegativeInt,
  next: NonNegativeInt,
  records: Schema.Array(Schema.Unknown)
})
const ReadRecord = Schema.Struct({ offset: NonNegativeInt, data: Schema.Unknown })

/** Answer to a read: the oldest kept offset, the offset of the next append, and the records. */
export interface ReadAnswer {
  readonly first: number
  readonly next: number
  /** With the data of each record, or undefined if the record does not decode. */
  readonly records: ReadonlyArray<{ readonly offset: number, readonly data: string | undefined }>
}

const AppendAnswer = Schema.Struct({ offset: NonNegativeInt })
const decodeRead = Schema.decodeUnknownSync(ReadBody)
const decodeRecord = Schema.decodeUnknownResult(ReadRecord)
const decodeAppend = Schema.decodeUnknownResult(AppendAnswer)

interface Answer {
  readonly status: number
  readonly body: unknown
}

/** HTTP requests to one log. */
export interface LogHttp {
  /** Reads records from an offset on; rejects if no valid answer arrives in time. */
  read: (from: number, limit: number, waitMilliseconds: number) => Promise<ReadAnswer>
  /** Sends the record once, without a retry; never rejects. */
  append: (data: string) => Promise<AttemptResult>
  /** Closes all connections. */
  close: () => void
}

export interface LogHttpOptions {
  /** Address `IP:PORT`. */
  readonly address: string
  /** Time allowed for an answer, beyond the wait for new records. */
  readonly answerMilliseconds: number
}

async function readAnswer (response: IncomingMessage): Promise<Answer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_ANSWER_BYTES) throw new Error(`the answer of the platform log exceeds ${MAXIMUM_ANSWER_BYTES} bytes`)
    chunks.push(chunk)
  }
  return { status: response.statusCode ?? 0, body: JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown }
}

/**
 * Reads records one by one; their offsets rise. One without a possible offset is skipped, and the gap that it may leave
 * is read like one of records that the log has dropped. If none has a possible offset, the first is passed over.
 */
function readRecords ({ first, next, records }: typeof ReadBody.Type, from: number): ReadAnswer['records'] {
  const readable: Array<ReadAnswer['records'][number]> = []
  const start = Math.max(first, from)
  let previous = start - 1
  for (const record of records) {
    const decoded = decodeRecord(record)
    if (Result.isFailure(decoded)) continue
    const { offset, data } = decoded.success
    if (offset <= previous || offset >= next) continue
    readable.push({ offset, data: typeof data === 'string' ? data : undefined })
    previous = offset
  }
  return readable.length === 0 && records.length > 0 && start < next ? [{ offset: start, data: undefined }] : readable
}

/** Whether the connection was refused, so that the request can't have reached the log. */
function isConnectionRefused (error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
}

/** Derives the result of an append from the answer: only a 4xx status proves that it had no effect. */
function classifyAppend (answer: Answer): AttemptResult {
  const decoded = decodeAppend(answer.body)
  if (answer.status === 200 && Result.isSuccess(decoded)) return { kind: 'appended', offset: decoded.success.offset }
  if (answer.status === 429) return { kind: 'refused' }
  if (answer.status >= 400 && answer.status < 500) return { kind: 'rejected' }
  return { kind: 'doubtful' }
}

/**
 * Creates an HTTP client of one log; connections are opened when they are needed.
 *
 * @example
 * const log = createLogHttp({ address: '127.0.0.1:7400', answerMilliseconds: 2_000 })
 */
export function createLogHttp (options: LogHttpOptions): LogHttp {
  const agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_CONNECTIONS })
  const base = `http://${options.address}`

  async function exchange (
    method: string, path: string, text: string | undefined, timeoutMilliseconds: number
  ): Promise<Answer> {
    return await new Promise<Answer>((resolve, reject) => {
      const headers = text === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
      const request = createRequest(new URL(path, base), { agent, method, headers }, response => {
        readAnswer(response).then(resolve, reject).finally(() => { clearTimeout(timer) })
      })
      const timer = setTimeout(() => { request.destroy(new Error(`the platform log did not answer within ${timeoutMilliseconds} ms`)) }, timeoutMilliseconds)
      request.once('error', error => {
        clearTimeout(timer)
        reject(error)
      })
      request.end(text)
    })
  }

  return {
    async read (from, limit, waitMilliseconds) {
      const path = `/records?from=${from}&limit=${limit}&waitMilliseconds=${waitMilliseconds}`
      const answer = await exchange('GET', path, undefined, waitMilliseconds + options.answerMilliseconds)
      if (answer.status !== 200) throw new Error(`the platform log answered with status ${answer.status} instead of 200`)
      const body = decodeRead(answer.body)
      return { first: body.first, next: body.next, records: readRecords(body, from) }
    },
    async append (data) {
      try {
        return classifyAppend(await exchange('POST', '/append', JSON.stringify({ data }), options.answerMilliseconds))
      } catch (error) {
        return { kind: isConnectionRefused(error) ? 'refused' : 'doubtful' }
      }
    },
    close () { agent.destroy() }
  }
}
