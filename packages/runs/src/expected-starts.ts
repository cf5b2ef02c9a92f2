/** Expected starts of the runs in an agent's queue, from the expected ends of the runs at the upstream. */
import { addSizes, fitsInto, subtractSizes, type Size } from '@baobabpost/fleet-calls'

/** Capacity that is expected to be released. */
export interface ExpectedEnd {
  readonly at: number
  readonly size: Size
}

/** A run in the queue, in the order of the queue. */
export interface QueuedRun {
  readonly size: Size
  /** Expected run time at the upstream, in milliseconds. */
  readonly runMilliseconds: number
}

/**
 * Returns the times at which queued runs are expected to start, in the order of the queue; `Infinity` for a run that
 * fits only if more is released than is known of.
 *
 * @param free - Capacity that is free now.
 * @example
 * expectedStarts(free, [{ at: 120, size }], [{ size, runMilliseconds: 80 }], 100) // [120] if nothing is free
 */
export function expectedStarts (
  free: Size, ends: readonly ExpectedEnd[], queue: readonly QueuedRun[], now: number
): number[] {
  const pending = [...ends].sort((left, right) => left.at - right.at)
  let available = free
  let time = now
  const starts: number[] = []
  for (const { size, runMilliseconds } of queue) {
    while (!fitsInto(size, available)) {
      const next = pending.shift()
      if (next === undefined) {
        time = Infinity
        break
      }
      time = Math.max(time, next.at)
      available = addSizes(available, next.size)
    }
    starts.push(time)
    if (time === Infinity) continue
    available = subtractSizes(available, size)
    const end = { at: time + runMilliseconds, size }
    let position = pending.length
    while (position > 0 && (pending[position - 1] as ExpectedEnd).at > end.at) position -= 1
    pending.splice(position, 0, end)
  }
  return starts
}
