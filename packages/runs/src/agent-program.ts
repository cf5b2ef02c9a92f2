/** Runs an agent's decisions: the loop of listings, the timers, and the watches that wait. */
import type { EventLogger } from '@baobabpost/common'
import {
  ENTRY_LEASE_MILLISECONDS, type CallConnection, type CallHandlers, type Start, type StartAnswer, type Watch,
  type WatchAnswer
} from '@baobabpost/fleet-calls'
import { createRunRegistry, type RunRegistry } from './create-run-registry.js'
import type { EntrySession } from './entry-session.js'
import {
  LIST_TIMEOUT_MILLISECONDS, ORDER_TIMEOUT_MILLISECONDS, RETRY_MILLISECONDS
} from './run-limits.js'
import type { ListAnswer, Upstream, UpstreamHeartbeat } from './upstream.js'

/** Interval at which leases and waits are looked at; small against the leases. */
const TICK_MILLISECONDS = 40
/** The same where nothing runs or waits: only the upstream's silence is to be noticed. */
const IDLE_TICK_MILLISECONDS = 160
/** Time for which the upstream gathers ends after a listing: small against the slack of the shortest objective. */
const GATHER_MILLISECONDS = 10
/** Longest wait of a watch. */
const MAXIMUM_WATCH_MILLISECONDS = 4_000
/** Longest wait of a watch of an entry that has work here: half of its lease, which the next watch renews. */
const BUSY_WATCH_MILLISECONDS = ENTRY_LEASE_MILLISECONDS / 2

/** A running agent. */
export interface AgentProgram {
  /** Answers the calls of entries. */
  readonly handlers: CallHandlers
  handleHeartbeat: (report: UpstreamHeartbeat) => void
  handleDeparture: (id: string) => void
  /** Accepts nothing new, and resolves when nothing runs any more or after the timeout. */
  stop: (timeoutMilliseconds: number) => Promise<void>
  /** Runs that run, wait, or may yet start. */
  runCount: () => number
  /** Milliseconds since an entry last watched, by name of the entry. */
  millisecondsSinceWatch: (entry: string) => number
}

