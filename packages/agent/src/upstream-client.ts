/** Calls the upstream over keep-alive HTTP; distinguishes calls that never reached it from those that may have run. */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import type { TaskRequest, TaskResult, UpstreamPort } from '@baobabpost/execution'
import { isShallow, MAXIMUM_ANSWER_BYTES } from '@baobabpost/messages'

const MAXIMUM_DETAIL_CHARACTERS = 200
const PROBE_TIMEOUT_MILLISECONDS = 1_000
/** Header with the identity of the task, as `SUBMISSION/INDEX`. */
export const TASK_IDENTITY_HEADER = 'x-task-identity'

export interface UpstreamClientOptions {
  /** Address `IP:PORT` of the upstream. */
  readonly address: string
  /** Maximum number of concurrent connections. */
  readonly connections: number
  /** Time after which an idle connection is closed. */
  readonly idleMilliseconds: number
  /** Called once for each call, with its result. */
  readonly onResult: (submission: string, index: number, result: TaskResult) => void
  /** Called when a probe connects to the upstream. */
  readonly onReachable: () => void
}

export interface UpstreamClient extends UpstreamPort {
  /** Aborts all calls and closes all connections. */
  close: () => void
}

type Settle = (result: TaskResult) => void

/** Reads the answer of the upstream, up to `MAXIMUM_ANSWER_BYTES`. */
function readAnswer (response: IncomingMessage, settle: Settle): void {
  const status = response.statusCode ?? 0
  const isSuccess = status >= 200 && status < 300
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
    settle(isSuccess ? parseAnswer(text, bytes) : failureResult(status, text))
  })
  response.on('error', () => {
    // With a failure status the outcome is known, even if the body is incomplete.
    settle(isSuccess ? { kind: 'silent' } : failureResult(status, ''))
  })
}

function failureResult (status: number, text: string): TaskResult {
  return { kind: 'failed', detail: `HTTP ${status}: ${text.slice(0, MAXIMUM_DETAIL_CHARACTERS)}` }
}

function parseAnswer (text: string, answerBytes: number): TaskResult {
  try {
    const answer: unknown = JSON.parse(text)
    if (!isShallow(answer)) return { kind: 'failed', detail: 'The answer has too many levels' }
    return { kind: 'succeeded', answer, answerBytes }
  } catch {
    return { kind: 'failed', detail: `The answer is not JSON: ${text.slice(0, MAXIMUM_DETAIL_CHARACTERS)}` }
  }
}

/**
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
    // Closes idle connections only, before the upstream does: a close by the upstream looks like a lost answer.
    timeout: options.idleMilliseconds
  })
  const calls = new Map<string, ClientRequest>()
  let isProbing = false

  function post (identity: string, task: TaskRequest, settle: Settle): ClientRequest {
    const body = JSON.stringify({ ...task.parameters, ...task.input })
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [TASK_IDENTITY_HEADER]: identity
    }
    const call = request({ host, port, agent, method: 'POST', path: task.path, headers })
    let isConnected = false
    call.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => { isConnected = true })
      else isConnected = true
    })
    call.on('response', response => { readAnswer(response, settle) })
    call.on('error', () => { settle({ kind: isConnected ? 'silent' : 'unreached' }) })
    call.on('close', () => { settle({ kind: isConnected ? 'silent' : 'unreached' }) })
    call.end(body)
    return call
  }

  return {
    startTask (task) {
      const { submission, index } = task
      const identity = `${submission}/${index}`
      let isSettled = false
      function settle (result: TaskResult): void {
        if (isSettled) return
        isSettled = true
        calls.delete(identity)
        options.onResult(submission, index, result)
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
      if (isProbing) return
      isProbing = true
      const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MILLISECONDS })
      socket.once('connect', () => {
        options.onReachable()
        socket.destroy()
      })
      socket.on('timeout', () => { socket.destroy() })
      socket.on('error', () => {})
      socket.once('close', () => { isProbing = false })
    },
    close () {
      for (const call of calls.values()) call.destroy()
      agent.destroy()
    }
  }
}
