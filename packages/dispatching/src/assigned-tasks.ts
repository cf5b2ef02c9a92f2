/** The tasks of an entry that are assigned or being stopped, by name and by agent. */
import type { TaskOfJob } from './job.js'

export interface AssignedTasks {
  /** Adds a task that has an assignment. */
  add: (assignedTask: TaskOfJob) => void
  /** Removes a task before its assignment ends. */
  remove: (task: TaskOfJob['task']) => void
  get: (name: string) => TaskOfJob | undefined
  /** Returns the tasks that are assigned to an agent. */
  at: (agent: string) => Iterable<TaskOfJob>
  hasAnyAt: (agent: string) => boolean
  /** Number of assigned tasks. */
  count: () => number
  /** Sum of their needs, in thousandths of a core. */
  processor: () => number
}

/**
 * Creates an empty index.
 *
 * @example
 * const assigned = createAssignedTasks()
 * assigned.add({ job, task })
 * assigned.get(task.name)
 */
export function createAssignedTasks (): AssignedTasks {
  const byName = new Map<string, TaskOfJob>()
  const byAgent = new Map<string, Set<TaskOfJob>>()
  let processor = 0

  function remove ({ name }: TaskOfJob['task']): void {
    const known = byName.get(name)
    if (known === undefined) return
    byName.delete(name)
    processor = byName.size === 0 ? 0 : processor - known.task.step.size.processor
    const agent = known.task.assignment?.agent ?? ''
    const tasks = byAgent.get(agent)
    tasks?.delete(known)
    if (tasks?.size === 0) byAgent.delete(agent)
  }

  return {
    add: assignedTask => {
      const { name, step, assignment } = assignedTask.task
      const agent = assignment?.agent ?? ''
      byName.set(name, assignedTask)
      processor += step.size.processor
      byAgent.set(agent, (byAgent.get(agent) ?? new Set()).add(assignedTask))
    },
    remove,
    get: name => byName.get(name),
    at: agent => byAgent.get(agent) ?? [],
    hasAnyAt: agent => byAgent.has(agent),
    count: () => byName.size,
    processor: () => processor
  }
}
