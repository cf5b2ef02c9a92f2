/** HTTP client of entries, with keep-alive connections. */
import { Agent, request } from 'node:http'

/** Answer of an entry. */
export interface CallerAnswer {
  readonly status: number
  /** Parsed JSON, or `undefined` if the body is empty. */
  readonly body: unknown
}

/** Request to an entry. */
export interface CallerRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Base URL of the entry, such as `http://127.0.0.1:8080`. */
  readonly url: string
  readonly path: string
  /** Secret of the access key; without it no Authorization header is sent. */
  readonly secret?: string
  readonly body?: unknown
}

export interface Caller {
  /**
   * Sends a request and reads the complete answer.
   *
   * @throws Error if the connection breaks before the answer is complete.
   */
  send: (callerRequest: CallerRequest) => Promise<CallerAnswer>
  /** Closes all connections. */
  close: () => void
}

/** Limits of the connections to one address. */
export interface CallerOptions {
  /** Maximum number of connections; unlimited by default, as an open-loop load needs it. */
  readonly maxSockets?: number
  /** Maximum number of idle connections that are kept open. */
  readonly maxFreeSockets?: number
}

/**
 * Creates a client with its own connection pool.
 *
 * @example
 * const caller = createCaller({ maxSockets: 200 })
 * const answer = await caller.send({ method: 'GET', url: entry.url, path: '/readyz' })
 */
export function createCaller (options: CallerOptions): Caller {
  const agent = new Agent({ keepAlive: true, ...options })

  function send (callerRequest: CallerRequest): Promise<CallerAnswer> {
    const body = callerRequest.body === undefined ? undefined : JSON.stringify(callerRequest.body)
    const headers: Record<string, string> = {}
    if (callerRequest.secret !== undefined) headers.authorization = `Bearer ${callerRequest.secret}`
    if (body !== undefined) {
      headers['content-type'] = 'application/json'
      headers['content-length'] = String(Buffer.byteLength(body))
    }
    return new Promise((resolve, reject) => {
      const outgoing = request(new URL(callerRequest.path, callerRequest.url), {
        method: callerRequest.method, agent, headers
      }, incoming => {
        const chunks: Buffer[] = []
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
        incoming.on('error', reject)
        incoming.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8')
          resolve({ status: incoming.statusCode ?? 0, body: text === '' ? undefined : JSON.parse(text) as unknown })
        })
      })
      outgoing.on('error', reject)
      outgoing.end(body)
    })
  }

  return { send, close: () => { agent.destroy() } }
}
