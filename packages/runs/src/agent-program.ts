/** Connects an agent's run registry to its upstream and to entries: the listing loop, timers and waiting watches. */
import type { EvacuationReadings, EventLogger } from '@baobabpost/common'
import {
  ENTRY_LEASE_MILLISECONDS, type CallConnection, type CallHandlers, type Start, type StartAnswer, type Watch,
  type WatchAnswer
} from '@baobabpost/fleet-calls'
import { createRunRegistry, type RunRegistry } from './create-run-registry.js'
import type { EntrySession } from './entry-session.js'
import {
  LIST_TIMEOUT_MILLISECONDS, ORDER_TIMEOUT_MILLISECONDS, RETRY_DELAY_MILLISECONDS
} from './run-limits.js'
import type { ListAnswer, OrderAnswer, Upstream, UpstreamHeartbeat } from './upstream.js'

/** Interval of the checks for expired leases and wait deadlines; short compared with the leases. */
const TICK_MILLISECONDS = 40
/** Interval of the same checks without runs, when only the profile needs updates for an unresponsive upstream. */
const IDLE_TICK_MILLISECONDS = 160
/** Pause between listings, in which completions accumulate; short compared with the slack of the shortest objective. */
const LISTING_PAUSE_MILLISECONDS = 10
/** Longest wait of a watch: that of entries for agents of other failure domains in the largest regions. */
const MAXIMUM_WATCH_MILLISECONDS = 16_000
/** Longest wait of a watch of an entry with runs here: half of the entry's lease, which the next watch renews. */
const MAXIMUM_BUSY_WATCH_MILLISECONDS = ENTRY_LEASE_MILLISECONDS / 2

export interface AgentProgram {
  /** Handlers of the calls of entries. */
  readonly handlers: CallHandlers
  /** Returns whether the heartbeat may be acknowledged. */
  handleHeartbeat: (report: UpstreamHeartbeat) => boolean
  handleDeparture: (id: string) => void
  /** Shuts down gracefully: refuses new runs, and resolves when all runs have ended or after the timeout. */
  stop: (timeoutMilliseconds: number) => Promise<void>
  /** Number of runs in any state, including the waiting ones. */
  runCount: () => number
  /** Share of the upstream's capacity that new runs may use, 0 to 1; below 1 while it is cold. */
  offeredShare: () => number
  /** What is known of evacuated failure domains; undefined while nothing is. */
  evacuationReadings: () => EvacuationReadings | undefined
  /** Milliseconds since the last watch of an entry, by its name; `Infinity` without one, 0 while one waits. */
  millisecondsSinceWatch: (entry: string) => number
}

