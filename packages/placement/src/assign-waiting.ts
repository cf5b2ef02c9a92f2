/** Joins the waiting queues and the placement: hands waiting tasks to agents while there is room. */
import type { AdmissionQueue, Lane, WaitingTask } from '@baobabpost/admission'
import type { AgentIdentity } from '@baobabpost/common'
import type { Placement } from './placement.js'

/** A task and the agent that it goes to. */
export interface Assignment {
  readonly agent: AgentIdentity
  readonly task: WaitingTask
}

/**
 * Takes waiting tasks of a service and assigns them to agents until no agent should get more now. The tasks count as
 * dispatched.
 *
 * A task that should wait does not hold up the other lane: urgent tasks may use places that jobs may not, and jobs
 * may use agents that are too slow for an urgent task.
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
