/** Takes over the open orders that agents tell. */
import { LATE_ORDER_MILLISECONDS, type StopAnswer } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { DispatcherState } from './dispatcher-state.js'
import { markOpenTasks } from './open-orders.js'

/** Takes over what an agent's answer tells of open orders. */
export function learnOpenOrders (state: DispatcherState, view: AgentView, answer: StopAnswer, now: number): void {
  const { clock, profile } = answer
  state.openOrders.learn(view, answer, now)
  for (const { task, agent, incarnation, until } of profile?.keptOrders ?? []) {
    state.openOrders.addKept(task, agent, incarnation, now + Math.min(until - clock, LATE_ORDER_MILLISECONDS))
  }
  for (const { task } of [...profile?.openOrders ?? [], ...profile?.keptOrders ?? []]) {
    const job = state.jobs.get(task.slice(0, task.indexOf('.')))
    if (job !== undefined) markOpenTasks(state.openOrders, job)
  }
}
