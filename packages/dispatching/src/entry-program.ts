/** Runs an entry's dispatcher: watches agents, sends calls to them, and ticks the dispatcher. */
import type { EventLogger } from '@baobabpost/common'
import {
  CallError, createCallClient, type CallClient, type EvacuationRegister, type EvacuationState, type Start, type Stop,
  type TellOpenOrders, type UpstreamCrash
} from '@baobabpost/fleet-calls'
import type { Admission } from './admission.js'
import type { AgentView } from './agent-view.js'
import { createDispatcher, type Dispatcher } from './create-dispatcher.js'
import { createAdmissionRate } from './admission-rate.js'
import { createCallTiming } from './call-timing.js'
import { WATCH_RETRY_MILLISECONDS } from './dispatch-limits.js'
import type { Placement } from './placement.js'
import { createOverloadSignal } from './overload-signal.js'
import { createReadDelay, type LoopReading, type TickTiming } from './read-delay.js'
import { createWaitLimit } from './wait-limit.js'
import { createEvacuationNotices } from './evacuation-notices.js'
import { createRetryBudget } from './retry-budget.js'
import type { RunTimeEstimates } from './run-time-estimates.js'
import { startTickTimer } from './tick-timer.js'

/** Time without an answer after which an agent is removed; it announces itself when it is back. */
const FORGET_AFTER_MILLISECONDS = 60_000
/** Maximum number of times that an unanswered start is sent; after that the leases bound its runs. */
const START_ATTEMPTS = 2

/** A running dispatcher with its watches and timers. */
export interface EntryProgram {
  readonly dispatcher: Dispatcher
  /** Adds an agent and begins to watch it, or updates its address. */
  agentFound: (name: string, address: string) => void
  /**
   * Whether a job that is read now is accepted, while others wait to be handled; the entry refuses what its own
   * processor and link do not carry.
   */
  admits: (waitingJobs: number) => boolean
  /** Records that the entry begins to handle a job that it has accepted. */
  recordHandling: (waitingJobs: number) => void
  /** Time for which a waiting job waits for each one before it, in milliseconds. */
  handlingMilliseconds: () => number
  /** Whether the entry has refused jobs for a while, so that callers are better served elsewhere. */
  isOverloaded: () => boolean
  /** Returns how long a job that is read now has waited to be read at most, in milliseconds. */
  unreadMilliseconds: () => number
  /**
   * Records that a caller's connection is accepted.
   *
   * @returns how long its first request may have waited already, in milliseconds.
   */
  connectionAccepted: () => number
  /** Applies a change of the evacuated failure domains at once: agents are told, and waiting jobs go elsewhere. */
  evacuationsChanged: (source: string) => void
  /** Whether the agent is known and answers calls. */
  isReachable: (name: string) => boolean
  close: () => void
}

export interface EntryProgramOptions {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  readonly placement?: Placement
  readonly admission?: Admission
  /** Run times that plans are made with; learned ones by default. */
  readonly runTimes?: RunTimeEstimates
  /** Register of the evacuated failure domains, where evacuations are enabled. */
  readonly evacuations?: EvacuationRegister
  /** Called with an agent that the entry watches no more; it is found again when it announces itself. */
  readonly onAgentForgotten?: (name: string) => void
  readonly client?: CallClient
  readonly logger: EventLogger
  /** Steady clock in milliseconds. */
  readonly now: () => number
  /** Total time for which the event loop has waited for input, in milliseconds; a process is never busy by default. */
  readonly idle?: () => number
}

function isRefusal (failure: unknown): boolean {
  return failure instanceof CallError && failure.failure === 'refused'
}

/**
 * Starts an entry's dispatcher.
 *
 * @example
 * const entry = startEntryProgram({ entry: 'entry-1', incarnation, failureDomain, logger, now })
 * entry.agentFound('agent-1', '10.1.0.14:7720')
 */