/** What an agent runs on. */
export interface AgentProgramOptions {
  readonly upstream: Upstream
  readonly incarnation: string
  readonly fencingToken: number
  readonly logger: EventLogger
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

/** The watches that wait, one for each entry. */
interface WaitingWatch {
  readonly session: EntrySession
  answer: () => void
  /** Has it answered after this many milliseconds, if that is sooner. */
  answerWithin: (milliseconds: number) => void
}

/**
 * Starts an agent.
 *
 * @example
 * const agent = startAgentProgram({ upstream, incarnation, fence: Date.now(), logger, now: () => performance.now() })
 * createCallServer(agent.handlers, logger).listen(7720, '10.1.0.14')
 */
export function startAgentProgram (options: AgentProgramOptions): AgentProgram {
  const { upstream, now } = options
  const waiting = new Set<WaitingWatch>()
  const watchedAt = new Map<string, number>()
  let lookWanted = false
  const life = { stopped: false }

  const book: RunRegistry = createRunRegistry({
    incarnation: options.incarnation,
    fence: options.fencingToken,
    logger: options.logger,
    sendStart: (record, order) => {
      upstream.start(order, ORDER_TIMEOUT_MILLISECONDS)
        .then(answer => { book.startAnswered(record, answer, order.fencingToken, now()) }, reportDefect)
    },
    sendStop: (record, order) => {
      upstream.stop(order, ORDER_TIMEOUT_MILLISECONDS)
        .then(answer => { book.stopAnswered(record, answer, order.fencingToken, now()) }, reportDefect)
    },
    stopStranger: order => { upstream.stop(order, ORDER_TIMEOUT_MILLISECONDS).catch(reportDefect) },
    look,
    wake
  })

  function reportDefect (failure: unknown): void {
    options.logger.error('agent failed', { reason: String(failure) })
  }

  function wake (session?: EntrySession): void {
    for (const watch of waiting) {
      if (session === undefined || watch.session === session) watch.answer()
    }
  }

  /** Lists at once, beside the listing that waits for an end. */
  function look (): void {
    if (lookWanted) return
    lookWanted = true
    setImmediate(() => {
      lookWanted = false
      list(0).catch(reportDefect)
    })
  }

  async function list (waitMilliseconds: number): Promise<ListAnswer> {
    const askedAt = now()
    const order = book.nextListing(waitMilliseconds, askedAt)
    const answer = await upstream.list(order, waitMilliseconds + LIST_TIMEOUT_MILLISECONDS)
    book.listAnswered(answer, order.fencingToken, askedAt, now())
    return answer
  }

  async function keepListing (): Promise<void> {
    while (!life.stopped) {
      const answer = await list(book.listingWait())
      await pause(answer.outcome === 'taken' ? GATHER_MILLISECONDS : RETRY_MILLISECONDS)
    }
  }

  function isWatching (entry: string): boolean {
    for (const { session } of waiting) if (session.entry === entry) return true
    return false
  }

  function watch (parameters: Watch, connection: CallConnection): Promise<WatchAnswer> {
    const session = book.beginWatch(parameters, now())
    watchedAt.set(parameters.caller.entry, now())
    if (book.hasNews(session, parameters) || parameters.waitMilliseconds === 0) {
      return Promise.resolve(book.answerWatch(session, parameters, now()))
    }
    return new Promise(resolve => {
      let endsAt = now() + Math.min(parameters.waitMilliseconds, MAXIMUM_WATCH_MILLISECONDS)
      const entry: WaitingWatch = {
        session,
        answer: () => {
          if (!waiting.delete(entry)) return
          clearTimeout(timer)
          // The ends of one listing travel in one answer.
          setImmediate(() => { resolve(book.answerWatch(session, parameters, now())) })
        },
        answerWithin: milliseconds => {
          if (now() + milliseconds >= endsAt) return
          endsAt = now() + milliseconds
          clearTimeout(timer)
          timer = setTimeout(entry.answer, milliseconds)
        }
      }
      let timer = setTimeout(entry.answer, endsAt - now())
      waiting.add(entry)
      connection.onLost(() => {
        clearTimeout(timer)
        if (waiting.delete(entry)) watchedAt.delete(session.entry)
      })
    })
  }

  function start (parameters: Start): StartAnswer {
    const answer = book.answerStart(parameters, now())
    // The next watch renews the entry's lease, so one that began before there was work must not wait long.
    for (const waitingWatch of waiting) {
      const { session } = waitingWatch
      if (session.entry !== parameters.caller.entry) continue
      waitingWatch.answerWithin(Math.min(BUSY_WATCH_MILLISECONDS, Math.max(0, (session.leaseUntil - now()) / 2)))
    }
    return answer
  }

  const handlers: CallHandlers = { watch, start, stop: parameters => book.answerStop(parameters, now()) }
  let ticks: ReturnType<typeof setTimeout> | undefined
  function keepTicking (): void {
    book.tick(now())
    if (life.stopped) return
    ticks = setTimeout(keepTicking, book.runCount() > 0 ? TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS)
  }
  keepTicking()
  keepListing().catch(reportDefect)

  async function stop (timeoutMilliseconds: number): Promise<void> {
    const deadline = now() + timeoutMilliseconds
    book.leave(now())
    while (!book.isIdle(now()) && now() < deadline) await pause(TICK_MILLISECONDS)
    life.stopped = true
    clearTimeout(ticks)
    wake()
  }

  return {
    handlers,
    handleHeartbeat: report => { book.reportArrived(report, now()) },
    handleDeparture: id => { book.departed(id, now()) },
    stop,
    runCount: () => book.runCount(),
    millisecondsSinceWatch: entry => isWatching(entry) ? 0 : now() - (watchedAt.get(entry) ?? -Infinity)
  }
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
