/** Invariants checked at run time. Processes log a violation as an error and count it; tests fail on one. */

/** Called for each violation, with the name of the invariant. */
export type ViolationHandler = (invariant: string, detail: string) => void

export interface Invariants {
  /** Reports a violation if the condition is false. `detail` is called only in that case. */
  check: (condition: boolean, invariant: string, detail: () => string) => void
  /** Returns the number of violations since the start. */
  violations: () => number
}

/**
 * Creates a checker that reports and counts violations of invariants.
 *
 * @example
 * const invariants = createInvariants((invariant, detail) => {
 *   logger.error('invariant violated', { invariant, detail })
 * })
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
