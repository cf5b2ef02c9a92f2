/** Way of orders to the stand-in upstream and of their answers back, subject to its faults. */
import type { OrderAnswer } from '@baobabpost/runs'
import type { UpstreamFaults } from './leased-upstream-options.js'

/** One-way network delay of an order or its answer. */
const ORDER_DELAY_MILLISECONDS = 0.3

export type OrderKind = 'start' | 'stop' | 'list'

export interface OrderDeliveryOptions {
  readonly faults: UpstreamFaults
  /** Whether nothing listens at the upstream. */
  readonly isDown: () => boolean
  /** Start of the current instance; differs for each. */
  readonly startedAt: () => number
  /** Whether delayed orders also reach the next instance. */
  readonly keepsDelayedOrders: boolean
}

/** Delivers an order to `handle`, and resolves to its answer or, after the timeout, to none. */
export type DeliverOrder = <Answer extends OrderAnswer>(
  handle: () => Answer | Promise<Answer>, timeoutMilliseconds: number, kind: OrderKind
) => Promise<Answer | OrderAnswer>

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/**
 * Creates the way of the orders.
 *
 * @example
 * const deliver = createOrderDelivery({ faults, isDown, startedAt, keepsDelayedOrders: false })
 * await deliver(() => handleStart(order), 50, 'start')
 */
export function createOrderDelivery (options: OrderDeliveryOptions): DeliverOrder {
  const { faults, startedAt } = options
  return async (handle, timeoutMilliseconds, kind) => {
    const instanceBornAt = startedAt()
    await pause(ORDER_DELAY_MILLISECONDS)
    if (options.isDown() || faults.refusesConnections) return { outcome: 'unreachable', clock: undefined }
    const isLostStop = kind === 'stop' && faults.losesStops
    const isDelayed = kind === 'list' ? faults.isListDelayed() : !isLostStop && faults.isOrderDelayed()
    // A crash drops orders that are on their way to the previous instance, and answers from it.
    if (!isDelayed && !isLostStop && !faults.isUnresponsive && startedAt() === instanceBornAt) {
      const answer = await handle()
      await pause(ORDER_DELAY_MILLISECONDS)
      const isCutOff = faults.isUnresponsive || faults.refusesConnections
      if (!isCutOff && startedAt() === instanceBornAt) return answer
    }
    const handleLate = async (): Promise<void> => {
      await pause(faults.orderDelayMilliseconds)
      if (startedAt() === instanceBornAt || options.keepsDelayedOrders) await handle()
    }
    if (isDelayed) handleLate().catch((failure: unknown) => { throw failure })
    await pause(timeoutMilliseconds)
    return { outcome: 'unanswered', clock: undefined }
  }
}
