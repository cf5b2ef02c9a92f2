/** Tasks with a start order that an upstream may yet carry out, although its run is over as far as its agent knows. */
import { LATE_ORDER_MILLISECONDS, type StopAnswer } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import { jobOfTask } from './job-progress.js'

/** Orders of a task that an incarnation of an agent has sent. */
interface OrdersOfAgent {
  readonly agent: string
  readonly incarnation: string
  /** Time until which one of them may be carried out. */
  readonly until: number
  /** Whether other agents keep them for this one, which does not answer. */
  readonly isKept: boolean
}

/** An agent at which a task has such an order, and the time until which that may be carried out. */
export interface OrderHolder {
  readonly agent: string
  readonly until: number
}

/**
 * The agents at which tasks have such an order. No other agent may get the task meanwhile; that one may, as it orders
 * starts only at an upstream where no late order is carried out. Times are on the entry's steady clock, in ms.
 */
export interface OpenOrders {
  /** Records that the upstream of an agent may carry out an order of a task, sent by an incarnation, until a time. */
  add: (task: string, agent: string, incarnation: string, until: number) => void
  /** Records the same of an order that other agents keep, until the incarnation itself answers. */
  addKept: (task: string, agent: string, incarnation: string, until: number) => void
  /** Returns the agents at which a task has such an order. */
  holdersOf: (task: string) => readonly OrderHolder[]
  /** Returns the tasks of a job with such an order. */
  tasksOf: (job: string) => Iterable<string>
  isEmpty: () => boolean
  /** Returns the tasks with such an order at an agent. */
  ordersAt: (
    agent: string, now: number
  ) => ReadonlyArray<{ readonly task: string, readonly incarnation: string, readonly until: number }>
  /**
   * Takes over what an agent's answer tells. It replaces what is recorded of its incarnation, or adds to that while its
   * upstream is not fenced. It knows nothing of the orders of its former incarnations.
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
  const ordersByTask = new Map<string, readonly OrdersOfAgent[]>()
  const tasksByAgent = new Map<string, Set<string>>()
  const tasksByJob = new Map<string, Set<string>>()
  /** Time before which no order is over. */
  let earliestUntil = Infinity
  /** Agents of which others keep orders. */
  const keptAgents = new Set<string>()

  function record (task: string, added: OrdersOfAgent): void {
    const orders = ordersByTask.get(task) ?? []
    const { agent, incarnation, isKept } = added
    const isSame = (other: OrdersOfAgent): boolean =>
      other.agent === agent && other.incarnation === incarnation && other.isKept === isKept
    if (orders.some(other => isSame(other) && other.until >= added.until)) return
    ordersByTask.set(task, [...orders.filter(other => !isSame(other)), added])
    tasksByAgent.set(agent, (tasksByAgent.get(agent) ?? new Set()).add(task))
    const job = jobOfTask(task)
    tasksByJob.set(job, (tasksByJob.get(job) ?? new Set()).add(task))
    earliestUntil = Math.min(earliestUntil, added.until)
  }

  function add (task: string, agent: string, incarnation: string, until: number): void {
    record(task, { agent, incarnation, until, isKept: false })
  }

  function forgetTask (task: string): void {
    ordersByTask.delete(task)
    const job = jobOfTask(task)
    const tasks = tasksByJob.get(job)
    tasks?.delete(task)
    if (tasks?.size === 0) tasksByJob.delete(job)
  }

  /** Removes orders of an agent. */
  function remove (agent: string, isOver: (orders: OrdersOfAgent) => boolean): void {
    const tasks = tasksByAgent.get(agent) ?? new Set()
    for (const task of tasks) {
      const left = (ordersByTask.get(task) ?? []).filter(each => each.agent !== agent || !isOver(each))
      if (left.length > 0) ordersByTask.set(task, left)
      else forgetTask(task)
      if (!left.some(each => each.agent === agent)) tasks.delete(task)
    }
    if (tasks.size === 0) tasksByAgent.delete(agent)
  }

  function expire (now: number): void {
    if (now < earliestUntil) return
    for (const agent of [...tasksByAgent.keys()]) remove(agent, ({ until }) => now >= until)
    earliestUntil = Infinity
    for (const orders of ordersByTask.values()) {
      for (const { until } of orders) earliestUntil = Math.min(earliestUntil, until)
    }
  }

  return {
    add,
    addKept: (task, agent, incarnation, until) => {
      keptAgents.add(agent)
      record(task, { agent, incarnation, until, isKept: true })
    },
    holdersOf: task => {
      const untilByAgent = new Map<string, number>()
      for (const { agent, until } of ordersByTask.get(task) ?? []) {
        untilByAgent.set(agent, Math.max(until, untilByAgent.get(agent) ?? until))
      }
      return [...untilByAgent].map(([agent, until]) => ({ agent, until }))
    },
    tasksOf: job => tasksByJob.get(job) ?? [],
    isEmpty: () => ordersByTask.size === 0,
    ordersAt: (agent, now) => {
      const found = []
      for (const task of tasksByAgent.get(agent) ?? []) {
        for (const { agent: holder, incarnation, until } of ordersByTask.get(task) ?? []) {
          if (holder === agent && now < until) found.push({ task, incarnation, until })
        }
      }
      return found
    },
    learn: ({ name }, { profile, clock, cleared, incarnation }, now) => {
      const isOfIncarnation = (orders: OrdersOfAgent): boolean => orders.incarnation === incarnation
      if (keptAgents.delete(name)) remove(name, orders => isOfIncarnation(orders) && orders.isKept)
      if (profile === undefined) return
      if (cleared) remove(name, isOfIncarnation)
      for (const { task, until } of profile.openOrders ?? []) {
        add(task, name, incarnation, now + Math.min(until - clock, LATE_ORDER_MILLISECONDS))
      }
    },
    has: task => ordersByTask.has(task),
    isOpenElsewhere: (task, agent, now) => {
      for (const { agent: holder, until } of ordersByTask.get(task) ?? []) {
        if (holder !== agent && now < until) return true
      }
      return false
    },
    expire
  }
}
