/** Events of a run with injected time, carried out in the order of their times. */
import { createIndexedHeap, type HeapItem } from '@baobabpost/common'

interface PlannedEvent extends HeapItem {
  readonly time: number
  readonly order: number
  readonly run: () => void
}

/** Planned events and the time of the latest one. */
export interface EventQueue {
  now: () => number
  after: (milliseconds: number, run: () => void) => void
  /** Carries out all events up to a time. */
  runUntil: (end: number) => void
}

function goesBefore (left: PlannedEvent, right: PlannedEvent): boolean {
  if (left.time !== right.time) return left.time < right.time
  return left.order < right.order
}

/** Makes a queue without events at the given Unix time in milliseconds. */
export function createEventQueue (start: number): EventQueue {
  const heap = createIndexedHeap<PlannedEvent>(goesBefore)
  let now = start
  let order = 0

  return {
    now: () => now,
    after: (milliseconds, run) => { heap.add({ time: now + milliseconds, order: order++, run, position: -1 }) },
    runUntil: end => {
      for (;;) {
        const event = heap.first()
        if (event === undefined || event.time > end) break
        heap.remove(event)
        now = event.time
        event.run()
      }
      now = end
    }
  }
}
