/** HTTP client of an entry; validates answers by their schemas. */
import { request as requestHttp, type IncomingMessage, type RequestOptions } from 'node:http'
import { request as requestHttps } from 'node:https'
import { Problem } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import { CommandFailure, failureFromProblem } from './command-failure.js'

export interface EntryClientOptions {
  /** Base URL of the entry, such as `http://10.0.0.5:8080`. */
  readonly url: string
  /** Access key, sent as a bearer token; `undefined` sends no Authorization header. */
  readonly key: string | undefined
}

export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE'

/** Client of one entry. Each method rejects with a `CommandFailure`. */
export interface EntryClient {
  /** Sends a request and decodes the answer by `schema`. */
  request: <S extends Schema.Codec<unknown>>(method: Method, path: string, schema: S, body?: unknown) => Promise<S['Type']>
}

const ANSWER_TIMEOUT_MILLISECONDS = 330_000
const MAXIMUM_ANSWER_BYTES = 268_435_456

interface HttpAnswer {
  readonly status: number
  readonly text: string
}

function unreachableFailure (url: string, reason: string): CommandFailure {
  return new CommandFailure({
    exit: 'unreachable',
    detail: `The request to the entry at ${url} failed: ${reason}`,
    next: 'Check --entry (BAOBABPOST_ENTRY_URL); every entry of the fleet can answer the request.'
  })
}

async function readText (answer: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  let bytes = 0
  for await (const part of answer as AsyncIterable<Buffer>) {
    bytes += part.length
    if (bytes > MAXIMUM_ANSWER_BYTES) throw new Error(`its answer is longer than ${MAXIMUM_ANSWER_BYTES} bytes`)
    parts.push(part)
  }
  return Buffer.concat(parts).toString('utf8')
}

function sendRequest (url: URL, options: RequestOptions, body: string | undefined): Promise<HttpAnswer> {
  const request = url.protocol === 'https:' ? requestHttps : requestHttp
  return new Promise((resolve, reject) => {
    const outgoing = request(url, options, answer => {
      readText(answer).then(text => { resolve({ status: answer.statusCode ?? 0, text }) }, reject)
    })
    outgoing.setTimeout(ANSWER_TIMEOUT_MILLISECONDS, () => { outgoing.destroy(new Error(`no answer within ${ANSWER_TIMEOUT_MILLISECONDS} ms`)) })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

function parseUrl (text: string): URL {
  const url = URL.canParse(text) ? new URL(text) : null
  if (url !== null && (url.protocol === 'http:' || url.protocol === 'https:')) return url
  throw new CommandFailure({ exit: 'usage', detail: `'${text}' is not an HTTP or HTTPS URL such as http://10.0.0.5:8080` })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function decodeAnswer<S extends Schema.Codec<unknown>> (url: string, schema: S, httpAnswer: HttpAnswer): S['Type'] {
  const value = parseJson(httpAnswer.text)
  if (httpAnswer.status >= 400) {
    const problem = Schema.decodeUnknownResult(Problem)(value)
    if (Result.isSuccess(problem)) throw failureFromProblem(problem.success)
    throw unreachableFailure(url, `it answered with status ${httpAnswer.status} and a body that is not a baobabpost problem`)
  }
  const decoded = Schema.decodeUnknownResult(schema)(value)
  if (Result.isSuccess(decoded)) return decoded.success
  throw unreachableFailure(url, `its answer does not match the expected schema: ${decoded.failure.message.split('\n')[0] ?? ''}`)
}

/**
 * Creates a client of one entry.
 *
 * @throws CommandFailure with exit `usage` if the URL is not an HTTP or HTTPS URL.
 *
 * @example
 * const client = createEntryClient({ url: 'http://127.0.0.1:8080', key })
 * const fleet = await client.request('GET', '/v1/fleet', FleetStatus)
 */
export function createEntryClient (options: EntryClientOptions): EntryClient {
  const base = parseUrl(options.url)
  return {
    async request (method, path, schema, body) {
      const headers: Record<string, string> = { accept: 'application/json' }
      if (options.key !== undefined) headers.authorization = `Bearer ${options.key}`
      const text = body === undefined ? undefined : JSON.stringify(body)
      if (text !== undefined) {
        headers['content-type'] = 'application/json'
        headers['content-length'] = String(Buffer.byteLength(text))
      }
      let httpAnswer: HttpAnswer
      try {
        httpAnswer = await sendRequest(new URL(path, base), { method, headers }, text)
      } catch (error) {
        throw unreachableFailure(base.origin, error instanceof Error ? error.message : String(error))
      }
      return decodeAnswer(base.origin, schema, httpAnswer)
    }
  }
}
