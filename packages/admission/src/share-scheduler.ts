/**
 * Stride scheduling: divides service among flows in proportion to their weights.
 *
 * Each flow has a pass, the weighted service it was charged. The flow with the lowest pass is next. A flow that was
 * idle starts at the present virtual time, so that idleness saves up no claim. Every step costs O(log flows).
 */
import { createIndexedHeap, type HeapItem } from '@baobabpost/common'

/** A flow of a scheduler; the scheduler alone changes `pass` and `position`. */
export interface ShareFlow extends HeapItem {
  weight: number
  /** Charged cost over weight. */
  pass: number
  /** Breaks ties, so that decisions repeat. */
  readonly order: number
}

/** Divides service among active flows. */
export interface ShareScheduler<Flow extends ShareFlow> {
  /** Makes an idle flow a candidate. */
  activate: (flow: Flow) => void
  /** Makes a flow idle. */
  deactivate: (flow: Flow) => void
  /** The flow that is next, or none while all are idle. */
  first: () => Flow | undefined
  /** Charges a flow; a negative cost takes a charge back. */
  charge: (flow: Flow, cost: number) => void
  /** Changes the weight of a flow. */
  setWeight: (flow: Flow, weight: number) => void
  /** Sum of the weights of active flows. */
  activeWeight: () => number
}

function isBefore (left: ShareFlow, right: ShareFlow): boolean {
  if (left.pass !== right.pass) return left.pass < right.pass
  return left.order < right.order
}

/**
 * Makes a scheduler without flows.
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
      if (flow.position >= 0) heap.moved(flow)
    },
    setWeight: (flow, weight) => {
      if (flow.position >= 0) totalWeight += weight - flow.weight
      flow.weight = weight
    },
    activeWeight: () => totalWeight
  }
}
