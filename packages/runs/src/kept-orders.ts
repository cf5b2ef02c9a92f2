/** Open orders of other agents, which an agent keeps for entries that have not known of them. */
import { LATE_ORDER_MILLISECONDS, type KeptOrders as ToldOrders, type TellOpenOrders } from '@baobabpost/fleet-calls'
import { MAXIMUM_KEPT_ORDERS } from './run-limits.js'

/** Times are of the agent's steady clock, in milliseconds. */
export interface KeptOrders {
  /** Keeps what an entry tells. Beyond the largest number the oldest ones are dropped. */
  add: (orders: TellOpenOrders['orders'], now: number) => void
  /** Returns the orders that may yet be carried out, with the time until which they may. */
  list: (now: number) => ToldOrders
  /** Removes the orders that are not carried out any more. */
  expire: (now: number) => void
}

/**
 * Creates an empty record.
 *
 * @example
 * const keptOrders = createKeptOrders()
 * keptOrders.add([{ task: '5c0e7a21d94b36f8.0.0.0', agent: 'agent-1', incarnation: '7', milliseconds: 9_000 }], now)
 */
export function createKeptOrders (): KeptOrders {
  const orders = new Map<string, ToldOrders[number]>()

  return {
    add: (told, now) => {
      for (const { task, agent, incarnation, milliseconds } of told) {
        const key = `${agent} ${incarnation} ${task}`
        const until = Math.max(orders.get(key)?.until ?? 0, now + Math.min(milliseconds, LATE_ORDER_MILLISECONDS))
        orders.delete(key)
        orders.set(key, { task, agent, incarnation, until })
        const [oldest] = orders.keys()
        if (oldest !== undefined && orders.size > MAXIMUM_KEPT_ORDERS) orders.delete(oldest)
      }
    },
    list: now => [...orders.values()].filter(({ until }) => now < until),
    expire: now => { for (const [key, { until }] of orders) if (now >= until) orders.delete(key) }
  }
}
