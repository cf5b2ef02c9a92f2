/** Stand-in for the platform's log: an HTTP server on loopback that keeps its records in memory. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { Result, Schema } from 'effect'
import { FaultChange, type Faults } from './faults.js'
import { createLogStore, type Retention, type ReadResult } from './log-store.js'

/** Most bytes of the body of an append. */
const MAXIMUM_APPEND_BYTES = 1_048_576
/** Most records of one read. */
const MAXIMUM_READ_RECORDS = 1_000
/** Longest wait of a read for new records. */
const MAXIMUM_WAIT_MILLISECONDS = 30_000
const MILLISECONDS_PER_SECOND = 1_000

const AppendBody = Schema.Struct({ data: Schema.String })

/** Settings of the stand-in. */
export interface StandInPlatformOptions extends Retention, Faults {
  /** Port on 127.0.0.1; 0 takes a free one. */
  readonly port: number
}

/** Settings as the platform is described: several milliseconds a synced append, several hundred appends a second. */
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

/** A running stand-in. */
export interface StandInPlatform {
  /** Address `IP:PORT`. */
  readonly address: string
  /** Puts faults on, or off. */
  inject: (change: FaultChange) => void
  /** Data of the records that are kept, oldest first. */
  records: () => readonly string[]
  /** Ends all connections and stops. */
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

function parse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function answer (response: ServerResponse, status: number, body: unknown): void {
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
 * Starts a stand-in.
 *
 * @example
 * const platform = await createStandInPlatform({ maximumRecords: 100 })
 * platform.inject({ outage: 'hang' })
 */
export async function createStandInPlatform (
  given: Partial<StandInPlatformOptions> = {}
): Promise<StandInPlatform> {
  const options = { ...STAND_IN_PLATFORM_DEFAULTS, ...given }
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
  const waiting = new Set<() => void>()
  let allowance = options.maximumAppendsPerSecond
  let allowanceAt = Date.now()

  function later (milliseconds: number, act: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      timers.delete(timer)
      act()
    }, milliseconds)
    timers.add(timer)
    return timer
  }

  /** Takes one append from the allowance, which refills steadily up to a second's worth. */
  function takeAllowance (): boolean {
    const now = Date.now()
    const refill = (now - allowanceAt) * faults.maximumAppendsPerSecond / MILLISECONDS_PER_SECOND
    allowance = Math.min(faults.maximumAppendsPerSecond, allowance + refill)
    allowanceAt = now
    if (allowance < 1) return false
    allowance -= 1
    return true
  }

  function wakeReaders (): void {
    for (const wake of [...waiting]) wake()
  }

  function append (response: ServerResponse, data: string): void {
    if (faults.loseAppends > 0) {
      faults.loseAppends -= 1
      response.destroy()
      return
    }
    const offset = store.append(data, Date.now())
    wakeReaders()
    if (faults.loseAcknowledgements > 0) {
      faults.loseAcknowledgements -= 1
      response.destroy()
      return
    }
    answer(response, 200, { offset })
  }

  async function handleAppend (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readBody(request)
    if (text === undefined) {
      answer(response, 413, { fault: 'the record is too large' })
      return
    }
    const body = Schema.decodeUnknownResult(AppendBody)(parse(text))
    if (Result.isFailure(body)) {
      answer(response, 400, { fault: 'the body must be {"data": string}' })
      return
    }
    if (!takeAllowance()) {
      answer(response, 429, { fault: 'too many appends a second' })
      return
    }
    later(faults.appendMilliseconds, () => { append(response, body.success.data) })
  }

  function answerSlice (response: ServerResponse, slice: ReadResult): void {
    const records = slice.records.map(({ offset, data }) => ({ offset, data }))
    later(faults.readMilliseconds, () => { answer(response, 200, { first: slice.first, next: slice.next, records }) })
  }

  function handleRead (url: URL, response: ServerResponse): void {
    const from = numberParameter(url, 'from', 1, Number.MAX_SAFE_INTEGER)
    const limit = numberParameter(url, 'limit', MAXIMUM_READ_RECORDS, MAXIMUM_READ_RECORDS)
    const wait = numberParameter(url, 'waitMilliseconds', 0, MAXIMUM_WAIT_MILLISECONDS)
    const read = (): ReadResult => store.read(from, limit, Date.now())
    const slice = read()
    if (slice.records.length > 0 || wait === 0 || from !== slice.next) {
      answerSlice(response, slice)
      return
    }
    const finish = (): void => {
      waiting.delete(finish)
      clearTimeout(timer)
      timers.delete(timer)
      if (faults.outage === 'none') answerSlice(response, read())
      else if (faults.outage === 'refuse') answer(response, 503, { fault: 'outage' })
    }
    const timer = later(wait, finish)
    waiting.add(finish)
    response.once('close', () => {
      waiting.delete(finish)
      clearTimeout(timer)
      timers.delete(timer)
    })
  }

  function inject (change: FaultChange): void {
    const { truncateBelow, ...lasting } = change
    Object.assign(faults, lasting)
    if (truncateBelow !== undefined) store.truncate(truncateBelow)
    if (lasting.outage === 'refuse') wakeReaders()
  }

  async function handleFault (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const change = Schema.decodeUnknownResult(FaultChange)(parse(await readBody(request) ?? ''))
    if (Result.isFailure(change)) {
      answer(response, 400, { fault: change.failure.message })
      return
    }
    inject(change.success)
    answer(response, 200, faults)
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://stand-in')
    const route = `${request.method ?? ''} ${url.pathname}`
    if (route === 'POST /fault') {
      await handleFault(request, response)
      return
    }
    if (faults.outage === 'hang') return
    if (faults.outage === 'refuse') {
      request.resume()
      answer(response, 503, { fault: 'outage' })
      return
    }
    if (route === 'POST /append') await handleAppend(request, response)
    else if (route === 'GET /records') handleRead(url, response)
    else answer(response, 404, { fault: 'there is no such route' })
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => { response.destroy() })
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
