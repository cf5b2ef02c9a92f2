/** Capacity of a stand-in upstream that shrinks and grows while it runs. */
import type { Size } from '@baobabpost/fleet-calls'

/** A capacity, and the one that an agent may still count on. */
export interface ChangingCapacity {
  current: () => Size
  /** The largest capacity within the grace of the changes: an agent may not have heard of a later one. */
  allowed: () => Size
  change: (capacity: Size, graceMilliseconds: number) => void
}

/**
 * Creates a capacity. It uses the global timers, so that a test can control the time with fake timers.
 *
 * @example
 * const capacity = createChangingCapacity({ processor: 32_000, memory: 131_072, accelerators: 0 })
 * capacity.change({ processor: 8_000, memory: 131_072, accelerators: 0 }, 4_500)
 */
export function createChangingCapacity (initial: Size): ChangingCapacity {
  let current = initial
  const former = new Set<Size>()

  return {
    current: () => current,
    allowed: () => [current, ...former].reduce((largest, size) => size.processor > largest.processor ? size : largest),
    change: (capacity, graceMilliseconds) => {
      const replaced = { ...current }
      current = capacity
      former.add(replaced)
      setTimeout(() => { former.delete(replaced) }, graceMilliseconds)
    }
  }
}
