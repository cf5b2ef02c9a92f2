/** Identification of an entry in its calls to agents. */
import type { CallingEntry } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { DispatcherState } from './dispatcher-state.js'

/** Returns the `caller` parameter of a call from this entry to an agent. */
export function callerFor (state: DispatcherState, view: AgentView): CallingEntry {
  const { entry, incarnation } = state
  // An agent that doesn't answer may have been started again.
  const formerFence = view.isReachable ? view.formerFence : Math.max(view.formerFence, view.fence)
  const evacuations = state.evacuations?.state()
  return {
    entry,
    incarnation,
    heardAt: view.lastAgentClock,
    ...(view.incarnation === '' ? {} : { heardFrom: view.incarnation }),
    ...(formerFence === 0 ? {} : { formerFence }),
    ...(evacuations === undefined ? {} : { evacuations })
  }
}
