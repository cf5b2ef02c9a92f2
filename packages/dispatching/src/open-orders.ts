/** Tasks with a start order that an upstream may yet carry out, although its run is over as far as its agent knows. */
import { LATE_ORDER_MILLISECONDS, type StopAnswer } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { Job } from './job.js'

/** Orders of a task at one agent: which incarnation of it sent them, and until when one may be carried out. */
interface OrdersOfAgent {
  readonly incarnation: string
  readonly until: number
}

/**
 * The agents at which tasks have such an order. No other agent may get the task meanwhile; that one may, as it orders
 * starts only at an upstream where no late order is carried out. Times are on the entry's steady clock in
 * milliseconds.
 */
export interface OpenOrders {
  /** Records that the upstream of an agent may carry out an order of a task, sent by an incarnation, until a time. */
  add: (task: string, agent: string, incarnation: string, until: number) => void
  /** Returns the agents at which a task has such an order, with the time until which it may be carried out. */
  holdersOf: (task: string) => ReadonlyArray<{ readonly agent: string, readonly until: number }>
  /** Returns the tasks with such an order at an agent. */
  ordersAt: (
    agent: string, now: number
  ) => ReadonlyArray<{ readonly task: string, readonly incarnation: string, readonly until: number }>
  /**
   * Replaces what is recorded of an agent's incarnation by what it tells, or adds that while its upstream is not
   * fenced. It knows nothing of the orders of its former incarnations.
   */
  learn: (view: AgentView, answer: StopAnswer, now: number) => void
  /** Whether a task may yet be started by an earlier order. */
  has: (task: string) => boolean
  /** Whether a task may yet be started by the upstream of another agent. */
  isOpenElsewhere: (task: string, agent: string, now: number) => boolean
  /** Removes what is over. */
  expire: (now: number) => void
}

/**
 * Creates an empty record.
 *
 * @example
 * const openOrders = createOpenOrders()
 * openOrders.add('5c0e7a21d94b36f8.0.0.0', 'agent-1', 'agent-1-7', now + 2_400)
 */
export function createOpenOrders (): OpenOrders {
  const agentsByTask = new Map<string, Map<string, OrdersOfAgent>>()

  function add (task: string, agent: string, incarnation: string, until: number): void {
    const agents = agentsByTask.get(task) ?? new Map<string, OrdersOfAgent>()
    agentsByTask.set(task, agents)
    if ((agents.get(agent)?.until ?? -Infinity) < until) agents.set(agent, { incarnation, until })
  }

  function ordersAt (
    agent: string, now: number
  ): Array<{ readonly task: string, readonly incarnation: string, readonly until: number }> {
    const orders = []
    for (const [task, agents] of agentsByTask) {
      const ordersOfAgent = agents.get(agent)
      if (ordersOfAgent !== undefined && now < ordersOfAgent.until) orders.push({ task, ...ordersOfAgent })
    }
    return orders
  }

  function remove (isOver: (agent: string, orders: OrdersOfAgent) => boolean): void {
    for (const [task, agents] of agentsByTask) {
      for (const [agent, orders] of agents) if (isOver(agent, orders)) agents.delete(agent)
      if (agents.size === 0) agentsByTask.delete(task)
    }
  }

  return {
    add,
    holdersOf: task => [...agentsByTask.get(task) ?? []].map(([agent, { until }]) => ({ agent, until })),
    ordersAt,
    learn: ({ name }, { profile, clock, cleared, incarnation }, now) => {
      if (profile === undefined) return
      if (cleared) remove((agent, orders) => agent === name && orders.incarnation === incarnation)
      for (const { task, until } of profile.openOrders ?? []) {
        add(task, name, incarnation, now + Math.min(until - clock, LATE_ORDER_MILLISECONDS))
      }
    },
    has: task => agentsByTask.has(task),
    isOpenElsewhere: (task, agent, now) => {
      for (const [other, { until }] of agentsByTask.get(task) ?? []) if (other !== agent && now < until) return true
      return false
    },
    expire: now => { remove((_agent, { until }) => now >= until) }
  }
}

/** Marks the tasks of a job that an upstream may yet start, so that the job is not refused as not run. */
export function markOpenTasks (openOrders: OpenOrders, job: Job): void {
  for (const task of job.tasks) task.mayHaveStarted ||= openOrders.has(task.name)
}
