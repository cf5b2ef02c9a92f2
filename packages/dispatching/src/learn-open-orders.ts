/** Takes over the open orders that agents tell, and marks the tasks that they may start. */
import { LATE_ORDER_MILLISECONDS, type StopAnswer } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import type { DispatcherState } from './dispatcher-state.js'
import type { Job } from './job.js'
import { findTask, jobOfTask } from './job-progress.js'
import type { OpenOrders } from './open-orders.js'
import { recordStart } from './task-changes.js'

/** Takes over what an agent's answer tells of open orders. */
export function learnOpenOrders (state: DispatcherState, view: AgentView, answer: StopAnswer, now: number): void {
  const { clock, profile } = answer
  state.openOrders.learn(view, answer, now)
  for (const { task, agent, incarnation, until } of profile?.keptOrders ?? []) {
    state.openOrders.addKept(task, agent, incarnation, now + Math.min(until - clock, LATE_ORDER_MILLISECONDS))
  }
  for (const { task } of [...profile?.openOrders ?? [], ...profile?.keptOrders ?? []]) {
    const job = state.jobs.get(jobOfTask(task))
    const ordered = job === undefined ? undefined : findTask(job.progress, task)
    if (job !== undefined && ordered !== undefined && state.openOrders.has(task)) recordStart(job, ordered)
  }
}

/** Marks the tasks of a job that an upstream may yet start, so that the job is not refused as not run. */
export function markOpenTasks (openOrders: OpenOrders, job: Job): void {
  for (const name of openOrders.tasksOf(job.request.id)) {
    const task = findTask(job.progress, name)
    if (task !== undefined) recordStart(job, task)
  }
}
