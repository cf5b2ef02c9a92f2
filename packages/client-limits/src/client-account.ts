/** Decides which connections of a server are refused or closed, so that its clients keep to their limits. */

/** What the clients of a server may make the process hold together. */
export interface ClientLimits {
  readonly connections: number
  /** Bytes of requests, with a flat charge for each connection. */
  readonly bytes: number
}

/** Charge for a connection besides the bytes of its requests: its objects, and what is received and not yet read. */
export const CONNECTION_BYTES = 16_384
/** Age from which an unfinished request may be closed for a new connection; others end within milliseconds. */
const UNFINISHED_MILLISECONDS = 1_000

/** Largest part of the free bytes that a reservation may take, so that large jobs leave room for small ones. */
const RESERVATION_SHARE = 1 / 8

/**
 * State of a connection: `new` until its first head is read, `reading` a request, `working` on an answer, `overlapping`
 * if it reads a request while it works on the one before, `unread` while an answer waits to be read, `idle` between two
 * requests, and `closing` once it has been refused.
 */
export type ConnectionState = 'new' | 'reading' | 'working' | 'overlapping' | 'unread' | 'idle' | 'closing'

/** Why a connection has to go. */
export type ClosingReason = 'connections' | 'bytes'

/**
 * A connection that has to go. `close` ends it at once; `refuse` answers its request as refused, and ends it once the
 * answer is read or a short time has passed.
 */
export interface Closing<Connection> {
  readonly connection: Connection
  readonly action: 'close' | 'refuse'
  readonly reason: ClosingReason
  /** Bytes of requests that it held. */
  readonly heldBytes: number
}

export interface Reservation<Connection> {
  readonly isReserved: boolean
  readonly closings: ReadonlyArray<Closing<Connection>>
}

/** Account of the connections of a server. Unknown connections, such as closed ones, are ignored. */
export interface ClientAccount<Connection> {
  /** Adds a connection. Returns those that have to go, the new one itself if all others are at work. */
  open: (connection: Connection, now: number) => Array<Closing<Connection>>
  /** Changes the state of a connection; one that closes stays so. */
  change: (connection: Connection, state: ConnectionState, now: number) => void
  /** Charges a connection for bytes that it holds from now on. Returns the connections that have to go. */
  hold: (connection: Connection, bytes: number, now: number) => Array<Closing<Connection>>
  /**
   * Sets the charge for the bytes that are received from a connection and not yet parsed. Only its end takes them back,
   * not the refusal of its request. Returns the connections that have to go.
   */
  setUnparsed: (connection: Connection, bytes: number, now: number) => Array<Closing<Connection>>
  /**
   * Charges a connection for what it may hold until its answer, such as the tasks of a job. Returns whether there is
   * room for it, and the connections whose unfinished requests are refused for that.
   */
  reserve: (connection: Connection, bytes: number, now: number) => Reservation<Connection>
  /** Takes back a charge; that of a request that was refused is taken back already. */
  release: (connection: Connection, bytes: number) => void
  /** Removes a connection with all that it holds. */
  leave: (connection: Connection) => void
  /** All connections, in the order in which they were opened. */
  connections: () => Connection[]
  /** Connections that have been in a state since a time or longer. */
  inStateSince: (state: ConnectionState, time: number) => Connection[]
  connectionCount: () => number
  /** Bytes that are charged. */
  bytes: () => number
}

interface Entry<Connection> {
  readonly connection: Connection
  state: ConnectionState
  since: number
  heldBytes: number
  /** Part of the held bytes that belongs to the request that is read. */
  unfinishedBytes: number
  unparsedBytes: number
}

/** States in which a connection has a request that was not handed on, and can be refused. */
const UNFINISHED_STATES: readonly ConnectionState[] = ['reading', 'overlapping']

/**
 * Order in which connections make room for a new one. A crowd that opens connections without ending its requests loses
 * its own oldest ones; a connection that is at work is not closed.
 */
const CLOSING_ORDER: ReadonlyArray<{ readonly state: ConnectionState, readonly minimumAge: number }> = [
  { state: 'closing', minimumAge: 0 },
  { state: 'unread', minimumAge: UNFINISHED_MILLISECONDS },
  { state: 'reading', minimumAge: UNFINISHED_MILLISECONDS },
  { state: 'new', minimumAge: 0 },
  { state: 'idle', minimumAge: 0 },
  { state: 'reading', minimumAge: 0 },
  { state: 'unread', minimumAge: 0 }
]

/**
 * Creates an account without connections.
 *
 * The request that has been open longest without its end goes first when bytes run out: requests of ordinary clients
 * end within milliseconds, and to refuse the newest would leave the server to a crowd for as long as it holds on.
 *
 * @param limits - At least one connection, and the bytes of one.
 * @example
 * const account = createClientAccount({ connections: 2_000, bytes: 50_000_000 })
 * for (const { connection } of account.open(socket, now)) connection.destroy()
 */
