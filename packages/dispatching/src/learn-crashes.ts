/** Takes over the crashes that agents tell. */
import type { AgentView } from './agent-view.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'

/** Takes over what an agent's newest profile tells of crashes. */
export function learnCrashes (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, now: number
): void {
  for (const { id, candidates } of state.crashes.merge(view.incarnation, view.profile?.crashes, now)) {
    ports.logger.info('crash of an upstream', { agent: view.name, crash: id, candidates: candidates.length })
  }
}
