/** Sends the tasks of plans to their agents. */
import { CRASHES_BEFORE_RUNNING_ALONE } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import { callerFor } from './caller.js'
import { LATE_PRIORITY_OFFSET, LONE_WAIT_MILLISECONDS } from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState, PendingOrders } from './dispatcher-state.js'
import type { Job, JobTask } from './job.js'
import { remainingMillisecondsOf } from './job-plan.js'
import type { PlacementChoice } from './placement.js'
import type { JobPlan } from './plan.js'
import { TASKS_SENT_PER_TURN } from './plan-budget.js'
import { assignTask } from './task-changes.js'

/** Tasks of a plan with their choices. */
type PlannedTasks = Array<readonly [JobTask, PlacementChoice]>

function groupByAgent ({ choices }: JobPlan): Map<AgentView, PlannedTasks> {
  const groups = new Map<AgentView, PlannedTasks>()
  for (const [task, choice] of choices) {
    const group = groups.get(choice.agent) ?? []
    group.push([task, choice])
    groups.set(choice.agent, group)
  }
  return groups
}

/**
 * Sends the tasks of a plan, and takes them out of it. What is left of a large plan is to be sent in another turn of
 * the event loop.
 */
export function sendPlan (
  state: DispatcherState, ports: DispatcherPorts, job: Job, plan: JobPlan, now: number
): void {
  let sentCount = 0
  for (const [view, plannedAtAgent] of groupByAgent(plan)) {
    const planned = plannedAtAgent.slice(0, TASKS_SENT_PER_TURN - sentCount)
    if (planned.length === 0) return
    sentCount += planned.length
    sendOrders(state, ports, job, createOrders(state, job, view, planned, now), now)
    for (const [task] of planned) plan.take(task)
  }
}

/** Assigns tasks to an agent, and returns their orders. */
function createOrders (
  state: DispatcherState, job: Job, view: AgentView, planned: PlannedTasks, now: number
): PendingOrders {
  const remainingMilliseconds = remainingMillisecondsOf(job, now)
  const pending: PendingOrders = { view, orders: [], maximumWaitMilliseconds: 0, isWhole: false }
  for (const [task, choice] of planned) {
    task.lastRun += 1
    assignTask(state, { job, task }, {
      agent: view.name, incarnation: view.incarnation, run: task.lastRun, sentAt: now, isConfirmed: false
    })
    const crashCount = state.crashes.crashCountOf(task.name)
    const maximumWait = crashCount < CRASHES_BEFORE_RUNNING_ALONE
      ? state.admission.maximumWait(choice, remainingMilliseconds)
      : LONE_WAIT_MILLISECONDS
    pending.maximumWaitMilliseconds = Math.max(pending.maximumWaitMilliseconds, maximumWait)
    pending.isWhole ||= !job.isLate && state.admission.isWhole(choice)
    pending.orders.push({
      task: task.name,
      run: task.lastRun,
      size: task.step.size,
      ...(task.step.label === undefined ? {} : { label: task.step.label }),
      estimateMilliseconds: task.step.estimateMilliseconds,
      ...state.runTimes.describeOrder(view, task.step),
      ...(crashCount === 0 ? {} : { crashCount })
    })
  }
  return pending
}

function sendOrders (
  state: DispatcherState, ports: DispatcherPorts, job: Job, pending: PendingOrders, now: number
): void {
  const { view, orders, maximumWaitMilliseconds, isWhole } = pending
  view.lastSentAt = now
  ports.logger.info('job sent', {
    job: job.request.id,
    agent: view.name,
    tasks: orders.length,
    patience: Math.round(maximumWaitMilliseconds),
    late: job.isLate,
    heardAgo: Math.round(now - view.lastContactAt)
  })
  ports.sendStart(view, {
    caller: callerFor(state, view),
    service: job.request.service,
    specification: job.request.specification,
    priority: job.request.priority + (job.isLate ? LATE_PRIORITY_OFFSET : 0),
    patienceMilliseconds: Math.round(maximumWaitMilliseconds),
    ...(isWhole ? { isWhole } : {}),
    ...state.runTimes.describeStart(view, job.request),
    orders
  })
}
