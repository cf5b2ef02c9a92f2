/** Takes over the open orders that agents tell. */
import type { StopAnswer } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { DispatcherState } from './dispatcher-state.js'
import { markOpenTasks } from './open-orders.js'

/** Takes over what an agent's profile, if the answer has one, tells of open orders. */
export function learnOpenOrders (state: DispatcherState, view: AgentView, answer: StopAnswer, now: number): void {
  state.openOrders.learn(view, answer, now)
  for (const { task } of answer.profile?.openOrders ?? []) {
    const job = state.jobs.get(task.slice(0, task.indexOf('.')))
    if (job !== undefined) markOpenTasks(state.openOrders, job)
  }
}
