/**
 * Whether the present instance of the upstream meets what an order requires. The entry planned it by the profile that
 * it knew, possibly that of an earlier instance of another kind or service.
 */
import { findMismatch, type Mismatch, type RunOrder, type Verdict } from '@baobabpost/fleet-calls'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'

/** An order, with the requirement that its start call states once for all orders. */
export interface RequiringOrder {
  readonly order: RunOrder
  /** Service that the upstream must belong to; undefined in calls of builds that do not state it. */
  readonly service: string | undefined
}

/** Circumstances in which an order is refused, for the log. */
export type RefusalContext =
  /** The order has just arrived, with others of its call; the entry last heard of the upstream `viewAge` ms ago. */
  | { readonly entry: string, readonly tasks: number, readonly viewAge: number }
  /** The order was accepted `waited` ms ago, and is about to be sent to the upstream. */
  | { readonly entry: string, readonly waited: number }

/** Returns the first requirement of an order that the upstream does not meet; undefined if no heartbeat is known. */
export function mismatchOf (state: RunRegistryState, { order, service }: RequiringOrder): Mismatch | undefined {
  const { heartbeat } = state.upstream
  if (heartbeat === undefined) return undefined
  return findMismatch(heartbeat, { service, label: order.label, size: order.size })
}

/** Returns the verdict on an order that the upstream does not suit, in words that the build of its entry knows. */
export function mismatchVerdict (service: RequiringOrder['service']): Verdict {
  return service === undefined ? 'no-room' : 'unsuitable'
}

/** Logs an order that is refused, or given back to its entry, since the upstream does not suit it. */
export function logMismatch (
  state: RunRegistryState, ports: RunRegistryPorts, requiring: RequiringOrder, context: RefusalContext
): void {
  const { instance, heartbeat } = state.upstream
  const { order, service } = requiring
  ports.logger.warn('order refused: unsuitable upstream', {
    task: order.task,
    run: order.run,
    ...context,
    outcome: mismatchOf(state, requiring),
    service,
    label: order.label,
    processor: order.size.processor,
    upstream: instance?.id,
    bornAt: instance?.startedAt,
    upstreamService: heartbeat?.service,
    upstreamLabels: heartbeat?.labels.join(' '),
    upstreamProcessor: heartbeat?.capacity.processor
  })
}
