/** Takes over the crashes that agents tell, and has other agents keep them. */
import type { AgentView } from './agent-view.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { keepingAgents } from './keeping-agents.js'

/** Takes over what an agent's newest profile tells of crashes. */
export function learnCrashes (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, now: number
): void {
  for (const crash of state.crashes.merge(view.incarnation, view.profile?.crashes, now)) {
    const { id, candidates, isSuspected } = crash
    for (const { task } of candidates) {
      const assignment = state.assigned.get(task)?.task.assignment
      if (assignment !== undefined) state.suspects.add(assignment.agent, task)
    }
    ports.logger.info('crash of an upstream', {
      outcome: isSuspected === true ? 'suspected' : 'certain', agent: view.name, crash: id, candidates: candidates.length
    })
    // A crash that was kept elsewhere is not passed on, so that it ends with its retention.
    if (isSuspected === true || !id.startsWith(`${view.incarnation}/`)) continue
    for (const keeper of keepingAgents(state, view, id)) ports.tellCrashes?.(keeper, [crash])
  }
}
