/** Start calls of entries that wait for the upstream's answers to their orders. */

/** Longest wait of a start call; an upstream on the same VM answers within a few milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 10

export interface PendingStarts {
  /** Resolves when the start orders of the tasks are answered, or after the longest wait. */
  wait: (tasks: readonly string[]) => Promise<void>
  /** Records that the start order of a task has been answered. */
  answered: (task: string) => void
}

/**
 * Creates the record of an agent without start calls.
 *
 * @example
 * const pendingStarts = createPendingStarts()
 * await pendingStarts.wait(['5c0e7a21d94b36f8.0.0.0'])
 */
export function createPendingStarts (): PendingStarts {
  const waiting = new Set<{ readonly tasks: Set<string>, readonly end: () => void }>()

  return {
    wait: tasks => {
      if (tasks.length === 0) return Promise.resolve()
      return new Promise(resolve => {
        const timer = setTimeout(end, MAXIMUM_WAIT_MILLISECONDS)
        const call = { tasks: new Set(tasks), end }
        function end (): void {
          clearTimeout(timer)
          waiting.delete(call)
          resolve()
        }
        waiting.add(call)
      })
    },
    answered: task => {
      for (const { tasks, end } of waiting) if (tasks.delete(task) && tasks.size === 0) end()
    }
  }
}