export function createClientAccount<Connection> (limits: ClientLimits): ClientAccount<Connection> {
  const entries = new Map<Connection, Entry<Connection>>()
  /** Entries by state, each in the order in which they came into it. */
  const byState: Record<ConnectionState, Set<Entry<Connection>>> = {
    new: new Set(),
    reading: new Set(),
    working: new Set(),
    overlapping: new Set(),
    unread: new Set(),
    idle: new Set(),
    closing: new Set()
  }
  let bytes = 0

  function setState (entry: Entry<Connection>, state: ConnectionState, now: number): void {
    byState[entry.state].delete(entry)
    entry.state = state
    entry.since = now
    byState[state].add(entry)
    if (!UNFINISHED_STATES.includes(state)) entry.unfinishedBytes = 0
  }

  function remove (entry: Entry<Connection>): void {
    entries.delete(entry.connection)
    byState[entry.state].delete(entry)
    bytes -= CONNECTION_BYTES + entry.heldBytes + entry.unparsedBytes
  }

  function findOldest (now: number, except: Entry<Connection>): Entry<Connection> | undefined {
    for (const { state, minimumAge } of CLOSING_ORDER) {
      for (const entry of byState[state]) {
        if (now - entry.since < minimumAge) break
        if (entry !== except) return entry
      }
    }
    return undefined
  }

  function close (entry: Entry<Connection>, reason: ClosingReason): Closing<Connection> {
    const { connection, heldBytes } = entry
    remove(entry)
    return { connection, action: 'close', reason, heldBytes }
  }

  /**
   * Takes the bytes of an unfinished request back. Its connection stays until the refusal is read, and until the
   * request before it is answered.
   */
  function refuse (entry: Entry<Connection>, now: number): Closing<Connection> {
    const { connection, unfinishedBytes } = entry
    bytes -= unfinishedBytes
    entry.heldBytes -= unfinishedBytes
    setState(entry, entry.state === 'overlapping' ? 'working' : 'closing', now)
    return { connection, action: 'refuse', reason: 'bytes', heldBytes: unfinishedBytes }
  }

  /** Closes connections, the oldest first, until the rest keep to the bytes; none that is at work, and not `except`. */
  function closeOldest (except: Entry<Connection>, now: number, closings: Array<Closing<Connection>>): void {
    while (bytes > limits.bytes) {
      const oldest = findOldest(now, except)
      if (oldest === undefined) return
      closings.push(close(oldest, 'bytes'))
    }
  }

  /** Refuses unfinished requests, the oldest first, until at most `maximumBytes` are charged; not that of `except`. */
  function refuseOldest (maximumBytes: number, except: Entry<Connection>, now: number): Array<Closing<Connection>> {
    const closings: Array<Closing<Connection>> = []
    for (const state of UNFINISHED_STATES) {
      for (const entry of byState[state]) {
        if (bytes <= maximumBytes) return closings
        if (entry !== except && entry.unfinishedBytes > 0) closings.push(refuse(entry, now))
      }
    }
    return closings
  }

  /** Bytes that would be free without unfinished requests, besides that of `except`. */
  function availableBytes (except: Entry<Connection>): number {
    let available = limits.bytes - bytes
    for (const state of UNFINISHED_STATES) {
      for (const entry of byState[state]) if (entry !== except) available += entry.unfinishedBytes
    }
    return available
  }

  /** Makes room for bytes that `holder` is charged for already; the holder itself goes if nothing else can. */
  function makeRoom (holder: Entry<Connection>, now: number): Array<Closing<Connection>> {
    const closings = refuseOldest(limits.bytes, holder, now)
    closeOldest(holder, now, closings)
    const excess = bytes - limits.bytes
    if (excess <= 0) return closings
    return [...closings, excess <= holder.unfinishedBytes ? refuse(holder, now) : close(holder, 'bytes')]
  }

  return {
    open: (connection, now) => {
      const entry: Entry<Connection> = {
        connection, state: 'new', since: now, heldBytes: 0, unfinishedBytes: 0, unparsedBytes: 0
      }
      entries.set(connection, entry)
      byState.new.add(entry)
      bytes += CONNECTION_BYTES
      if (entries.size > limits.connections) {
        return [close(findOldest(now, entry) ?? entry, 'connections')]
      }
      const closings: Array<Closing<Connection>> = []
      closeOldest(entry, now, closings)
      if (bytes > limits.bytes) closings.push(close(entry, 'bytes'))
      return closings
    },
    change: (connection, state, now) => {
      const entry = entries.get(connection)
      if (entry === undefined || entry.state === 'closing') return
      // A connection that is idle again was in use; in the other states its age counts.
      if (entry.state === state && state !== 'idle') return
      setState(entry, state, now)
    },
    hold: (connection, heldBytes, now) => {
      const entry = entries.get(connection)
      if (entry === undefined || entry.state === 'closing') return []
      entry.heldBytes += heldBytes
      if (UNFINISHED_STATES.includes(entry.state)) entry.unfinishedBytes += heldBytes
      bytes += heldBytes
      return bytes > limits.bytes ? makeRoom(entry, now) : []
    },
    setUnparsed: (connection, unparsedBytes, now) => {
      const entry = entries.get(connection)
      if (entry === undefined) return []
      const change = unparsedBytes - entry.unparsedBytes
      entry.unparsedBytes = unparsedBytes
      bytes += change
      return change > 0 && bytes > limits.bytes ? makeRoom(entry, now) : []
    },
    reserve: (connection, reservedBytes, now) => {
      const entry = entries.get(connection)
      const needed = reservedBytes / RESERVATION_SHARE
      if (entry === undefined || needed > availableBytes(entry)) return { isReserved: false, closings: [] }
      const closings = refuseOldest(limits.bytes - needed, entry, now)
      entry.heldBytes += reservedBytes
      bytes += reservedBytes
      return { isReserved: true, closings }
    },
    release: (connection, releasedBytes) => {
      const entry = entries.get(connection)
      if (entry === undefined) return
      const released = Math.min(entry.heldBytes, releasedBytes)
      entry.heldBytes -= released
      entry.unfinishedBytes = Math.min(entry.unfinishedBytes, entry.heldBytes)
      bytes -= released
    },
    leave: connection => {
      const entry = entries.get(connection)
      if (entry !== undefined) remove(entry)
    },
    inStateSince: (state, time) => {
      const found: Connection[] = []
      for (const { connection, since } of byState[state]) {
        if (since > time) break
        found.push(connection)
      }
      return found
    },
    connections: () => [...entries.keys()],
    connectionCount: () => entries.size,
    bytes: () => bytes
  }
}
