/** Orders that an agent which is gone may have left without an answer: who else must know of them. */
import { LATE_ORDER_MILLISECONDS, type TellOpenOrders } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import type { TaskOfJob } from './job.js'
import { keepingAgents } from './keeping-agents.js'

/**
 * Records that a start order of each task may yet be carried out at the upstream of an agent, unless the agent has told
 * that all of them were answered. The end of the leases ends the runs, but not such an order.
 */
export function recordLostOrders (
  state: DispatcherState, view: AgentView, lost: readonly TaskOfJob[], now: number
): void {
  for (const { task: { name, assignment } } of lost) {
    if (assignment === undefined || assignment.isConfirmed) continue
    state.openOrders.add(name, view.name, assignment.incarnation, now + LATE_ORDER_MILLISECONDS)
  }
}

/**
 * Has other agents keep the open orders of one that does not answer. The callers of its tasks may send their jobs to
 * entries that it has not told.
 */
export function keepLostOrders (state: DispatcherState, ports: DispatcherPorts, view: AgentView, now: number): void {
  const orders: Array<TellOpenOrders['orders'][number]> = []
  for (const { task, incarnation, until } of state.openOrders.ordersAt(view.name, now)) {
    orders.push({ task, agent: view.name, incarnation, milliseconds: until - now })
  }
  for (const { task: { name, assignment } } of state.assigned.at(view.name)) {
    if (assignment === undefined || assignment.isConfirmed) continue
    const { incarnation } = assignment
    orders.push({ task: name, agent: view.name, incarnation, milliseconds: LATE_ORDER_MILLISECONDS })
  }
  if (orders.length === 0) return
  for (const keeper of keepingAgents(state, view, view.incarnation)) ports.tellOpenOrders?.(keeper, orders)
}
