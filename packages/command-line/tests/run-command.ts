import { execFile } from 'node:child_process'
import { createServer, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { fileURLToPath } from 'node:url'

const MAIN = fileURLToPath(new URL('../dist/main.js', import.meta.url))

/** How a command ended. */
export interface CommandResult {
  readonly code: number
  readonly output: string
  readonly errors: string
}

/** Runs the built command line as a process of its own. */
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

/** What a stand-in for an entry was asked. */
export interface AskedRequest {
  readonly method: string
  readonly path: string
  readonly authorization: string | undefined
  readonly body: unknown
}

/** An answer of a stand-in for an entry; `hangUp` breaks the connection off. */
export interface GivenAnswer {
  readonly status: number
  readonly body: unknown
  readonly hangUp?: boolean
}

/** A stand-in for an entry on loopback. */
export interface EntryStandIn {
  readonly url: string
  readonly asked: AskedRequest[]
  close: () => void
}

async function readBody (incoming: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = []
  for await (const part of incoming) parts.push(part as Buffer)
  return parts.length === 0 ? undefined : JSON.parse(Buffer.concat(parts).toString())
}

/** Starts a stand-in for an entry. */
export function startEntry (answer: (request: AskedRequest, place: number) => GivenAnswer): Promise<EntryStandIn> {
  const asked: AskedRequest[] = []
  const server = createServer((incoming, outgoing) => {
    readBody(incoming).then(body => {
      const { method = '', url = '' } = incoming
      const request = { method, path: url, authorization: incoming.headers.authorization, body }
      asked.push(request)
      const given = answer(request, asked.length - 1)
      if (given.hangUp === true) outgoing.destroy()
      else outgoing.writeHead(given.status, { 'content-type': 'application/json' }).end(JSON.stringify(given.body))
    }, () => { outgoing.destroy() })
  })
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo
      resolve({ url: `http://127.0.0.1:${port}`, asked, close: () => { server.close(); server.closeAllConnections() } })
    })
  })
}