export interface AgentProgramOptions {
  readonly upstream: Upstream
  readonly incarnation: string
  /** Initial fencing token; raised later if the upstream has seen a higher one. */
  readonly fencingToken: number
  readonly logger: EventLogger
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

/** A watch call that has not been answered yet. */
interface WaitingWatch {
  readonly session: EntrySession
  answer: () => void
  /** Shortens the wait to `milliseconds` from now if it is longer. */
  answerWithin: (milliseconds: number) => void
}

/**
 * Starts an agent.
 *
 * @example
 * const now = () => performance.now()
 * const agent = startAgentProgram({ upstream, incarnation, fencingToken: Date.now(), logger, now })
 * createCallServer(agent.handlers, logger).listen(7720, '10.1.0.14')
 */
export function startAgentProgram (options: AgentProgramOptions): AgentProgram {
  const { upstream, now } = options
  const waitingWatches = new Set<WaitingWatch>()
  const lastWatchAt = new Map<string, number>()
  let isListingScheduled = false
  const lifecycle = { isStopped: false }

  const registry: RunRegistry = createRunRegistry({
    incarnation: options.incarnation,
    fencingToken: options.fencingToken,
    logger: options.logger,
    sendStart: (record, order) => {
      upstream.start(order, ORDER_TIMEOUT_MILLISECONDS).catch(asUnanswered)
        .then(answer => { registry.handleStartAnswer(record, answer, order.fencingToken, now()) })
        .catch(logFailure)
    },
    sendStop: (record, order) => {
      upstream.stop(order, ORDER_TIMEOUT_MILLISECONDS).catch(asUnanswered)
        .then(answer => { registry.handleStopAnswer(record, answer, order.fencingToken, now()) })
        .catch(logFailure)
    },
    stopUnknownRun: order => { upstream.stop(order, ORDER_TIMEOUT_MILLISECONDS).catch(logFailure) },
    listImmediately,
    wake
  })

  function logFailure (failure: unknown): void {
    options.logger.error('agent failed', { reason: String(failure) })
  }

  /** An order that fails unexpectedly may have been carried out. */
  function asUnanswered (failure: unknown): OrderAnswer {
    logFailure(failure)
    return { outcome: 'unanswered', clock: undefined }
  }

  function wake (session?: EntrySession): void {
    for (const watch of waitingWatches) {
      if (session === undefined || watch.session === session) watch.answer()
    }
  }

  /** Requests a listing at once, beside the one that waits for a completion. */
  function listImmediately (): void {
    if (isListingScheduled) return
    isListingScheduled = true
    setImmediate(() => {
      isListingScheduled = false
      list(0).catch(logFailure)
    })
  }

  async function list (waitMilliseconds: number): Promise<ListAnswer> {
    const requestedAt = now()
    const order = registry.nextListOrder(waitMilliseconds, requestedAt)
    const answer = await upstream.list(order, waitMilliseconds + LIST_TIMEOUT_MILLISECONDS)
    registry.handleListAnswer(answer, order.fencingToken, requestedAt, now())
    return answer
  }

  async function runListingLoop (): Promise<void> {
    while (!lifecycle.isStopped) {
      // An error must not end the loop: without listings the run lease expires.
      const answer = await list(registry.listingWaitMilliseconds()).catch(logFailure)
      await pause(answer?.outcome === 'taken' ? LISTING_PAUSE_MILLISECONDS : RETRY_DELAY_MILLISECONDS)
    }
  }

  function isWatching (entry: string): boolean {
    for (const { session } of waitingWatches) if (session.entry === entry) return true
    return false
  }

  function watch (parameters: Watch, connection: CallConnection): Promise<WatchAnswer> {
    const session = registry.beginWatch(parameters, now())
    lastWatchAt.set(parameters.caller.entry, now())
    if (registry.hasUpdates(session, parameters) || parameters.waitMilliseconds === 0) {
      return Promise.resolve(registry.answerWatch(session, parameters, now()))
    }
    return new Promise(resolve => {
      let endsAt = now() + Math.min(parameters.waitMilliseconds, MAXIMUM_WATCH_MILLISECONDS)
      const waitingWatch: WaitingWatch = {
        session,
        answer: () => {
          if (!waitingWatches.delete(waitingWatch)) return
          clearTimeout(timer)
          // Deferred, so that all completions of one listing are sent in one answer.
          setImmediate(() => { resolve(registry.answerWatch(session, parameters, now())) })
        },
        answerWithin: milliseconds => {
          if (now() + milliseconds >= endsAt) return
          endsAt = now() + milliseconds
          clearTimeout(timer)
          timer = setTimeout(waitingWatch.answer, milliseconds)
        }
      }
      let timer = setTimeout(waitingWatch.answer, endsAt - now())
      waitingWatches.add(waitingWatch)
      connection.onLost(() => {
        clearTimeout(timer)
        if (waitingWatches.delete(waitingWatch)) lastWatchAt.delete(session.entry)
      })
    })
  }

  function start (parameters: Start): StartAnswer {
    const wasIdle = registry.runCount() === 0
    const answer = registry.answerStart(parameters, now())
    // The lease of the entry that ordered the first run may end before the next tick of an idle agent.
    if (wasIdle && registry.runCount() > 0 && registry.leaseEnd(parameters.caller) < nextTickAt) scheduleTick()
    // Watches renew the entry's lease; one that began before the entry had runs here would outlast the lease.
    for (const waitingWatch of waitingWatches) {
      const { session } = waitingWatch
      if (session.entry !== parameters.caller.entry) continue
      waitingWatch.answerWithin(
        Math.min(MAXIMUM_BUSY_WATCH_MILLISECONDS, Math.max(0, (session.leaseUntil - now()) / 2)))
    }
    return answer
  }

  const handlers: CallHandlers = {
    watch,
    start,
    stop: parameters => registry.answerStop(parameters, now()),
    tellEvacuations: parameters => registry.answerEvacuations(parameters, now()),
    tellCrashes: parameters => registry.answerCrashes(parameters, now()),
    tellOpenOrders: parameters => registry.answerOpenOrders(parameters, now())
  }
  let tickTimer: ReturnType<typeof setTimeout> | undefined
  let nextTickAt = 0
  function scheduleTick (): void {
    clearTimeout(tickTimer)
    if (lifecycle.isStopped) return
    const milliseconds = registry.runCount() > 0 ? TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS
    nextTickAt = now() + milliseconds
    tickTimer = setTimeout(runTickLoop, milliseconds)
  }

  function runTickLoop (): void {
    try {
      registry.tick(now())
    } catch (failure) {
      logFailure(failure)
    }
    scheduleTick()
  }
  runTickLoop()
  runListingLoop().catch(logFailure)

  async function stop (timeoutMilliseconds: number): Promise<void> {
    const deadline = now() + timeoutMilliseconds
    registry.stopAccepting(now())
    while (!registry.isIdle(now()) && now() < deadline) await pause(TICK_MILLISECONDS)
    lifecycle.isStopped = true
    clearTimeout(tickTimer)
    wake()
  }

  return {
    handlers,
    handleHeartbeat: heartbeat => registry.handleHeartbeat(heartbeat, now()),
    handleDeparture: id => { registry.handleDeparture(id, now()) },
    stop,
    runCount: () => registry.runCount(),
    offeredShare: () => registry.offeredShare(now()),
    evacuationReadings: () => registry.evacuationReadings(now()),
    millisecondsSinceWatch: entry => isWatching(entry) ? 0 : now() - (lastWatchAt.get(entry) ?? -Infinity)
  }
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
