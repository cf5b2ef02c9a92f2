/** Jobs that are known to be lost, which are answered at once. */
import { latestRunEnd } from './agent-view.js'
import { EVACUATED_RETRY_AFTER_MILLISECONDS, MINIMUM_SLOWNESS, USEFUL_OBJECTIVES } from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { mayHaveRun, type Job, type JobTask } from './job.js'
import { abandonJob } from './job-completion.js'
import type { AgentsByDistance } from './job-plan.js'

/** Shortest time in which the given tasks can be done, by their estimates. */
function minimumRemainingMilliseconds (tasks: readonly JobTask[]): number {
  let minimum = 0
  for (const { step } of tasks) minimum = Math.max(minimum, MINIMUM_SLOWNESS * step.estimateMilliseconds)
  return minimum
}

/** Abandons a job that waits for upstreams which are all evacuated. Returns whether it did. */
export function abandonIfEvacuated (
  state: DispatcherState, ports: DispatcherPorts, job: Job, agents: AgentsByDistance, now: number
): boolean {
  if (!agents.areAllEvacuated || !job.tasks.some(task => task.state === 'waiting')) return false
  abandonJob(state, ports, job, 'all failure domains are evacuated', now, EVACUATED_RETRY_AFTER_MILLISECONDS)
  return true
}

/** Whether an agent has not answered for so long that all of its runs have ended. */
function isLost (state: DispatcherState, agent: string, now: number): boolean {
  const view = state.agents.get(agent)
  return view === undefined || (!view.isReachable && now >= latestRunEnd(view))
}

/** Whether no agent may get a task before a time, as orders of it are open until then at a lost agent or at several. */
function isHeldUntil (state: DispatcherState, task: JobTask, time: number, now: number): boolean {
  const holders = state.openOrders.holdersOf(task.name).filter(({ until }) => until >= time)
  const [holder] = holders
  return holder !== undefined && (holders.length > 1 || isLost(state, holder.agent, now))
}

/**
 * Abandons a job whose waiting tasks can not end before its deadline or, if none of its tasks has been sent, while an
 * answer is of use. Returns whether it did.
 */
export function abandonIfHopeless (state: DispatcherState, ports: DispatcherPorts, job: Job, now: number): boolean {
  const waiting = job.tasks.filter(task => task.state === 'waiting')
  if (waiting.length === 0) return false
  const { arrivedAt, deadlineAt } = job.request
  const endsAt = now + minimumRemainingMilliseconds(waiting)
  const isUseless = endsAt > arrivedAt + USEFUL_OBJECTIVES * job.objectiveMilliseconds && !mayHaveRun(job)
  if (endsAt > deadlineAt || isUseless) {
    const reason = isUseless ? 'no room while an answer is of use' : 'no room before its deadline'
    abandonJob(state, ports, job, reason, now)
    return true
  }
  if (!waiting.some(task => isHeldUntil(state, task, deadlineAt, now))) return false
  abandonJob(state, ports, job, 'an order without an answer may yet be carried out', now)
  return true
}
