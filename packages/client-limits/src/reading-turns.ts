/** Divides the time in which a server reads among its connections, some of which send very small chunks. */

/** Chunks in one turn of the event loop after which no connection is read any more: each costs a callback. */
const CHUNKS_PER_TURN = 4_096
/** Number of chunks that a request counts for: its objects and its answer cost that much more. */
const CHUNKS_PER_REQUEST = 8
/** Chunks of one connection in a turn from which it is a slow one. */
const SLOW_CHUNKS = 512
/** Turns in which connections are only accepted, one in each: new ones must not wait until a crowd is read. */
const ACCEPTING_TURNS = 256
/** Time after the read of a slow connection; a read is up to 64 KiB, which are 11,000 chunks of one byte. */
const SLOW_INTERVAL_MILLISECONDS = 50
/** The same for one whose reads are divided into slices, which are a sixteenth of that. */
const SLICE_INTERVAL_MILLISECONDS = 4

/** The chunks that one connection sent in this turn. */
export interface ReadingTurn {
  /** Counts a chunk. Returns whether the connection has become a slow one, which is read again in its turn. */
  count: () => boolean
  /** Gives up the turn of a connection that was closed; nothing is called back for it any more. */
  leave: () => void
}

/** Decides by the numbers of chunks which connections are read; the ports do it. */
export interface ReadingTurnsPorts {
  /** Calls back in the next turn of the event loop. */
  readonly defer: (run: () => void) => void
  readonly delay: (run: () => void, milliseconds: number) => void
  /** Stops reading from all connections. */
  readonly stopAll: () => void
  /** Resumes reading from all connections that are not slow. */
  readonly resumeAll: () => void
}

/** A connection that waits for its turn to be read. */
interface SlowConnection {
  readonly resume: () => void
  readonly isSliced: () => boolean
}

export interface ReadingTurns {
  /**
   * Begins to count the chunks of a request; `resume` is called when it is its turn after it has become slow.
   *
   * @param isSliced - Whether the reads of the connection are divided into slices; they are not by default.
   */
  begin: (resume: () => void, isSliced?: () => boolean) => ReadingTurn
  /** Whether slow connections wait for their turns. */
  hasSlow: () => boolean
  /** Counts a request. */
  countRequest: () => void
  /** Records that a connection is accepted. Returns whether it is to be read later, with the others. */
  accept: () => boolean
}

/**
 * Creates the turns of one server. The parser handles whatever it has read, so a read of many small chunks can't be
 * interrupted; but after it no other connection is read in the same turn, and timers and other servers are served.
 *
 * @example
 * const turns = createReadingTurns({ defer: setImmediate, delay: setTimeout, stopAll, resumeAll })
 * const turn = turns.begin(() => { socket.resume() })
 * if (turn.count()) socket.pause()
 */
export function createReadingTurns (ports: ReadingTurnsPorts): ReadingTurns {
  const slow = new Set<SlowConnection>()
  let turnChunks = 0
  let turn = 0
  let isStopped = false
  let hasAccepted = false
  let acceptingTurns = 0
  /** Whether a call of `resumeSlow` is due. */
  let isTurnDue = false

  function endTurn (): void {
    turn += 1
    turnChunks = 0
  }

  function countInTurn (chunks: number): void {
    if (turnChunks === 0) ports.defer(endTurn)
    const before = turnChunks
    turnChunks += chunks
    if (before >= CHUNKS_PER_TURN || turnChunks < CHUNKS_PER_TURN) return
    isStopped = true
    acceptingTurns = 0
    ports.stopAll()
    ports.defer(resumeOnceAccepted)
  }

  /** Goes on reading once no more connections wait to be accepted. */
  function resumeOnceAccepted (): void {
    if (hasAccepted && acceptingTurns < ACCEPTING_TURNS) {
      hasAccepted = false
      acceptingTurns += 1
      ports.defer(resumeOnceAccepted)
      return
    }
    hasAccepted = false
    isStopped = false
    ports.resumeAll()
  }

  /** Schedules the next read of a slow connection, unless that is due, after the read of one. */
  function scheduleTurn ({ isSliced }: Pick<SlowConnection, 'isSliced'>): void {
    if (isTurnDue) return
    isTurnDue = true
    ports.delay(resumeSlow, isSliced() ? SLICE_INTERVAL_MILLISECONDS : SLOW_INTERVAL_MILLISECONDS)
  }

  function resumeSlow (): void {
    const [next] = slow
    isTurnDue = false
    if (next === undefined) return
    slow.delete(next)
    if (slow.size > 0) scheduleTurn(next)
    next.resume()
  }

  return {
    hasSlow: () => slow.size > 0,
    countRequest: () => { countInTurn(CHUNKS_PER_REQUEST) },
    accept: () => {
      hasAccepted = true
      return isStopped
    },
    begin: (resume, isSliced = () => false) => {
      let chunks = 0
      let chunksTurn = -1
      const connection: SlowConnection = { resume, isSliced }
      return {
        count: () => {
          countInTurn(1)
          if (chunksTurn !== turn) {
            chunksTurn = turn
            chunks = 0
          }
          chunks += 1
          if (chunks < SLOW_CHUNKS || slow.has(connection)) return false
          slow.add(connection)
          scheduleTurn(connection)
          return true
        },
        leave: () => { slow.delete(connection) }
      }
    }
  }
}

/** Connections in the order in which they are read again: those that were served before, then the newest first. */
export function orderForReading<Connection extends { readonly wasServed: () => boolean }> (
  connections: readonly Connection[]
): Connection[] {
  const served = connections.filter(connection => connection.wasServed())
  const others = connections.filter(connection => !connection.wasServed())
  return [...served, ...others.reverse()]
}
