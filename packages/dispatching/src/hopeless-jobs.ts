/** Jobs that are known to be lost, which are answered at once. */
import { latestRunEnd } from './agent-view.js'
import { EVACUATED_RETRY_AFTER_MILLISECONDS, MINIMUM_SLOWNESS, USEFUL_OBJECTIVES } from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { mayHaveRun, type Job, type JobTask } from './job.js'
import { abandonJob } from './job-completion.js'
import { findTask, longestWaitingMilliseconds } from './job-progress.js'
import type { AgentsByDistance } from './job-plan.js'

/** Abandons a job that waits for upstreams which are all evacuated. Returns whether it did. */
export function abandonIfEvacuated (
  state: DispatcherState, ports: DispatcherPorts, job: Job, agents: AgentsByDistance, now: number
): boolean {
  if (!agents.areAllEvacuated || job.progress.waiting.size === 0) return false
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
  if (job.progress.waiting.size === 0) return false
  const { id, arrivedAt, deadlineAt } = job.request
  const endsAt = now + MINIMUM_SLOWNESS * longestWaitingMilliseconds(job.progress)
  const isUseless = endsAt > arrivedAt + USEFUL_OBJECTIVES * job.objectiveMilliseconds && !mayHaveRun(job)
  if (endsAt > deadlineAt || isUseless) {
    const reason = isUseless ? 'no room while an answer is of use' : 'no room before its deadline'
    abandonJob(state, ports, job, reason, now)
    return true
  }
  for (const name of state.openOrders.tasksOf(id)) {
    const task = findTask(job.progress, name)
    if (task?.state !== 'waiting' || !isHeldUntil(state, task, deadlineAt, now)) continue
    abandonJob(state, ports, job, 'an order without an answer may yet be carried out', now)
    return true
  }
  return false
}
