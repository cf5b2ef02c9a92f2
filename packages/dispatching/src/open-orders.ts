/** Tasks with a start order that an upstream may yet carry out, although its run is over as far as its agent knows. */
import { LATE_ORDER_MILLISECONDS, type StopAnswer } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { Job } from './job.js'

/**
 * The agents at which tasks have such an order. No other agent may get the task meanwhile; that one may, as it orders
 * starts only at an upstream where no late order is carried out. Times are on the entry's steady clock.
 */
export interface OpenOrders {
  /** Records that the upstream of an agent may carry out an order of a task until the given time. */
  add: (task: string, agent: string, until: number) => void
  /** Replaces what is recorded of an agent by what it tells; adds to that while its upstream is not fenced. */
  learn: (view: AgentView, answer: StopAnswer, now: number) => void
  /** Whether a task may yet be started by an earlier order. */
  has: (task: string) => boolean
  /** Returns the only agent that may get a task; undefined if all may. */
  agentOf: (task: string, now: number) => string | undefined
  /** Removes what is over. */
  expire: (now: number) => void
}

/**
 * Creates an empty record.
 *
 * @example
 * const openOrders = createOpenOrders()
 * openOrders.add('5c0e7a21d94b36f8.0.0.0', 'agent-1', now + 2_400)
 */
export function createOpenOrders (): OpenOrders {
  const ordersByTask = new Map<string, { readonly agent: string, readonly until: number }>()

  return {
    add: (task, agent, until) => { ordersByTask.set(task, { agent, until }) },
    learn: ({ name }, { profile, clock, cleared }, now) => {
      if (profile === undefined) return
      for (const [task, { agent }] of ordersByTask) if (cleared && agent === name) ordersByTask.delete(task)
      for (const { task, until } of profile.openOrders ?? []) {
        ordersByTask.set(task, { agent: name, until: now + Math.min(until - clock, LATE_ORDER_MILLISECONDS) })
      }
    },
    has: task => ordersByTask.has(task),
    agentOf: (task, now) => {
      const order = ordersByTask.get(task)
      return order === undefined || now >= order.until ? undefined : order.agent
    },
    expire: now => {
      for (const [task, { until }] of ordersByTask) if (now >= until) ordersByTask.delete(task)
    }
  }
}

/** Marks the tasks of a job that an upstream may yet start, so that the job is not refused as not run. */
export function markOpenTasks (openOrders: OpenOrders, job: Job): void {
  for (const task of job.tasks) task.mayHaveStarted ||= openOrders.has(task.name)
}
