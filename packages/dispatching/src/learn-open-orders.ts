/** Takes over the open orders that agents tell. */
import { LATE_ORDER_MILLISECONDS, type StopAnswer } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { DispatcherState } from './dispatcher-state.js'
import { markOpenTasks } from './open-orders.js'

/** Whether an incarnation of an agent tells its open orders itself, so that what others keep of them is outdated. */
function tellsItself (state: DispatcherState, agent: string, incarnation: string): boolean {
  const view = state.agents.get(agent)
  return view !== undefined && view.isReachable && view.incarnation === incarnation
}

/** Takes over what an agent's profile, if the answer has one, tells of open orders. */
export function learnOpenOrders (state: DispatcherState, view: AgentView, answer: StopAnswer, now: number): void {
  const { clock, profile } = answer
  state.openOrders.learn(view, answer, now)
  for (const { task, agent, incarnation, until } of profile?.keptOrders ?? []) {
    if (tellsItself(state, agent, incarnation)) continue
    state.openOrders.add(task, agent, incarnation, now + Math.min(until - clock, LATE_ORDER_MILLISECONDS))
  }
  for (const { task } of [...profile?.openOrders ?? [], ...profile?.keptOrders ?? []]) {
    const job = state.jobs.get(task.slice(0, task.indexOf('.')))
    if (job !== undefined) markOpenTasks(state.openOrders, job)
  }
}
