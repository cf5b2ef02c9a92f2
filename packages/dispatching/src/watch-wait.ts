/** How long agents hold the watch calls of an entry. */
import type { AgentView } from './agent-view.js'
import {
  BUSY_WATCH_MILLISECONDS, IDLE_WATCH_BOUNDS_MILLISECONDS, IDLE_WATCH_MILLISECONDS_PER_AGENT,
  LONGEST_IDLE_WATCH_MILLISECONDS, REMOTE_IDLE_WATCH_FACTOR
} from './dispatch-limits.js'
import type { DispatcherState } from './dispatcher-state.js'

/** The call rate of an entry does not rise with the fleet; in a large one it rather knows the agents nearby. */
function idleWatchMilliseconds ({ agents, failureDomain }: DispatcherState, view: AgentView): number {
  const isNear = ({ profile }: AgentView): boolean => profile?.failureDomain === failureDomain
  const { minimum, maximum } = IDLE_WATCH_BOUNDS_MILLISECONDS
  const evenWait = agents.size * IDLE_WATCH_MILLISECONDS_PER_AGENT
  if (evenWait <= maximum) return Math.max(minimum, evenWait)
  let weight = 0
  for (const other of agents.values()) weight += isNear(other) ? 1 : 1 / REMOTE_IDLE_WATCH_FACTOR
  const nearWait = weight * IDLE_WATCH_MILLISECONDS_PER_AGENT
  return Math.min(LONGEST_IDLE_WATCH_MILLISECONDS, isNear(view) ? nearWait : REMOTE_IDLE_WATCH_FACTOR * nearWait)
}

/**
 * Returns how long an agent may hold the next watch, in milliseconds. One that was lost, or has just started, answers
 * at once: until then it gets no work.
 */
export function watchMilliseconds (state: DispatcherState, view: AgentView): number {
  if (!view.isReachable) return 0
  if (!state.assigned.hasAnyAt(view.name)) return idleWatchMilliseconds(state, view)
  return Math.min(BUSY_WATCH_MILLISECONDS, view.leases.entryMilliseconds / 2)
}
