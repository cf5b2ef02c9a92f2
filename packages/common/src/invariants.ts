/** Invariants asserted inside the program: a violation is an error log and a metric, and a failure in tests. */

/** Receives each violation. */
export type ViolationHandler = (invariant: string, detail: string) => void

/** Checks invariants and counts the violations. */
export interface Invariants {
  /** Reports a violation unless the condition holds. `detail` is called only then. */
  check: (condition: boolean, invariant: string, detail: () => string) => void
  /** Number of violations so far. */
  violations: () => number
}

/**
 * Makes a checker of invariants.
 *
 * @example
 * const invariants = createInvariants((name, detail) => logger.error({ message: name, detail }))
 * invariants.check(starts <= 1, 'task-started-once', () => `task 3 started ${starts} times`)
 */
export function createInvariants (onViolation: ViolationHandler): Invariants {
  let count = 0
  return {
    check (condition, invariant, detail) {
      if (condition) return
      count += 1
      onViolation(invariant, detail())
    },
    violations: () => count
  }
}
