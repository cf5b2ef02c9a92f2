/** An HTTP client with kept-alive connections and no bound on their number, as the load is open. */
import { Agent, request } from 'node:http'

/** A request. */
export interface ClientRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** `IP:PORT`. */
  readonly address: string
  readonly path: string
  readonly secret?: string
  readonly body?: unknown
}

/** An answer; status 0 where the connection broke. */
export interface ClientAnswer {
  readonly status: number
  readonly body: unknown
}

/** Sends requests. */
export interface HttpClient {
  send: (given: ClientRequest) => Promise<ClientAnswer>
  close: () => void
}

/** Makes a client. */
export function createHttpClient (): HttpClient {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 2_000 })

  function send (given: ClientRequest): Promise<ClientAnswer> {
    const body = given.body === undefined ? undefined : JSON.stringify(given.body)
    const headers: Record<string, string> = {}
    if (given.secret !== undefined) headers.authorization = `Bearer ${given.secret}`
    if (body !== undefined) {
      headers['content-type'] = 'application/json'
      headers['content-length'] = String(Buffer.byteLength(body))
    }
    return new Promise(resolve => {
      const fail = (): void => { resolve({ status: 0, body: undefined }) }
      const options = { method: given.method, agent, headers }
      const outgoing = request(new URL(given.path, `http://${given.address}`), options, incoming => {
        const chunks: Buffer[] = []
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
        incoming.on('error', fail)
        incoming.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8')
          resolve({ status: incoming.statusCode ?? 0, body: text === '' ? undefined : JSON.parse(text) as unknown })
        })
      })
      outgoing.on('error', fail)
      outgoing.end(body)
    })
  }

  return { send, close: () => { agent.destroy() } }
}
