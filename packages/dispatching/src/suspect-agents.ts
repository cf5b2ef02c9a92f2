/** The agents that have a task of this entry under which an upstream has crashed. */

export interface SuspectAgents {
  /** Records that an agent has a task under which an upstream has crashed. */
  add: (agent: string, task: string) => void
  /** Records that the agent does not have the task any more. */
  remove: (agent: string, task: string) => void
  /** Whether an agent has such a task that is still suspected. */
  has: (agent: string) => boolean
}

/**
 * Creates an empty index.
 *
 * @param isSuspect - Whether an upstream has crashed under a task without another known cause.
 * @example
 * const suspects = createSuspectAgents(task => crashes.crashCountOf(task) > 0)
 */
export function createSuspectAgents (isSuspect: (task: string) => boolean): SuspectAgents {
  const tasksByAgent = new Map<string, Set<string>>()

  function remove (agent: string, task: string): void {
    const tasks = tasksByAgent.get(agent)
    tasks?.delete(task)
    if (tasks?.size === 0) tasksByAgent.delete(agent)
  }

  return {
    add: (agent, task) => {
      tasksByAgent.set(agent, (tasksByAgent.get(agent) ?? new Set()).add(task))
    },
    remove,
    has: agent => {
      for (const task of tasksByAgent.get(agent) ?? []) {
        if (isSuspect(task)) return true
        remove(agent, task)
      }
      return false
    }
  }
}
