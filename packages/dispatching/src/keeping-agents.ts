/** Choice of the agents that keep what is known of another agent, for entries that have not known of it. */
import type { AgentView } from './agent-view.js'
import type { DispatcherState } from './dispatcher-state.js'
import { rankFor } from './preference.js'

/** Number of agents that keep a fact about another one. */
const KEEPING_AGENTS = 2

/**
 * Returns the agents that keep a fact; entries that see the same agents choose the same ones.
 *
 * @param about - Agent that the fact is about; it does not keep it itself.
 * @param key - Identity of the fact.
 */
export function keepingAgents (state: DispatcherState, about: AgentView, key: string): AgentView[] {
  const others = [...state.agents.values()].filter(view => view !== about && view.isReachable)
  const ranked = others.map(view => ({ view, rank: rankFor(key, view.name) }))
  return ranked.sort((left, right) => left.rank - right.rank).slice(0, KEEPING_AGENTS).map(({ view }) => view)
}
