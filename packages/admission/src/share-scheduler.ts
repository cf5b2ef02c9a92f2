/**
 * Stride scheduling: divides slot time among flows in proportion to their weights.
 *
 * The pass of a flow is its charged cost divided by its weight. The flow with the lowest pass is next. A flow that
 * was idle resumes at the current virtual time, so that it gets no credit for the idle time. Every operation is
 * O(log flows).
 */
import { createIndexedHeap, type HeapItem } from '@baobabpost/common'

/** Flow of a scheduler. Only the scheduler changes `pass` and `position`. */
export interface ShareFlow extends HeapItem {
  weight: number
  /** Charged cost divided by weight. */
  pass: number
  /** Creation order of the flow; breaks ties, so that decisions are reproducible. */
  readonly order: number
}

export interface ShareScheduler<Flow extends ShareFlow> {
  /** Makes an idle flow eligible. */
  activate: (flow: Flow) => void
  deactivate: (flow: Flow) => void
  /** Next flow, or undefined while all are idle. */
  first: () => Flow | undefined
  /** Charges a flow; a negative cost is a refund. */
  charge: (flow: Flow, cost: number) => void
  setWeight: (flow: Flow, weight: number) => void
  /** Sum of the weights of active flows. */
  activeWeight: () => number
}

function isBefore (left: ShareFlow, right: ShareFlow): boolean {
  if (left.pass !== right.pass) return left.pass < right.pass
  return left.order < right.order
}

/**
 * Creates a scheduler without active flows.
 *
 * @example
 * const scheduler = createShareScheduler()
 * scheduler.activate({ weight: 2, pass: 0, position: -1, order: 0 })
 */
export function createShareScheduler<Flow extends ShareFlow> (): ShareScheduler<Flow> {
  const heap = createIndexedHeap<Flow>(isBefore)
  let virtualTime = 0
  let totalWeight = 0

  return {
    activate: flow => {
      if (flow.position >= 0) return
      flow.pass = Math.max(flow.pass, virtualTime)
      totalWeight += flow.weight
      heap.add(flow)
    },
    deactivate: flow => {
      if (flow.position < 0) return
      totalWeight -= flow.weight
      heap.remove(flow)
    },
    first: heap.first,
    charge: (flow, cost) => {
      if (cost > 0) virtualTime = Math.max(virtualTime, flow.pass)
      flow.pass += cost / flow.weight
      if (flow.position >= 0) heap.reposition(flow)
    },
    setWeight: (flow, weight) => {
      if (flow.position >= 0) totalWeight += weight - flow.weight
      flow.weight = weight
    },
    activeWeight: () => totalWeight
  }
}
