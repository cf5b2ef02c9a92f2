/** Stand-in for the platform's log: an HTTP server on loopback that keeps its records in memory. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { Result, Schema } from 'effect'
import { FaultChange, type Faults } from './faults.js'
import { createLogStore, type Retention, type ReadResult } from './log-store.js'

const MAXIMUM_APPEND_BYTES = 1_048_576
const MAXIMUM_READ_RECORDS = 1_000
/** Upper limit of `waitMilliseconds`, the time that a read waits for new records. */
const MAXIMUM_WAIT_MILLISECONDS = 30_000
const MILLISECONDS_PER_SECOND = 1_000

const AppendBody = Schema.Struct({ data: Schema.String })

/** Retention, initial faults and port of the stand-in. */
export interface StandInPlatformOptions extends Retention, Faults {
  /** Port on 127.0.0.1; 0 selects a free port. */
  readonly port: number
}

/** Defaults that match the platform's description: several ms per synced append, several hundred appends per second. */
export const STAND_IN_PLATFORM_DEFAULTS: StandInPlatformOptions = {
  port: 0,
  maximumAgeMilliseconds: 3_600_000,
  maximumRecords: 1_000_000,
  outage: 'none',
  appendMilliseconds: 5,
  readMilliseconds: 0,
  loseAcknowledgements: 0,
  loseAppends: 0,
  maximumAppendsPerSecond: 400
}

export interface StandInPlatform {
  /** Address `IP:PORT`. */
  readonly address: string
  /** Changes the faults given in `change`; `truncateBelow` drops records once. */
  inject: (change: FaultChange) => void
  /** Data of the retained records, oldest first. */
  records: () => readonly string[]
  /** Closes all connections and stops the server. */
  close: () => Promise<void>
}

