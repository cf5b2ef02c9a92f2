/** Takes over the crashes that agents tell, and has other agents keep them. */
import type { UpstreamCrash } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { rankFor } from './preference.js'

/** Number of agents that keep a crash of another upstream. */
const KEEPING_AGENTS = 2

/** Returns the agents that keep a crash; entries that see the same agents choose the same ones. */
function keepingAgents (state: DispatcherState, teller: AgentView, { id }: UpstreamCrash): AgentView[] {
  const others = [...state.agents.values()].filter(view => view !== teller && view.isReachable)
  const ranked = others.map(view => ({ view, rank: rankFor(id, view.name) }))
  return ranked.sort((left, right) => left.rank - right.rank).slice(0, KEEPING_AGENTS).map(({ view }) => view)
}

/** Takes over what an agent's newest profile tells of crashes. */
export function learnCrashes (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, now: number
): void {
  for (const crash of state.crashes.merge(view.incarnation, view.profile?.crashes, now)) {
    const { id, candidates, isSuspected } = crash
    ports.logger.info('crash of an upstream', { agent: view.name, crash: id, candidates: candidates.length })
    // A crash that was kept elsewhere is not passed on, so that it ends with its retention.
    if (isSuspected === true || !id.startsWith(`${view.incarnation}/`)) continue
    for (const keeper of keepingAgents(state, view, crash)) ports.tellCrashes?.(keeper, [crash])
  }
}
