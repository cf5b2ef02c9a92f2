/** Completion of jobs: final answers, stops of runs that are no longer needed, and resubmitted jobs. */
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { RETRY_AFTER_MILLISECONDS } from './dispatch-limits.js'
import { markOpenTasks } from './learn-open-orders.js'
import { mayHaveRun, type Job, type JobAnswer, type JobTask } from './job.js'
import { endTask } from './task-changes.js'

/** Gives a job its final answer and stops its remaining runs. Does nothing if it has been answered. */
export function answerJob (
  state: DispatcherState, ports: DispatcherPorts, job: Job, answer: JobAnswer, now: number
): void {
  if (job.isAnswered) return
  job.isAnswered = true
  const { request } = job
  ports.logger.info('job answered', {
    job: request.id,
    route: request.route,
    outcome: answer.kind,
    reason: 'reason' in answer ? answer.reason : '',
    milliseconds: Math.round(now - request.arrivedAt),
    objective: Math.round(job.objectiveMilliseconds)
  })
  job.answer(answer)
  state.plans.get(job)?.plan.release()
  state.plans.delete(job)
  stopTasks(state, job, job.tasks, now)
  settleJob(state, job)
}

/** Gives up a job: answers `refused` if none of its tasks can have run, otherwise `given-up`. */
export function abandonJob (
  state: DispatcherState,
  ports: DispatcherPorts,
  job: Job,
  reason: string,
  now: number,
  retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS
): void {
  if (mayHaveRun(job)) return answerJob(state, ports, job, { kind: 'given-up', reason }, now)
  answerJob(state, ports, job, { kind: 'refused', reason, retryAfterMilliseconds }, now)
}

/** Gives up all open jobs. A job that waits for the end of an earlier submission may have run with that. */
export function abandonAllJobs (state: DispatcherState, ports: DispatcherPorts, reason: string, now: number): void {
  for (const job of [...state.jobs.values()]) {
    if (job.successor !== undefined) answerJob(state, ports, job.successor, { kind: 'given-up', reason }, now)
    abandonJob(state, ports, job, reason, now)
  }
}

/** Marks unsent tasks as done and sends stops for assigned ones, whose results arrive as reports. */
export function stopTasks (state: DispatcherState, job: Job, tasks: readonly JobTask[], now: number): void {
  for (const task of tasks) {
    if (task.state === 'waiting' || task.state === 'blocked') endTask(state, { job, task })
    if (task.state !== 'assigned' || task.assignment === undefined) continue
    task.state = 'stopping'
    const view = state.agents.get(task.assignment.agent)
    if (view !== undefined) state.stops.add(view, task.name, task.assignment.run)
  }
  state.stops.flush(now)
}

/** Removes a job that is answered and has no assigned task. A resubmission that waits for this is then queued. */
export function settleJob (state: DispatcherState, job: Job): void {
  if (!job.isAnswered || job.progress.assignedCount > 0) return
  if (state.jobs.get(job.request.id) !== job) return
  state.jobs.delete(job.request.id)
  if (job.successor === undefined || job.successor.isAnswered) return
  markOpenTasks(state.openOrders, job.successor)
  state.jobs.set(job.request.id, job.successor)
  state.waiting.add(job.successor)
}
