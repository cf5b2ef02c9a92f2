/** An HTTP server in place of an upstream: it has slots and a speed, counts every start and fails on request. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Result, Schema } from 'effect'
import { UpstreamFault } from './upstream-fault.js'

const MAXIMUM_BODY_BYTES = 1_048_576
const KEEP_ALIVE_MILLISECONDS = 60_000
const DEFAULT_QUEUED_TASKS = 1_000
const IDENTITY_HEADER = 'x-task-identity'

/** What a stand-in upstream is like. */
export interface StandInUpstreamOptions {
  /** Told in each answer. */
  readonly name: string
  /** Port on 127.0.0.1; 0 takes any free port. */
  readonly port: number
  /** Tasks that run at once; further tasks wait. */
  readonly slots: number
  /** Factor by which run times are divided. */
  readonly speed: number
  /** Run time of a task whose body names none. */
  readonly defaultMilliseconds: number
  /** Most tasks that wait for a slot; further tasks get 503 and don't start. 1,000 by default. */
  readonly maximumQueuedTasks?: number
}

/** A stand-in upstream that runs. */
export interface StandInUpstream {
  /** `IP:PORT`. */
  readonly address: string
  /** Number of starts by task identity (`SUBMISSION/INDEX`). */
  starts: () => ReadonlyMap<string, number>
  /** Tasks that run now. */
  runningTasks: () => number
  setFault: (fault: UpstreamFault) => Promise<void>
  close: () => Promise<void>
}

/** A task that arrived. */
interface ArrivedTask {
  readonly identity: string
  readonly body: Record<string, unknown>
  readonly response: ServerResponse
}

const TaskBody = Schema.Record(Schema.String, Schema.Unknown)

function answer (response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed || response.writableEnded) return
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

async function readBody (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_BODY_BYTES) return undefined
    chunks.push(chunk)
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
  } catch {
    return undefined
  }
}

async function listen (server: Server, port: number): Promise<number> {
  return await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject)
      resolve((server.address() as AddressInfo).port)
    })
  })
}

async function closeServer (server: Server): Promise<void> {
  if (!server.listening) return
  await new Promise<void>(resolve => {
    server.close(() => { resolve() })
    server.closeAllConnections()
  })
}

/** The slots: runs tasks, or lets them wait. */
function createSlots (options: StandInUpstreamOptions, currentFault: () => UpstreamFault) {
  const starts = new Map<string, number>()
  const waiting: ArrivedTask[] = []
  const timers = new Set<NodeJS.Timeout>()
  let running = 0

  function finish (task: ArrivedTask): void {
    running -= 1
    if (task.body['fail'] === true || currentFault().kind === 'fails-all') {
      answer(task.response, 500, { error: 'the task failed', upstream: options.name })
    } else {
      answer(task.response, 200, { echo: task.body, upstream: options.name })
    }
    startNext()
  }

  function start (task: ArrivedTask): void {
    running += 1
    starts.set(task.identity, (starts.get(task.identity) ?? 0) + 1)
    const fault = currentFault()
    if (fault.kind === 'hangs') {
      task.response.once('close', () => {
        running -= 1
        startNext()
      })
      return
    }
    const timer = setTimeout(() => {
      timers.delete(timer)
      finish(task)
    }, runMilliseconds(task, fault))
    timers.add(timer)
  }

  function runMilliseconds (task: ArrivedTask, fault: UpstreamFault): number {
    if (fault.kind === 'fails-all') return 0
    const work = task.body['workMilliseconds']
    const milliseconds = typeof work === 'number' ? work : options.defaultMilliseconds
    return milliseconds / options.speed * (fault.kind === 'slow' ? fault.factor : 1)
  }

  function startNext (): void {
    while (running < options.slots) {
      const task = waiting.shift()
      if (task === undefined) return
      start(task)
    }
  }

  return {
    starts,
    running: () => running,
    arrive (task: ArrivedTask): void {
      if (running < options.slots) start(task)
      else if (waiting.length < (options.maximumQueuedTasks ?? DEFAULT_QUEUED_TASKS)) waiting.push(task)
      else answer(task.response, 503, { error: 'no slot is free', upstream: options.name })
    },
    /** Forgets all that runs and waits, as a death does. */
    drop (): void {
      for (const timer of timers) clearTimeout(timer)
      timers.clear()
      waiting.length = 0
      running = 0
    }
  }
}

/**
 * Starts a stand-in upstream.
 *
 * `POST` to any path runs a task: the JSON body may carry `workMilliseconds` and `fail`; the header `x-task-identity`
 * names the task. `GET /starts` tells the starts by task, `POST /fault` sets a fault.
 *
 * @example
 * const upstream = await createStandInUpstream({
 *   name: 'upstream-1', port: 0, slots: 8, speed: 1, defaultMilliseconds: 50
 * })
 */
export async function createStandInUpstream (options: StandInUpstreamOptions): Promise<StandInUpstream> {
  let fault: UpstreamFault = { kind: 'none' }
  const slots = createSlots(options, () => fault)

  async function setFault (next: UpstreamFault): Promise<void> {
    fault = next
    if (next.kind === 'dies') {
      slots.drop()
      await closeServer(server)
    } else if (!server.listening) {
      await listen(server, port)
    }
  }

  async function changeFault (body: unknown, response: ServerResponse): Promise<void> {
    const decoded = Schema.decodeUnknownResult(UpstreamFault)(body)
    if (Result.isFailure(decoded)) {
      answer(response, 400, { error: decoded.failure.message })
      return
    }
    if (decoded.success.kind !== 'dies') answer(response, 200, decoded.success)
    await setFault(decoded.success)
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'GET' && request.url === '/starts') {
      answer(response, 200, Object.fromEntries(slots.starts))
      return
    }
    const body = await readBody(request)
    if (request.method === 'POST' && request.url === '/fault') {
      await changeFault(body, response)
      return
    }
    const decoded = Schema.decodeUnknownResult(TaskBody)(body)
    const identity = request.headers[IDENTITY_HEADER]
    if (request.method !== 'POST' || typeof identity !== 'string' || Result.isFailure(decoded)) {
      answer(response, 400, { error: `POST a JSON object with the header ${IDENTITY_HEADER}` })
      return
    }
    slots.arrive({ identity, body: decoded.success, response })
  }

  const server = createServer((request, response) => {
    // A caller that breaks off in the middle of its body is owed no answer.
    handle(request, response).catch(() => { response.destroy() })
  })
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS
  const port = await listen(server, options.port)
  return {
    address: `127.0.0.1:${port}`,
    starts: () => slots.starts,
    runningTasks: slots.running,
    setFault,
    async close () {
      slots.drop()
      await closeServer(server)
    }
  }
}
