/** Calls the upstream over kept-alive HTTP, and tells apart what never reached it from what may have run. */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import type { TaskRequest, TaskResult, UpstreamPort } from '@baobabpost/execution'
import { MAXIMUM_ANSWER_BYTES } from '@baobabpost/messages'

const DETAIL_CHARACTERS = 200
const PROBE_TIMEOUT_MILLISECONDS = 1_000
/** Header that names the task to the upstream, as `SUBMISSION/INDEX`. */
export const TASK_IDENTITY_HEADER = 'x-task-identity'

/** What the calls of the upstream need. */
export interface UpstreamClientOptions {
  /** `IP:PORT`. */
  readonly address: string
  /** Most connections at a time. */
  readonly connections: number
  /** Time after which an idle connection is closed. */
  readonly idleMilliseconds: number
  /** A call ended; told once a call. */
  readonly onCompleted: (submission: string, index: number, result: TaskResult) => void
  /** A probe found the upstream accepting connections. */
  readonly onReachable: () => void
}

/** Calls of the upstream. */
export interface UpstreamClient extends UpstreamPort {
  /** Closes all connections. */
  close: () => void
}

type Settle = (result: TaskResult) => void

/** Reads the answer of the upstream, up to the limit. */
function readAnswer (response: IncomingMessage, settle: Settle): void {
  const status = response.statusCode ?? 0
  const succeeded = status >= 200 && status < 300
  const chunks: Buffer[] = []
  let bytes = 0
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= MAXIMUM_ANSWER_BYTES) {
      chunks.push(chunk)
      return
    }
    settle({ kind: 'failed', detail: `HTTP ${status}: the answer exceeds ${MAXIMUM_ANSWER_BYTES} bytes` })
    response.destroy()
  })
  response.on('end', () => {
    const text = Buffer.concat(chunks).toString('utf8')
    settle(succeeded ? parseAnswer(text, bytes) : failure(status, text))
  })
  response.on('error', () => {
    // A status that says failure is the outcome, whatever became of its body.
    settle(succeeded ? { kind: 'silent' } : failure(status, ''))
  })
}

function failure (status: number, text: string): TaskResult {
  return { kind: 'failed', detail: `HTTP ${status}: ${text.slice(0, DETAIL_CHARACTERS)}` }
}

function parseAnswer (text: string, answerBytes: number): TaskResult {
  try {
    return { kind: 'succeeded', answer: JSON.parse(text) as unknown, answerBytes }
  } catch {
    return { kind: 'failed', detail: `The answer is not JSON: ${text.slice(0, DETAIL_CHARACTERS)}` }
  }
}

/**
 * Makes the calls of one upstream.
 *
 * @example
 * const upstream = createUpstreamClient({ address: '10.0.0.9:9000', connections: 60, ...rest })
 * upstream.startTask({ submission, index: 0, path: '/lend', parameters: {}, input: { tool: 'drill' } })
 */
export function createUpstreamClient (options: UpstreamClientOptions): UpstreamClient {
  const separator = options.address.lastIndexOf(':')
  const host = options.address.slice(0, separator)
  const port = Number(options.address.slice(separator + 1))
  const agent = new Agent({
    keepAlive: true,
    maxSockets: options.connections,
    scheduling: 'lifo',
    // Closes idle connections only: one that the upstream closes first could not be told from a lost answer.
    timeout: options.idleMilliseconds
  })
  const calls = new Map<string, ClientRequest>()
  let probing = false

  function post (identity: string, task: TaskRequest, settle: Settle): ClientRequest {
    const body = JSON.stringify({ ...task.parameters, ...task.input })
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [TASK_IDENTITY_HEADER]: identity
    }
    const call = request({ host, port, agent, method: 'POST', path: task.path, headers })
    let connected = false
    call.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => { connected = true })
      else connected = true
    })
    call.on('response', response => { readAnswer(response, settle) })
    call.on('error', () => { settle({ kind: connected ? 'silent' : 'unreached' }) })
    call.on('close', () => { settle({ kind: connected ? 'silent' : 'unreached' }) })
    call.end(body)
    return call
  }

  return {
    startTask (task) {
      const { submission, index } = task
      const identity = `${submission}/${index}`
      let settled = false
      function settle (result: TaskResult): void {
        if (settled) return
        settled = true
        calls.delete(identity)
        options.onCompleted(submission, index, result)
      }
      try {
        calls.set(identity, post(identity, task, settle))
      } catch (error) {
        setImmediate(settle, { kind: 'failed', detail: `The call can not be made: ${String(error)}` })
      }
    },
    abortTask (submission, index) {
      calls.get(`${submission}/${index}`)?.destroy()
    },
    probe () {
      if (probing) return
      probing = true
      const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MILLISECONDS })
      socket.once('connect', () => {
        options.onReachable()
        socket.destroy()
      })
      socket.on('timeout', () => { socket.destroy() })
      socket.on('error', () => {})
      socket.once('close', () => { probing = false })
    },
    close () {
      for (const call of calls.values()) call.destroy()
      agent.destroy()
    }
  }
}