async function readBody (request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_APPEND_BYTES) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function sendResponse (response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

function numberParameter (url: URL, name: string, fallback: number, maximum: number): number {
  const text = url.searchParams.get(name)
  const value = text === null ? fallback : Number(text)
  return Number.isSafeInteger(value) && value >= 0 ? Math.min(value, maximum) : fallback
}

/**
 * Starts a stand-in for the platform's log.
 *
 * @example
 * const platform = await createStandInPlatform({ maximumRecords: 100 })
 * platform.inject({ outage: 'hang' })
 */
export async function createStandInPlatform (
  overrides: Partial<StandInPlatformOptions> = {}
): Promise<StandInPlatform> {
  const options = { ...STAND_IN_PLATFORM_DEFAULTS, ...overrides }
  const store = createLogStore(options)
  const faults = {
    outage: options.outage,
    appendMilliseconds: options.appendMilliseconds,
    readMilliseconds: options.readMilliseconds,
    loseAcknowledgements: options.loseAcknowledgements,
    loseAppends: options.loseAppends,
    maximumAppendsPerSecond: options.maximumAppendsPerSecond
  }
  const sockets = new Set<Socket>()
  const timers = new Set<NodeJS.Timeout>()
  const waitingReads = new Set<() => void>()
  let appendTokens = options.maximumAppendsPerSecond
  let tokensRefilledAt = Date.now()

  function schedule (milliseconds: number, callback: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      timers.delete(timer)
      callback()
    }, milliseconds)
    timers.add(timer)
    return timer
  }

  /** Takes one token from a token bucket that holds at most one second of appends; returns false if it is empty. */
  function takeAppendToken (): boolean {
    const now = Date.now()
    const refill = (now - tokensRefilledAt) * faults.maximumAppendsPerSecond / MILLISECONDS_PER_SECOND
    appendTokens = Math.min(faults.maximumAppendsPerSecond, appendTokens + refill)
    tokensRefilledAt = now
    if (appendTokens < 1) return false
    appendTokens -= 1
    return true
  }

  function finishWaitingReads (): void {
    for (const finishRead of [...waitingReads]) finishRead()
  }

  function append (response: ServerResponse, data: string): void {
    if (faults.loseAppends > 0) {
      faults.loseAppends -= 1
      response.destroy()
      return
    }
    const offset = store.append(data, Date.now())
    finishWaitingReads()
    if (faults.loseAcknowledgements > 0) {
      faults.loseAcknowledgements -= 1
      response.destroy()
      return
    }
    sendResponse(response, 200, { offset })
  }

  async function handleAppend (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readBody(request)
    if (text === undefined) {
      sendResponse(response, 413, { fault: 'the record is too large' })
      return
    }
    const body = Schema.decodeUnknownResult(AppendBody)(parseJson(text))
    if (Result.isFailure(body)) {
      sendResponse(response, 400, { fault: 'the body must be {"data": string}' })
      return
    }
    if (!takeAppendToken()) {
      sendResponse(response, 429, { fault: 'too many appends a second' })
      return
    }
    schedule(faults.appendMilliseconds, () => { append(response, body.success.data) })
  }

  function sendRecords (response: ServerResponse, result: ReadResult): void {
    const records = result.records.map(({ offset, data }) => ({ offset, data }))
    schedule(faults.readMilliseconds, () => {
      sendResponse(response, 200, { first: result.first, next: result.next, records })
    })
  }

  function handleRead (url: URL, response: ServerResponse): void {
    const from = numberParameter(url, 'from', 1, Number.MAX_SAFE_INTEGER)
    const limit = numberParameter(url, 'limit', MAXIMUM_READ_RECORDS, MAXIMUM_READ_RECORDS)
    const waitMilliseconds = numberParameter(url, 'waitMilliseconds', 0, MAXIMUM_WAIT_MILLISECONDS)
    const read = (): ReadResult => store.read(from, limit, Date.now())
    const result = read()
    if (result.records.length > 0 || waitMilliseconds === 0 || from !== result.next) {
      sendRecords(response, result)
      return
    }
    const finish = (): void => {
      waitingReads.delete(finish)
      clearTimeout(timer)
      timers.delete(timer)
      if (faults.outage === 'none') sendRecords(response, read())
      else if (faults.outage === 'refuse') sendResponse(response, 503, { fault: 'outage' })
    }
    const timer = schedule(waitMilliseconds, finish)
    waitingReads.add(finish)
    response.once('close', () => {
      waitingReads.delete(finish)
      clearTimeout(timer)
      timers.delete(timer)
    })
  }

  function inject (change: FaultChange): void {
    const { truncateBelow, ...faultSettings } = change
    Object.assign(faults, faultSettings)
    if (truncateBelow !== undefined) store.truncate(truncateBelow)
    if (faultSettings.outage === 'refuse') finishWaitingReads()
  }

  async function handleFault (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const change = Schema.decodeUnknownResult(FaultChange)(parseJson(await readBody(request) ?? ''))
    if (Result.isFailure(change)) {
      sendResponse(response, 400, { fault: change.failure.message })
      return
    }
    inject(change.success)
    sendResponse(response, 200, faults)
  }

  async function handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://stand-in')
    const route = `${request.method ?? ''} ${url.pathname}`
    if (route === 'POST /fault') {
      await handleFault(request, response)
      return
    }
    if (faults.outage === 'hang') return
    if (faults.outage === 'refuse') {
      request.resume()
      sendResponse(response, 503, { fault: 'outage' })
      return
    }
    if (route === 'POST /append') await handleAppend(request, response)
    else if (route === 'GET /records') handleRead(url, response)
    else sendResponse(response, 404, { fault: 'there is no such route' })
  }

  const server = createServer((request, response) => {
    handleRequest(request, response).catch(() => { response.destroy() })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => { sockets.delete(socket) })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, '127.0.0.1', resolve)
  })
  const { port } = server.address() as AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    inject,
    records: () => store.read(1, Number.MAX_SAFE_INTEGER, Date.now()).records.map(record => record.data),
    async close () {
      for (const timer of timers) clearTimeout(timer)
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}
