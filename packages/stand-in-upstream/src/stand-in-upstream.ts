/** HTTP server that stands in for an upstream: has slots and a speed, counts starts per task, fails on request. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Result, Schema } from 'effect'
import { UpstreamFault } from './upstream-fault.js'

const MAXIMUM_BODY_BYTES = 1_048_576
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 60_000
const DEFAULT_MAXIMUM_QUEUED_TASKS = 1_000
const IDENTITY_HEADER = 'x-task-identity'

export interface StandInUpstreamOptions {
  /** Returned as `upstream` in each answer. */
  readonly name: string
  /** Port on 127.0.0.1; 0 selects a free port. */
  readonly port: number
  /** Number of tasks that run concurrently; further tasks are queued. */
  readonly slots: number
  /** Divisor of run times: at 2, a task takes half its time. */
  readonly speed: number
  /** Run time of a task whose body has no `workMilliseconds`. */
  readonly defaultMilliseconds: number
  /** Maximum number of queued tasks; further tasks get 503 and don't start. 1,000 by default. */
  readonly maximumQueuedTasks?: number
}

export interface StandInUpstream {
  /** `IP:PORT`. */
  readonly address: string
  /** Number of starts by task identity (`SUBMISSION/INDEX`). */
  starts: () => ReadonlyMap<string, number>
  /** Number of tasks that occupy a slot, including hanging ones. */
  runningTasks: () => number
  setFault: (fault: UpstreamFault) => Promise<void>
  close: () => Promise<void>
}

interface ReceivedTask {
  readonly identity: string
  readonly body: Record<string, unknown>
  readonly response: ServerResponse
}

const TaskBody = Schema.Record(Schema.String, Schema.Unknown)

function sendResponse (response: ServerResponse, status: number, body: unknown): void {
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

/** Creates the task slots, which run tasks and queue those that find no free slot. */
function createTaskSlots (options: StandInUpstreamOptions, currentFault: () => UpstreamFault) {
  const starts = new Map<string, number>()
  const queuedTasks: ReceivedTask[] = []
  const timers = new Set<NodeJS.Timeout>()
  let runningCount = 0

  function finish (task: ReceivedTask): void {
    runningCount -= 1
    if (task.body['fail'] === true || currentFault().kind === 'fails-all') {
      sendResponse(task.response, 500, { error: 'the task failed', upstream: options.name })
    } else {
      sendResponse(task.response, 200, { echo: task.body, upstream: options.name })
    }
    startQueuedTasks()
  }

  function start (task: ReceivedTask): void {
    runningCount += 1
    starts.set(task.identity, (starts.get(task.identity) ?? 0) + 1)
    const fault = currentFault()
    if (fault.kind === 'hangs') {
      task.response.once('close', () => {
        runningCount -= 1
        startQueuedTasks()
      })
      return
    }
    const timer = setTimeout(() => {
      timers.delete(timer)
      finish(task)
    }, computeRunMilliseconds(task, fault))
    timers.add(timer)
  }

  function computeRunMilliseconds (task: ReceivedTask, fault: UpstreamFault): number {
    if (fault.kind === 'fails-all') return 0
    const workMilliseconds = task.body['workMilliseconds']
    const milliseconds = typeof workMilliseconds === 'number' ? workMilliseconds : options.defaultMilliseconds
    return milliseconds / options.speed * (fault.kind === 'slow' ? fault.factor : 1)
  }

  function startQueuedTasks (): void {
    while (runningCount < options.slots) {
      const task = queuedTasks.shift()
      if (task === undefined) return
      start(task)
    }
  }

  return {
    starts,
    running: () => runningCount,
    startOrQueue (task: ReceivedTask): void {
      if (runningCount < options.slots) start(task)
      else if (queuedTasks.length < (options.maximumQueuedTasks ?? DEFAULT_MAXIMUM_QUEUED_TASKS)) queuedTasks.push(task)
      else sendResponse(task.response, 503, { error: 'no slot is free', upstream: options.name })
    },
    /** Discards all running and queued tasks without answering them, like a crash of the upstream. */
    discardTasks (): void {
      for (const timer of timers) clearTimeout(timer)
      timers.clear()
      queuedTasks.length = 0
      runningCount = 0
    }
  }
}

/**
 * Starts a stand-in upstream.
 *
 * `POST` to any path runs a task: the JSON body may carry `workMilliseconds` and `fail`; the header `x-task-identity`
 * identifies the task. `GET /starts` returns the number of starts per task, `POST /fault` sets a fault.
 *
 * @example
 * const upstream = await createStandInUpstream({
 *   name: 'upstream-1', port: 0, slots: 8, speed: 1, defaultMilliseconds: 50
 * })
 */
export async function createStandInUpstream (options: StandInUpstreamOptions): Promise<StandInUpstream> {
  let fault: UpstreamFault = { kind: 'none' }
  const slots = createTaskSlots(options, () => fault)

  async function setFault (newFault: UpstreamFault): Promise<void> {
    fault = newFault
    if (newFault.kind === 'dies') {
      slots.discardTasks()
      await closeServer(server)
    } else if (!server.listening) {
      await listen(server, port)
    }
  }

  async function handleFault (body: unknown, response: ServerResponse): Promise<void> {
    const decoded = Schema.decodeUnknownResult(UpstreamFault)(body)
    if (Result.isFailure(decoded)) {
      sendResponse(response, 400, { error: decoded.failure.message })
      return
    }
    if (decoded.success.kind !== 'dies') sendResponse(response, 200, decoded.success)
    await setFault(decoded.success)
  }

  async function handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'GET' && request.url === '/starts') {
      sendResponse(response, 200, Object.fromEntries(slots.starts))
      return
    }
    const body = await readBody(request)
    if (request.method === 'POST' && request.url === '/fault') {
      await handleFault(body, response)
      return
    }
    const decoded = Schema.decodeUnknownResult(TaskBody)(body)
    const identity = request.headers[IDENTITY_HEADER]
    if (request.method !== 'POST' || typeof identity !== 'string' || Result.isFailure(decoded)) {
      sendResponse(response, 400, { error: `POST a JSON object with the header ${IDENTITY_HEADER}` })
      return
    }
    slots.startOrQueue({ identity, body: decoded.success, response })
  }

  const server = createServer((request, response) => {
    // Reading fails if the caller disconnects before the end of its body; no answer can reach it then.
    handleRequest(request, response).catch(() => { response.destroy() })
  })
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MILLISECONDS
  const port = await listen(server, options.port)
  return {
    address: `127.0.0.1:${port}`,
    starts: () => slots.starts,
    runningTasks: slots.running,
    setFault,
    async close () {
      slots.discardTasks()
      await closeServer(server)
    }
  }
}
