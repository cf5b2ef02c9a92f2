/** Tells agents that their failure domain is evacuated, or no longer. */
import type { EventLogger } from '@baobabpost/common'
import type { EvacuationRegister, EvacuationState } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'

/** Interval at which an agent that did not answer is told again. */
const RETRY_MILLISECONDS = 200
/**
 * Calls in progress at once. Without a bound, an entry with hundreds of agents would send all calls in one turn, ahead
 * of its jobs.
 */
const MAXIMUM_CALLS = 32

export interface EvacuationNoticesOptions {
  readonly evacuations: EvacuationRegister
  readonly agents: () => Iterable<AgentView>
  /** Tells an agent the state; rejects if it does not answer. Resolves to what the agent knows then. */
  readonly tell: (view: AgentView, state: EvacuationState) => Promise<EvacuationState | undefined>
  /** Called with a state that is newer than the entry's own. */
  readonly onNewer: (state: EvacuationState, agent: string) => void
  readonly logger: EventLogger
  /** Steady clock in milliseconds. */
  readonly now: () => number
}

/**
 * Creates the notices of an entry. They make an evacuation known to agents that other entries, which have not heard of
 * it, may still send orders to; watches alone would take as long as an idle watch waits.
 *
 * @returns a function to call after each change and every few milliseconds; it does nothing while all agents know.
 * @example
 * const tellAgents = createEvacuationNotices({ evacuations, agents, tell, onNewer, logger, now })
 */
export function createEvacuationNotices (options: EvacuationNoticesOptions): () => void {
  const { evacuations, logger, now } = options
  const toldAt = new Map<string, number>()
  let callCount = 0

  async function tellAgent (view: AgentView, state: EvacuationState, isEvacuated: boolean): Promise<void> {
    const { incarnation } = view
    callCount += 1
    toldAt.set(view.name, now())
    try {
      const known = await options.tell(view, state)
      if (view.incarnation === incarnation) view.isToldEvacuated = isEvacuated
      if (known !== undefined && known.position > state.position) options.onNewer(known, view.name)
    } catch (failure) {
      logger.warn('evacuations not told', { agent: view.name, reason: String(failure) })
    } finally {
      callCount -= 1
    }
  }

  return () => {
    const state = evacuations.state()
    if (state === undefined) return
    for (const view of options.agents()) {
      if (callCount >= MAXIMUM_CALLS) return
      if (view.profile === undefined || !view.isReachable) continue
      const isEvacuated = evacuations.isEvacuated(view.profile.failureDomain)
      if (isEvacuated === view.isToldEvacuated) continue
      if (now() - (toldAt.get(view.name) ?? -Infinity) < RETRY_MILLISECONDS) continue
      tellAgent(view, state, isEvacuated).catch((failure: unknown) => {
        logger.error('evacuations not told', { agent: view.name, reason: String(failure) })
      })
    }
  }
}
