/** Assigns waiting tasks from the admission queue to agents that the placement chooses. */
import type { AdmissionQueue, Lane, WaitingTask } from '@baobabpost/admission'
import type { AgentIdentity } from '@baobabpost/common'
import type { Placement } from './placement.js'

export interface Assignment {
  readonly agent: AgentIdentity
  readonly task: WaitingTask
}

/**
 * Assigns waiting tasks of a service until no agent should get another one now, and records the tasks with the
 * placement as dispatched.
 *
 * A task that should keep waiting does not block the other lane: urgent tasks may use capacity that jobs may not, and
 * jobs may use agents that are too slow for an urgent task.
 *
 * @example
 * for (const { agent, task } of assignWaiting(queue, placement, 'lending', now)) send(agent, task)
 */
export function assignWaiting (
  queue: AdmissionQueue, placement: Placement, service: string, now: number
): readonly Assignment[] {
  const assignments: Assignment[] = []
  let lane: Lane | undefined
  while (placement.hasFreeCapacity(service, now)) {
    const task = queue.next(service, now, lane)
    if (task === undefined) break
    const waiting = queue.length(service, task.urgent ? 'urgent' : 'jobs') + 1
    const agent = placement.choose(task, now, waiting)
    if (agent !== undefined) {
      placement.recordDispatch(agent, task, now)
      assignments.push({ agent, task })
      continue
    }
    queue.putBack(task)
    if (lane !== undefined) break
    lane = task.urgent ? 'jobs' : 'urgent'
  }
  return assignments
}
