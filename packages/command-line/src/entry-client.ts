/** Asks an entry over HTTP or HTTPS and checks its answers by their schemas. */
import { request as requestPlain, type IncomingMessage, type RequestOptions } from 'node:http'
import { request as requestSecure } from 'node:https'
import { Problem } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import { CommandFailure, failureOf } from './command-failure.js'

/** Where the entry is and who asks. */
export interface EntryClientOptions {
  /** Such as `http://10.0.0.5:8080`. */
  readonly url: string
  readonly key: string | undefined
}

/** Method of a request. */
export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE'

/** Asks one entry. Every failure is a `CommandFailure`. */
export interface EntryClient {
  /** Sends a request and decodes the answer. */
  ask: <S extends Schema.Codec<unknown>>(method: Method, path: string, schema: S, body?: unknown) => Promise<S['Type']>
}

const ANSWER_TIMEOUT_MILLISECONDS = 330_000
const MAXIMUM_ANSWER_BYTES = 268_435_456

/** Status and text of an answer. */
interface RawAnswer {
  readonly status: number
  readonly text: string
}

function unreachable (url: string, reason: string): CommandFailure {
  return new CommandFailure({
    exit: 'unreachable',
    detail: `The entry at ${url} could not be asked: ${reason}`,
    next: 'Check --entry (BAOBABPOST_ENTRY_URL); any other entry of the fleet answers as well.'
  })
}

async function readText (answer: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  let bytes = 0
  for await (const part of answer as AsyncIterable<Buffer>) {
    bytes += part.length
    if (bytes > MAXIMUM_ANSWER_BYTES) throw new Error('its answer is too large')
    parts.push(part)
  }
  return Buffer.concat(parts).toString('utf8')
}

function send (url: URL, options: RequestOptions, body: string | undefined): Promise<RawAnswer> {
  const request = url.protocol === 'https:' ? requestSecure : requestPlain
  return new Promise((resolve, reject) => {
    const outgoing = request(url, options, answer => {
      readText(answer).then(text => { resolve({ status: answer.statusCode ?? 0, text }) }, reject)
    })
    outgoing.setTimeout(ANSWER_TIMEOUT_MILLISECONDS, () => { outgoing.destroy(new Error('it gave no answer in time')) })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

function parseUrl (text: string): URL {
  const url = URL.canParse(text) ? new URL(text) : null
  if (url !== null && (url.protocol === 'http:' || url.protocol === 'https:')) return url
  throw new CommandFailure({ exit: 'usage', detail: `'${text}' is not a URL of an entry, such as http://10.0.0.5:8080` })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function decodeAnswer<S extends Schema.Codec<unknown>> (url: string, schema: S, raw: RawAnswer): S['Type'] {
  const value = parseJson(raw.text)
  if (raw.status >= 400) {
    const problem = Schema.decodeUnknownResult(Problem)(value)
    if (Result.isSuccess(problem)) throw failureOf(problem.success)
    throw unreachable(url, `it answered with status ${raw.status} and no problem of ours`)
  }
  const decoded = Schema.decodeUnknownResult(schema)(value)
  if (Result.isSuccess(decoded)) return decoded.success
  throw unreachable(url, `its answer has an unexpected form: ${decoded.failure.message.split('\n')[0] ?? ''}`)
}

/**
 * Makes a client of one entry.
 *
 * @example
 * const client = createEntryClient({ url: 'http://127.0.0.1:8080', key })
 * const fleet = await client.ask('GET', '/v1/fleet', FleetStatus)
 */
export function createEntryClient (options: EntryClientOptions): EntryClient {
  const base = parseUrl(options.url)
  return {
    async ask (method, path, schema, body) {
      const headers: Record<string, string> = { accept: 'application/json' }
      if (options.key !== undefined) headers.authorization = `Bearer ${options.key}`
      const text = body === undefined ? undefined : JSON.stringify(body)
      if (text !== undefined) {
        headers['content-type'] = 'application/json'
        headers['content-length'] = String(Buffer.byteLength(text))
      }
      let raw: RawAnswer
      try {
        raw = await send(new URL(path, base), { method, headers }, text)
      } catch (reason) {
        throw unreachable(base.origin, reason instanceof Error ? reason.message : String(reason))
      }
      return decodeAnswer(base.origin, schema, raw)
    }
  }
}
