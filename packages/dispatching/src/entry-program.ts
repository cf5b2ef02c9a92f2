/** Runs an entry's decisions: watches of the agents, calls to them, and timers. */
import type { EventLogger } from '@baobabpost/common'
import { CallError, createCallClient, type CallClient, type Start, type Stop } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import { createDispatcher, type Dispatcher } from './create-dispatcher.js'
import {
  CALL_TIMEOUT_MILLISECONDS, WATCH_RETRY_MILLISECONDS, WATCH_TIMEOUT_MILLISECONDS
} from './dispatch-limits.js'
import type { Placement } from './placement.js'

/** Interval at which waits and deadlines are looked at; small against the shortest objective. */
const TICK_MILLISECONDS = 20
/** Time after which an agent that does not answer is forgotten; it announces itself when it is back. */
const FORGET_MILLISECONDS = 60_000
/** Attempts to send an unanswered start again before its fate is left to the leases. */
const START_ATTEMPTS = 2

/** A running entry. */
export interface EntryProgram {
  readonly dispatcher: Dispatcher
  /** An agent was announced, or is known from elsewhere. */
  agentFound: (name: string, address: string) => void
  /** Whether an agent answers. */
  isReachable: (name: string) => boolean
  close: () => void
}

/** What an entry runs on. */
export interface EntryProgramOptions {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  readonly placement?: Placement
  readonly client?: CallClient
  readonly logger: EventLogger
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

function wasRefused (failure: unknown): boolean {
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
  const client = options.client ?? createCallClient()
  const life = { closed: false }
  const dispatcher = createDispatcher({ ...options, sendStart, sendStop })

  function sendStart (view: AgentView, start: Start): void {
    attemptStart(view, start, START_ATTEMPTS).catch((failure: unknown) => {
      logger.error('start failed', { agent: view.name, reason: String(failure) })
    })
  }

  async function attemptStart (view: AgentView, start: Start, attempts: number): Promise<void> {
    try {
      const answer = await client.call(view.address, 'start', start, CALL_TIMEOUT_MILLISECONDS)
      dispatcher.startAnswered(view, start, answer, now())
    } catch (failure) {
      if (!(failure instanceof CallError)) throw failure
      const refused = wasRefused(failure)
      if (!refused && attempts > 1) return attemptStart(view, start, attempts - 1)
      // A start that was tried before may have arrived then, although nothing listens now.
      dispatcher.startFailed(view, start, refused && attempts === START_ATTEMPTS, now())
    }
  }

  function sendStop (view: AgentView, stop: Stop): void {
    client.call(view.address, 'stop', stop, CALL_TIMEOUT_MILLISECONDS).then(
      answer => { dispatcher.stopAnswered(view, answer, now()) },
      (failure: unknown) => { logger.warn('stop got no answer', { agent: view.name, reason: String(failure) }) }
    )
  }

  async function watch (view: AgentView): Promise<void> {
    let answeredAt = now()
    while (!life.closed) {
      const parameters = dispatcher.nextWatch(view)
      try {
        const timeout = parameters.waitMilliseconds + WATCH_TIMEOUT_MILLISECONDS
        const answer = await client.call(view.address, 'watch', parameters, timeout)
        answeredAt = now()
        dispatcher.watchAnswered(view, answer, answeredAt)
      } catch (failure) {
        dispatcher.watchFailed(view, wasRefused(failure), now())
        if (now() - answeredAt > FORGET_MILLISECONDS) return dispatcher.agentForgotten(view.name)
        await new Promise(resolve => { setTimeout(resolve, WATCH_RETRY_MILLISECONDS) })
      }
    }
  }

  const ticks = setInterval(() => { dispatcher.tick(now()) }, TICK_MILLISECONDS)

  return {
    dispatcher,
    agentFound: (name, address) => {
      const view = dispatcher.agentFound(name, address)
      if (view === undefined) return
      watch(view).catch((failure: unknown) => { logger.error('watch failed', { agent: name, reason: String(failure) }) })
    },
    isReachable: name => {
      for (const view of dispatcher.agents()) {
        if (view.name === name) return view.reachable
      }
      return false
    },
    close: () => {
      life.closed = true
      clearInterval(ticks)
      client.close()
    }
  }
}
