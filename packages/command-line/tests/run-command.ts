import { execFile } from 'node:child_process'
import { createServer, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { fileURLToPath } from 'node:url'

const MAIN = fileURLToPath(new URL('../dist/main.js', import.meta.url))

/** Exit code and output of a command. */
export interface CommandResult {
  readonly code: number
  readonly output: string
  readonly errors: string
}

/** Runs the built command line as a child process. */
export function runCommand (argv: readonly string[], environment: NodeJS.ProcessEnv = {}, input = ''): Promise<CommandResult> {
  return new Promise(resolve => {
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, ...environment }
    const child = execFile(process.execPath, [MAIN, ...argv], { env }, (error, output, errors) => {
      const code = error === null ? 0 : Number(error.code)
      resolve({ code, output, errors })
    })
    child.stdin?.end(input)
  })
}

/** Request that a stub entry received. */
export interface ReceivedRequest {
  readonly method: string
  readonly path: string
  readonly authorization: string | undefined
  readonly body: unknown
}

/** Answer of a stub entry. */
export interface StubAnswer {
  readonly status: number
  readonly body: unknown
  /** Whether the stub closes the connection instead of answering. */
  readonly closesConnection?: boolean
}

/** HTTP server on loopback that takes the place of an entry. */
export interface StubEntry {
  readonly url: string
  readonly receivedRequests: ReceivedRequest[]
  close: () => void
}

async function readBody (incoming: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = []
  for await (const part of incoming) parts.push(part as Buffer)
  return parts.length === 0 ? undefined : JSON.parse(Buffer.concat(parts).toString())
}

/** Starts a stub entry. `answer` gets each request with its index, counted from 0. */
export function startStubEntry (answer: (request: ReceivedRequest, index: number) => StubAnswer): Promise<StubEntry> {
  const receivedRequests: ReceivedRequest[] = []
  const server = createServer((incoming, outgoing) => {
    readBody(incoming).then(body => {
      const { method = '', url = '' } = incoming
      const request = { method, path: url, authorization: incoming.headers.authorization, body }
      receivedRequests.push(request)
      const stubAnswer = answer(request, receivedRequests.length - 1)
      if (stubAnswer.closesConnection === true) outgoing.destroy()
      else outgoing.writeHead(stubAnswer.status, { 'content-type': 'application/json' }).end(JSON.stringify(stubAnswer.body))
    }, () => { outgoing.destroy() })
  })
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo
      resolve({ url: `http://127.0.0.1:${port}`, receivedRequests, close: () => { server.close(); server.closeAllConnections() } })
    })
  })
}
