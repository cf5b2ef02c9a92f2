/** A small HTTP client towards an entry, with kept-alive connections. */
import { Agent, request } from 'node:http'

/** An answer of an entry. */
export interface CallerAnswer {
  readonly status: number
  readonly body: unknown
}

/** A request to an entry. */
export interface CallerRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Base URL of the entry, such as `http://127.0.0.1:8080`. */
  readonly url: string
  readonly path: string
  /** Secret of the access key; none sends no header. */
  readonly secret?: string
  readonly body?: unknown
}

/** Sends requests. */
export interface Caller {
  /**
   * Sends a request and reads its whole answer.
   *
   * @throws Error where the connection breaks before the answer is whole.
   */
  send: (given: CallerRequest) => Promise<CallerAnswer>
  close: () => void
}

/** Bounds of a caller's connections to one address. */
export interface CallerOptions {
  /** Connections at most; no bound where the load is open. */
  readonly maxSockets?: number
  /** Idle connections that are kept. */
  readonly maxFreeSockets?: number
}

/**
 * Makes a caller.
 *
 * @example
 * const caller = createCaller({ maxSockets: 200 })
 * const answer = await caller.send({ method: 'GET', url: entry.url, path: '/readyz' })
 */
export function createCaller (options: CallerOptions): Caller {
  const agent = new Agent({ keepAlive: true, ...options })

  function send (given: CallerRequest): Promise<CallerAnswer> {
    const body = given.body === undefined ? undefined : JSON.stringify(given.body)
    const headers: Record<string, string> = {}
    if (given.secret !== undefined) headers.authorization = `Bearer ${given.secret}`
    if (body !== undefined) {
      headers['content-type'] = 'application/json'
      headers['content-length'] = String(Buffer.byteLength(body))
    }
    return new Promise((resolve, reject) => {
      const outgoing = request(new URL(given.path, given.url), { method: given.method, agent, headers }, incoming => {
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
