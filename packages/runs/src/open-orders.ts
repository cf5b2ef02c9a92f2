/** The start orders of an agent that its upstream, or a later instance of it, may yet carry out. */
import { LATE_ORDER_MILLISECONDS, type OpenOrders as ToldOrders } from '@baobabpost/fleet-calls'
import { OPEN_ORDER_TOLD_AFTER_MILLISECONDS } from './run-limits.js'

/**
 * Start orders by task, from when they are sent until they are answered or too old to be carried out. Neither a stop
 * nor a fencing token ends one: an instance that has acknowledged them may end, and the next one knows of neither.
 * Times are of the agent's steady clock, in milliseconds.
 */
export interface OpenOrders {
  /** Adds an order that is sent. */
  add: (task: string, now: number) => void
  /** Removes an order that was carried out or rejected, given when it was sent. */
  close: (task: string, orderedAt: number) => void
  /** Removes the order of a task whose run has started, unless others are open: any of them may have started it. */
  closeOnlyOrder: (task: string) => void
  has: (task: string, now: number) => boolean
  /** Returns the time until the newest order of a task is too old to be carried out; 0 without any. */
  remainingMilliseconds: (task: string, now: number) => number
  /**
   * Returns the tasks to tell entries, with the time at which their newest order is too old. While its run is pending,
   * an order that has just been sent is not among them: a listing shows whether only its answer was lost.
   */
  list: (isPending: (task: string) => boolean, now: number) => ToldOrders
  /** Removes the orders that are too old to be carried out. */
  expire: (now: number) => void
}

/**
 * Creates the record of an agent that has sent no order.
 *
 * @example
 * const openOrders = createOpenOrders()
 * openOrders.add('5c0e7a21d94b36f8.0.0.0', performance.now())
 */
export function createOpenOrders (): OpenOrders {
  /** Times at which the orders were sent, oldest first. */
  const timesByTask = new Map<string, readonly number[]>()

  function keep (task: string, isKept: (orderedAt: number) => boolean): void {
    const times = timesByTask.get(task)
    if (times === undefined) return
    const kept = times.filter(isKept)
    if (kept.length === 0) timesByTask.delete(task)
    else if (kept.length < times.length) timesByTask.set(task, kept)
  }

  function remainingMilliseconds (task: string, now: number): number {
    const newest = timesByTask.get(task)?.at(-1)
    return newest === undefined ? 0 : Math.max(0, newest + LATE_ORDER_MILLISECONDS - now)
  }

  return {
    add: (task, now) => { timesByTask.set(task, [...timesByTask.get(task) ?? [], now]) },
    close: (task, orderedAt) => { keep(task, time => time !== orderedAt) },
    closeOnlyOrder: task => { if (timesByTask.get(task)?.length === 1) timesByTask.delete(task) },
    has: (task, now) => remainingMilliseconds(task, now) > 0,
    remainingMilliseconds,
    list: (isPending, now) => {
      const listed: Array<ToldOrders[number]> = []
      for (const [task, times] of timesByTask) {
        const [oldest = now] = times
        const until = (times.at(-1) ?? now) + LATE_ORDER_MILLISECONDS
        const isYoung = now - oldest < OPEN_ORDER_TOLD_AFTER_MILLISECONDS && isPending(task)
        if (now < until && !isYoung) listed.push({ task, until })
      }
      return listed
    },
    expire: now => {
      for (const task of [...timesByTask.keys()]) keep(task, time => now - time < LATE_ORDER_MILLISECONDS)
    }
  }
}
