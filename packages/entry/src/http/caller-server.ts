/** The HTTP server of an entry for callers and operators: routing, authentication, limits and problem answers. */
import { createServer as createPlainServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createSecureServer, type ServerOptions } from 'node:https'
import { authorizeOperator, type Access, type Principal } from '@baobabpost/access'
import { createDefaultGuard, endAnswer, type ClientGuard, type GuardedRequest } from '@baobabpost/client-limits'
import { DispatchError, errorAnswer, type ErrorKind, type Logger, type Metrics } from '@baobabpost/common'
import { createProblem, type Problem } from '@baobabpost/messages'
import { BODY_TIMEOUT_MILLISECONDS, readBody } from './read-body.js'
import type { HttpAnswer, Route } from './route.js'
import { createRouter, type RouteMatch } from './router.js'

const HEADERS_TIMEOUT_MILLISECONDS = 5_000
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 30_000
const MAXIMUM_HEADER_BYTES = 16_384

export interface CallerServerOptions {
  readonly routes: readonly Route[]
  readonly access: Access
  readonly logger: Logger
  readonly metrics: Metrics
  readonly now: () => number
  /** Limits on what callers may make the process hold; those of a process without settings by default. */
  readonly guard?: ClientGuard
  /** Certificate and key; plain HTTP if absent. */
  readonly transportSecurity?: ServerOptions
}

/**
 * Turns a problem into an HTTP answer with the status of its error kind.
 *
 * @example
 * answerProblem(createProblem('not-run', 'The queue is full', { retryAfterMilliseconds: 500 })).status // 503
 */
export function answerProblem (problem: Problem): HttpAnswer {
  const { status } = errorAnswer(problem.kind)
  const { retryAfterMilliseconds } = problem
  return retryAfterMilliseconds === undefined
    ? { status, body: problem }
    : { status, body: problem, retryAfterMilliseconds }
}

/** Creates the HTTP server, which does not listen yet. */
export function createCallerServer (options: CallerServerOptions): Server {
  const findRoute = createRouter(options.routes)

  function authenticate (match: RouteMatch, header: string | undefined): Principal | undefined {
    if (match.route.access === 'open') return undefined
    const principal = options.access.authenticate(header)
    if (principal instanceof DispatchError) throw principal
    if (match.route.access !== 'operator') return principal
    const fault = authorizeOperator(principal)
    if (fault !== undefined) throw fault
    return principal
  }

  async function answer (
    incoming: IncomingMessage, request: GuardedRequest, signal: AbortSignal
  ): Promise<HttpAnswer> {
    const arrivedAt = options.now()
    const url = new URL(incoming.url ?? '/', 'http://entry')
    const match = findRoute(incoming.method ?? '', url.pathname)
    if (match === undefined) {
      throw new DispatchError({ kind: 'unknown-route', detail: `${incoming.method ?? ''} ${url.pathname.slice(0, 200)}` })
    }
    const principal = authenticate(match, incoming.headers.authorization)
    const body = await readBody(incoming, request)
    return await match.route.handle({
      parameters: match.parameters, query: url.searchParams, body, principal, arrivedAt, signal
    })
  }

  function toProblem (failure: unknown): Problem {
    if (failure instanceof DispatchError) {
      const { retryAfterMilliseconds } = failure
      return createProblem(
        failure.kind, failure.detail, retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds })
    }
    options.logger.error('request failed', { reason: failure instanceof Error ? failure.stack : String(failure) })
    return createProblem('internal', 'The request met a fault inside the system')
  }

  function writeAnswer (outgoing: ServerResponse, result: HttpAnswer, closeConnection: boolean): void {
    if (outgoing.destroyed || outgoing.headersSent) return
    const body = JSON.stringify(result.body)
    if (result.status >= 400) {
      options.metrics.count('errors.count', 1, (result.body as { kind?: ErrorKind }).kind ?? 'internal')
    }
    const retryAfter = result.retryAfterMilliseconds
    outgoing.statusCode = result.status
    outgoing.setHeader('content-type', result.status >= 400 ? 'application/problem+json' : 'application/json')
    outgoing.setHeader('content-length', Buffer.byteLength(body))
    if (retryAfter !== undefined) outgoing.setHeader('retry-after', Math.max(1, Math.ceil(retryAfter / 1000)))
    if (closeConnection) outgoing.setHeader('connection', 'close')
    endAnswer(outgoing, body)
  }

  function handle (incoming: IncomingMessage, outgoing: ServerResponse, request: GuardedRequest): void {
    const controller = new AbortController()
    outgoing.on('close', () => { if (!outgoing.writableFinished) controller.abort() })
    answer(incoming, request, controller.signal).then(
      result => { writeAnswer(outgoing, result, false) },
      (failure: unknown) => { writeAnswer(outgoing, answerProblem(toProblem(failure)), !incoming.complete) })
  }

  const serverLimits = {
    headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
    requestTimeout: BODY_TIMEOUT_MILLISECONDS + HEADERS_TIMEOUT_MILLISECONDS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
    maxHeaderSize: MAXIMUM_HEADER_BYTES
  }
  const server = options.transportSecurity === undefined
    ? createPlainServer(serverLimits)
    : createSecureServer({ ...serverLimits, ...options.transportSecurity })
  const guard = options.guard ?? createDefaultGuard('callers')
  guard.serve(server, handle)
  server.on('clientError', (_failure, socket) => {
    if (!socket.writable) return socket.destroy()
    const problem = createProblem('malformed-request', 'The request is not well-formed HTTP')
    const body = JSON.stringify(problem)
    socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-type: application/problem+json\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
  })
  return server
}
