/** HTTP exchange with the platform's log, over kept-alive connections. */
import { Agent, request as createRequest, type IncomingMessage } from 'node:http'
import { Result, Schema } from 'effect'
import { NonNegativeInt } from '@baobabpost/messages'
import type { AttemptResult } from './append-queue.js'

/** Most bytes of an answer. */
const MAXIMUM_ANSWER_BYTES = 33_554_432
const MAXIMUM_CONNECTIONS = 16

const ReadAnswer = Schema.Struct({
  first: NonNegativeInt,
  next: NonNegativeInt,
  records: Schema.Array(Schema.Struct({ offset: NonNegativeInt, data: Schema.String }))
})
/** Answer to a read. */
export type ReadAnswer = typeof ReadAnswer.Type

const AppendAnswer = Schema.Struct({ offset: NonNegativeInt })
const decodeRead = Schema.decodeUnknownSync(ReadAnswer)
const decodeAppend = Schema.decodeUnknownResult(AppendAnswer)

interface Answer {
  readonly status: number
  readonly body: unknown
}

/** The exchange with one log. */
export interface LogHttp {
  /** Reads; rejects where no valid answer came in time. */
  read: (from: number, limit: number, waitMilliseconds: number) => Promise<ReadAnswer>
  /** Tries once to append. */
  append: (data: string) => Promise<AttemptResult>
  /** Ends all connections. */
  close: () => void
}

/** Where the log is and how long an answer may take beyond the wait that was asked for. */
export interface LogHttpOptions {
  /** Address `IP:PORT`. */
  readonly address: string
  readonly answerMilliseconds: number
}

async function readAnswer (response: IncomingMessage): Promise<Answer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_ANSWER_BYTES) throw new Error('the answer of the log is too large')
    chunks.push(chunk)
  }
  return { status: response.statusCode ?? 0, body: JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown }
}

/** Whether the connection was never made, so that the request can't have arrived. */
function isUnsent (error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
}

/** Judges the answer to an append: only a refusal of the request itself proves that it had no effect. */
function judgeAppend (answer: Answer): AttemptResult {
  const decoded = decodeAppend(answer.body)
  if (answer.status === 200 && Result.isSuccess(decoded)) return { kind: 'appended', offset: decoded.success.offset }
  if (answer.status === 429) return { kind: 'refused' }
  if (answer.status >= 400 && answer.status < 500) return { kind: 'rejected' }
  return { kind: 'doubtful' }
}

/**
 * Makes the exchange with one log; connections are made when they are needed.
 *
 * @example
 * const log = createLogHttp({ address: '127.0.0.1:7400', answerMilliseconds: 2_000 })
 */
export function createLogHttp (options: LogHttpOptions): LogHttp {
  const agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_CONNECTIONS })
  const base = `http://${options.address}`

  async function exchange (method: string, path: string, text: string | undefined, bound: number): Promise<Answer> {
    return await new Promise<Answer>((resolve, reject) => {
      const headers = text === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
      const request = createRequest(new URL(path, base), { agent, method, headers }, response => {
        readAnswer(response).then(resolve, reject).finally(() => { clearTimeout(timer) })
      })
      const timer = setTimeout(() => { request.destroy(new Error('the log did not answer in time')) }, bound)
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
      if (answer.status !== 200) throw new Error(`the log answered ${answer.status}`)
      return decodeRead(answer.body)
    },
    async append (data) {
      try {
        return judgeAppend(await exchange('POST', '/append', JSON.stringify({ data }), options.answerMilliseconds))
      } catch (error) {
        return { kind: isUnsent(error) ? 'refused' : 'doubtful' }
      }
    },
    close () { agent.destroy() }
  }
}
