/** The start orders of an agent that its upstream, or the next instance of it, may yet carry out. */
import { LATE_ORDER_MILLISECONDS, type OpenOrders as ToldOrders } from '@baobabpost/fleet-calls'

interface OpenOrder {
  /** Start of the instance that it was sent to, in Unix milliseconds; undefined if the upstream does not report it. */
  readonly startedAt: number | undefined
  readonly orderedAt: number
}

/**
 * Start orders by task, from when they are sent until it is known that they can't be carried out any more. That the
 * instance they were sent to has acknowledged a stop does not show it: the next instance knows nothing of that. Times
 * are of the agent's steady clock, in milliseconds.
 */
export interface OpenOrders {
  /** Adds an order that is sent to the instance that started at `startedAt`. */
  add: (task: string, startedAt: number | undefined, now: number) => void
  /** Removes an order that was carried out or rejected, given when it was sent. */
  close: (task: string, orderedAt: number) => void
  /** Removes the orders of a task to earlier instances, as the raised fencing token is in force at the current one. */
  closeEarlier: (task: string, startedAt: number | undefined) => void
  /** Removes the orders of all tasks to earlier instances. */
  closeAllEarlier: (startedAt: number | undefined) => void
  /** Removes the orders of a task that is done. */
  forget: (task: string) => void
  has: (task: string, now: number) => boolean
  /** Returns the time until the newest order of a task is too old to be carried out; 0 without any. */
  remainingMilliseconds: (task: string, now: number) => number
  /** Returns the tasks among those that `isWanted` accepts with the time at which their newest order is too old. */
  list: (isWanted: (task: string) => boolean, now: number) => ToldOrders
  /** Removes the orders that are too old to be carried out. */
  expire: (now: number) => void
}

/**
 * Creates the record of an agent that has sent no order.
 *
 * @example
 * const openOrders = createOpenOrders()
 * openOrders.add('5c0e7a21d94b36f8.0.0.0', 1_791_652_171_802, performance.now())
 */
export function createOpenOrders (): OpenOrders {
  const ordersByTask = new Map<string, readonly OpenOrder[]>()

  function keep (task: string, isKept: (order: OpenOrder) => boolean): void {
    const orders = ordersByTask.get(task)
    if (orders === undefined) return
    const kept = orders.filter(isKept)
    if (kept.length === 0) ordersByTask.delete(task)
    else if (kept.length < orders.length) ordersByTask.set(task, kept)
  }

  function closeEarlier (task: string, startedAt: number | undefined): void {
    if (startedAt === undefined) return
    keep(task, order => order.startedAt === undefined || order.startedAt === startedAt)
  }

  function remainingMilliseconds (task: string, now: number): number {
    let milliseconds = 0
    for (const { orderedAt } of ordersByTask.get(task) ?? []) {
      milliseconds = Math.max(milliseconds, orderedAt + LATE_ORDER_MILLISECONDS - now)
    }
    return milliseconds
  }

  return {
    add: (task, startedAt, now) => {
      ordersByTask.set(task, [...ordersByTask.get(task) ?? [], { startedAt, orderedAt: now }])
    },
    close: (task, orderedAt) => { keep(task, order => order.orderedAt !== orderedAt) },
    closeEarlier,
    closeAllEarlier: startedAt => { for (const task of [...ordersByTask.keys()]) closeEarlier(task, startedAt) },
    forget: task => { ordersByTask.delete(task) },
    has: (task, now) => remainingMilliseconds(task, now) > 0,
    remainingMilliseconds,
    list: (isWanted, now) => {
      const listed: Array<ToldOrders[number]> = []
      for (const task of ordersByTask.keys()) {
        const milliseconds = remainingMilliseconds(task, now)
        if (milliseconds > 0 && isWanted(task)) listed.push({ task, until: now + milliseconds })
      }
      return listed
    },
    expire: now => {
      for (const task of [...ordersByTask.keys()]) {
        keep(task, ({ orderedAt }) => now - orderedAt < LATE_ORDER_MILLISECONDS)
      }
    }
  }
}
