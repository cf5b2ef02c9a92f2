/** Event queue and simulated clock: runs events in the order of their times. */
import { createIndexedHeap, type HeapItem } from '@baobabpost/common'

interface ScheduledEvent extends HeapItem {
  readonly time: number
  readonly sequence: number
  readonly run: () => void
}

/** Scheduled events and the simulated clock. */
export interface EventQueue {
  now: () => number
  schedule: (milliseconds: number, run: () => void) => void
  /** Runs all events up to the given time, inclusive, and sets the clock to it. */
  runUntil: (end: number) => void
}

function isEarlier (left: ScheduledEvent, right: ScheduledEvent): boolean {
  if (left.time !== right.time) return left.time < right.time
  return left.sequence < right.sequence
}

/** Creates an empty queue whose clock starts at the given Unix time in milliseconds. */
export function createEventQueue (startTime: number): EventQueue {
  const heap = createIndexedHeap<ScheduledEvent>(isEarlier)
  let now = startTime
  let sequence = 0

  return {
    now: () => now,
    schedule: (milliseconds, run) => {
      heap.add({ time: now + milliseconds, sequence: sequence++, run, position: -1 })
    },
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
