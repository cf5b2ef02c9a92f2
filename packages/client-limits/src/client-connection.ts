/** One connection to a server: what it does at the moment, and the bytes that it holds. */
import type { Socket } from 'node:net'
import type { ConnectionState } from './client-account.js'
import { sliceReads } from './sliced-reads.js'

/** Phase of a request; `unread` once its answer is complete and waits to be written. */
export type RequestPhase = 'reading' | 'working' | 'unread'

export interface ClientConnection {
  readonly socket: Socket
  /** Moves a request to another phase; undefined before it begins and after its answer is written. */
  move: (from: RequestPhase | undefined, to: RequestPhase | undefined) => void
  /** Replaces the numbers of requests in each phase. */
  setPhases: (phases: Readonly<Record<RequestPhase, number>>) => void
  /** Whether a request of the connection was answered, or its body has ended. */
  wasServed: () => boolean
  /** Whether the connection sent very small chunks and waits for its turn to be read. */
  isSlow: () => boolean
  setSlow: (isSlow: boolean) => void
  /** Whether its reads are divided into slices. */
  isSliced: () => boolean
  /** Divides what is read from the connection from now on, where the server may; see `sliceReads`. */
  slice: () => void
  /** Whether a request is handled and not yet answered. */
  isWorking: () => boolean
  /** Number of requests whose answers are not written. */
  requestCount: () => number
  /** Charges for bytes that its requests hold from now on, or takes a charge back if negative. */
  addHeldBytes: (change: number) => void
  /** Charges for what a request may hold until its answer. Returns whether there is room for it. */
  reserve: (bytes: number) => boolean
  /** Refuses the request that is read; undefined while it can't be answered. */
  refuse: (() => void) | undefined
}

export interface ClientConnectionListener {
  onState: (connection: ClientConnection, state: ConnectionState) => void
  onHeldBytes: (connection: ClientConnection, change: number) => void
  /** Called with the number of bytes that are received and not yet parsed. */
  onUnparsedBytes: (connection: ClientConnection, bytes: number) => void
  onReservation: (connection: ClientConnection, bytes: number) => boolean
  /** Whether reads may be divided. */
  readonly maySlice: boolean
}

/** Creates the record of a connection without requests. */
export function createClientConnection (socket: Socket, listener: ClientConnectionListener): ClientConnection {
  let phases = { reading: 0, working: 0, unread: 0 }
  let wasServed = false
  let isSlow = false
  let isSliced = false

  function currentState (): ConnectionState {
    if (phases.working > 0) return phases.reading > 0 ? 'overlapping' : 'working'
    if (phases.reading > 0) return 'reading'
    return phases.unread > 0 ? 'unread' : 'idle'
  }

  const connection: ClientConnection = {
    socket,
    refuse: undefined,
    move: (from, to) => {
      if (from !== undefined) phases[from] -= 1
      if (to !== undefined) phases[to] += 1
      if (to === 'working') wasServed = true
      listener.onState(connection, currentState())
    },
    setPhases: newPhases => {
      phases = { ...newPhases }
      listener.onState(connection, currentState())
    },
    wasServed: () => wasServed,
    isSlow: () => isSlow,
    setSlow: slow => { isSlow = slow },
    isSliced: () => isSliced,
    slice: () => {
      if (isSliced || !listener.maySlice) return
      isSliced = sliceReads(socket, {
        onUnparsed: bytes => { listener.onUnparsedBytes(connection, bytes) }, defer: setImmediate
      })
    },
    isWorking: () => phases.working > 0,
    requestCount: () => phases.reading + phases.working + phases.unread,
    addHeldBytes: change => { listener.onHeldBytes(connection, change) },
    reserve: bytes => listener.onReservation(connection, bytes)
  }
  return connection
}