export function startEntryProgram (options: EntryProgramOptions): EntryProgram {
  const { logger, now } = options
  const client = options.client ?? createCallClient(logger)
  const repeats = createRetryBudget()
  const timing = createCallTiming()
  const admissionRate = createAdmissionRate()
  const waitLimit = createWaitLimit()
  const overload = createOverloadSignal()
  const status = { isClosed: false }
  const dispatcher = createDispatcher({
    ...options, sendStart, sendStop, tellCrashes, tellOpenOrders, evacuationsChanged: logEvacuations, requestPass
  })
  let isPassRequested = false

  /** Has the dispatcher assign waiting jobs once, after the input of this turn of the event loop. */
  function requestPass (): void {
    if (isPassRequested || status.isClosed) return
    isPassRequested = true
    setImmediate(() => {
      isPassRequested = false
      if (!status.isClosed) contain(() => { dispatcher.assign(now()) })
    })
  }

  /** Runs a step of the dispatcher. An unexpected error must not end the process. */
  function contain (step: () => void): void {
    try {
      step()
    } catch (failure) {
      logFailure(failure)
    }
  }

  function sendStart (view: AgentView, start: Start): void {
    repeats.record()
    attemptStart(view, start, START_ATTEMPTS).catch((failure: unknown) => {
      logger.error('start failed', { agent: view.name, reason: String(failure) })
    })
  }

  async function attemptStart (view: AgentView, start: Start, attempts: number): Promise<void> {
    const sentAt = now()
    try {
      const answer = await client.call(view.address, 'start', start, timing.timeout())
      timing.record(now() - sentAt)
      dispatcher.startAnswered(view, start, answer, now())
    } catch (failure) {
      if (!(failure instanceof CallError)) throw failure
      const isRefused = isRefusal(failure)
      if (!isRefused) timing.record(now() - sentAt)
      if (!isRefused && attempts > 1 && repeats.take()) return attemptStart(view, start, attempts - 1)
      // An earlier attempt may have reached the agent although the connection is refused now.
      dispatcher.startFailed(view, start, isRefused && attempts === START_ATTEMPTS, now())
    }
  }

  function sendStop (view: AgentView, stop: Stop): void {
    client.call(view.address, 'stop', stop, timing.timeout()).then(
      answer => { dispatcher.stopAnswered(view, answer, now()) },
      (failure: unknown) => {
        logger.warn('stop got no answer', { agent: view.name, reason: String(failure) })
        dispatcher.stopFailed(view, now())
      }
    ).catch(logFailure)
  }

  function tellCrashes (view: AgentView, crashes: readonly UpstreamCrash[]): void {
    client.call(view.address, 'tellCrashes', { crashes }, timing.timeout()).catch((failure: unknown) => {
      logger.warn('crash not kept', { agent: view.name, reason: String(failure) })
    })
  }

  function tellOpenOrders (view: AgentView, orders: TellOpenOrders['orders']): void {
    client.call(view.address, 'tellOpenOrders', { orders }, timing.timeout()).catch((failure: unknown) => {
      logger.warn('open orders not kept', { agent: view.name, tasks: orders.length, reason: String(failure) })
    })
  }

  function logFailure (failure: unknown): void {
    logger.error('entry failed', { reason: String(failure) })
  }

  async function watch (view: AgentView): Promise<void> {
    let answeredAt = now()
    while (!status.isClosed) {
      const parameters = dispatcher.nextWatch(view)
      try {
        const timeout = parameters.waitMilliseconds + timing.timeout()
        const answer = await client.call(view.address, 'watch', parameters, timeout)
        answeredAt = now()
        dispatcher.watchAnswered(view, answer, answeredAt)
      } catch (failure) {
        dispatcher.watchFailed(view, isRefusal(failure), now())
        if (now() - answeredAt > FORGET_AFTER_MILLISECONDS) {
          dispatcher.agentForgotten(view.name, now() - answeredAt)
          return options.onAgentForgotten?.(view.name)
        }
        await new Promise(resolve => { setTimeout(resolve, WATCH_RETRY_MILLISECONDS) })
      }
    }
  }

  function logEvacuations (source: string): void {
    const state = options.evacuations?.state()
    logger.info('evacuations changed', { domains: state?.domains.join(' '), position: state?.position, source })
  }

  function evacuationsChanged (source: string): void {
    logEvacuations(source)
    tellEvacuations()
    dispatcher.refresh(now())
  }

  function mergeEvacuations (state: EvacuationState, source: string): void {
    if (options.evacuations?.merge(state) === true) evacuationsChanged(source)
  }

  const tellEvacuations = options.evacuations === undefined
    ? () => {}
    : createEvacuationNotices({
      evacuations: options.evacuations,
      agents: () => dispatcher.agents(),
      tell: async (view, state) => {
        const answer = await client.call(view.address, 'tellEvacuations', { evacuations: state }, timing.timeout())
        return answer.evacuations
      },
      onNewer: mergeEvacuations,
      logger,
      now
    })

  function observeCalls (): void {
    const wasLimited = admissionRate.limit() !== undefined
    admissionRate.observe(timing.average(), now())
    const limit = admissionRate.limit()
    if (wasLimited === (limit !== undefined)) return
    const callDelay = Math.round(timing.average())
    if (limit === undefined) logger.info('admission not limited any more', { callDelay })
    else logger.warn('admission limited', { callDelay, jobsPerSecond: Math.round(limit) })
  }

  const readLoop = (): LoopReading => ({ now: now(), idle: options.idle?.() ?? now() })
  const readDelay = createReadDelay(readLoop())
  let isMarkDue = false

  /** Marks the end of this turn of the event loop, in which all input that is there is read. */
  function markTurn (): void {
    if (isMarkDue) return
    isMarkDue = true
    setImmediate(() => {
      isMarkDue = false
      readDelay.turnEnds(readLoop())
      if (readDelay.isAcceptingOld()) markTurn()
    })
  }

  function tick (timing: TickTiming): void {
    readDelay.tickRuns(timing, now())
    markTurn()
    observeCalls()
    contain(() => {
      dispatcher.tick(now())
      tellEvacuations()
    })
  }
  const ticks = startTickTimer({ onTick: tick, isIdle: () => dispatcher.isIdle(), now })

  return {
    dispatcher: {
      ...dispatcher,
      submit: (request, answer, submittedAt) => {
        const withdraw = dispatcher.submit(request, answer, submittedAt)
        ticks.wake()
        return withdraw
      }
    },
    agentFound: (name, address) => {
      const view = dispatcher.agentFound(name, address)
      if (view === undefined) return
      watch(view).catch((failure: unknown) => { logger.error('watch failed', { agent: name, reason: String(failure) }) })
    },
    unreadMilliseconds: () => {
      markTurn()
      return readDelay.longest(readLoop(), ticks.next())
    },
    connectionAccepted: () => {
      markTurn()
      return readDelay.connectionAccepted(ticks.next(), now())
    },
    evacuationsChanged,
    admits: waitingJobs => {
      const isAdmitted = waitLimit.admit(waitingJobs) && admissionRate.admit(now())
      overload.record(!isAdmitted, now())
      return isAdmitted
    },
    recordHandling: waitingJobs => { waitLimit.recordHandling(waitingJobs, readLoop()) },
    handlingMilliseconds: waitLimit.handlingMilliseconds,
    isOverloaded: () => overload.isRaised(now()),
    isReachable: name => {
      for (const view of dispatcher.agents()) {
        if (view.name === name) return view.isReachable
      }
      return false
    },
    close: () => {
      status.isClosed = true
      ticks.close()
      client.close()
    }
  }
}
