/** Keeps the clients of one HTTP server to their limits. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { createClientAccount, type ClientLimits, type Closing, type ClosingReason } from './client-account.js'
import { createClientConnection, type ClientConnection } from './client-connection.js'
import { createGuardedRequest, type GuardedRequest } from './guarded-request.js'
import { createReadingTurns, orderForReading } from './reading-turns.js'

/** Largest number of requests of a connection whose answers are not written. */
const MAXIMUM_UNWRITTEN_REQUESTS = 64
/** Time after which a connection whose answers the client does not read is closed. */
const UNREAD_MILLISECONDS = 10_000
const CHECK_INTERVAL_MILLISECONDS = 1_000

/** Why a client was refused or closed; `unread` and `pipelined` are for the answers that it does not read or await. */
export type ClientClosingReason = ClosingReason | 'unread' | 'pipelined'

export interface ClientGuardOptions {
  /** Name of the server in logs and metrics. */
  readonly name: string
  readonly limits: ClientLimits
  /** Called when a client is refused or closed, with the bytes of requests that it held. */
  readonly onClosing: (reason: ClientClosingReason, heldBytes: number) => void
  /** Called about once a second. */
  readonly onCheck: () => void
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

/** Handles a request; `endAnswer` ends the answer. */
export type GuardedHandler = (incoming: IncomingMessage, outgoing: ServerResponse, request: GuardedRequest) => void

export interface ClientGuard {
  readonly name: string
  readonly limits: ClientLimits
  /** Keeps the connections of a server to the limits, and hands over its requests. */
  serve: (server: Server, handle: GuardedHandler) => void
  /** Returns the record of a connection that left HTTP by an upgrade; undefined if it was closed meanwhile. */
  findConnection: (socket: Socket) => ClientConnection | undefined
  connectionCount: () => number
  /** Bytes that the clients are charged for. */
  bytes: () => number
}

/**
 * Creates a guard for one server.
 *
 * @example
 * const guard = createClientGuard({ name: 'callers', limits, onClosing, onCheck, now })
 * guard.serve(server, (incoming, outgoing, request) => { request.readBody({ maximumBytes: 65_536, ...handlers }) })
 */
export function createClientGuard (options: ClientGuardOptions): ClientGuard {
  const { now } = options
  const account = createClientAccount<ClientConnection>(options.limits)
  const connections = new WeakMap<Socket, ClientConnection>()
  const turns = createReadingTurns({ defer: setImmediate, delay: setTimeout, stopAll, resumeAll })

  function execute (closings: ReadonlyArray<Closing<ClientConnection>>): void {
    for (const { connection, action, reason, heldBytes } of closings) {
      options.onClosing(reason, heldBytes)
      const { socket, refuse } = connection
      if (refuse === undefined) socket.destroy()
      else refuse()
      // A refusal is written at the end of this turn.
      if (action === 'close') setImmediate(() => { socket.destroy() })
    }
  }

  function stopAll (): void {
    for (const { socket } of account.connections()) socket.pause()
  }

  function resumeAll (): void {
    const others = account.connections().filter(connection => !connection.isSlow())
    const isCrowded = turns.hasSlow()
    for (const connection of orderForReading(others)) {
      if (isCrowded) connection.slice()
      connection.socket.resume()
    }
  }

  function add (socket: Socket, maySlice: boolean): void {
    const connection = createClientConnection(socket, {
      maySlice,
      onState: (changed, state) => { account.change(changed, state, now()) },
      onHeldBytes: (holder, change) => {
        if (change > 0) execute(account.hold(holder, change, now()))
        else account.release(holder, -change)
      },
      onUnparsedBytes: (holder, bytes) => { execute(account.setUnparsed(holder, bytes, now())) },
      onReservation: (holder, bytes) => {
        const { isReserved, closings } = account.reserve(holder, bytes, now())
        execute(closings)
        return isReserved
      }
    })
    connections.set(socket, connection)
    socket.once('close', () => { account.leave(connection) })
    execute(account.open(connection, now()))
    if (turns.hasSlow()) connection.slice()
    if (turns.accept()) socket.pause()
  }

  /** With TLS, requests arrive on another socket than the one that was accepted, which has the same addresses. */
  function linkSecureSockets (server: Server): void {
    const accepted = new Map<string, ClientConnection>()
    const nameOf = ({ remoteAddress, remotePort }: Socket): string => `${remoteAddress}:${remotePort}`
    server.on('connection', (socket: Socket) => {
      const name = nameOf(socket)
      const connection = connections.get(socket)
      if (connection !== undefined) accepted.set(name, connection)
      socket.once('close', () => { accepted.delete(name) })
    })
    server.on('secureConnection', (socket: Socket) => {
      const connection = accepted.get(nameOf(socket))
      if (connection !== undefined) connections.set(socket, connection)
    })
  }

  function check (): void {
    for (const connection of account.inStateSince('unread', now() - UNREAD_MILLISECONDS)) {
      options.onClosing('unread', 0)
      connection.socket.destroy()
    }
    options.onCheck()
  }

  return {
    name: options.name,
    limits: options.limits,
    serve: (server, handle) => {
      const timer = setInterval(check, CHECK_INTERVAL_MILLISECONDS)
      timer.unref()
      server.on('close', () => { clearInterval(timer) })
      server.on('connection', socket => { add(socket, server.listenerCount('upgrade') === 0) })
      if ('setSecureContext' in server) linkSecureSockets(server)
      server.on('request', (incoming: IncomingMessage, outgoing: ServerResponse) => {
        turns.countRequest()
        const connection = connections.get(incoming.socket)
        // The parser goes on with what it has read when a connection is closed.
        if (connection === undefined || incoming.socket.destroyed) return
        if (connection.requestCount() >= MAXIMUM_UNWRITTEN_REQUESTS) {
          options.onClosing('pipelined', 0)
          incoming.socket.destroy()
          return
        }
        handle(incoming, outgoing, createGuardedRequest(incoming, outgoing, connection, turns))
      })
    },
    findConnection: socket => connections.get(socket),
    connectionCount: account.connectionCount,
    bytes: account.bytes
  }
}
