/** Ends assignments: their runs have ended, will not start, or can't outlive the leases of an agent that is gone. */
import { LEASE_MARGIN_MILLISECONDS } from '@baobabpost/fleet-calls'
import { latestRunEnd, type AgentView } from './agent-view.js'
import { addWaiting } from './assignments.js'
import { LONE_RETRY_MILLISECONDS } from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import type { TaskOfJob } from './job.js'
import { settleJob } from './job-completion.js'
import { keepLostOrders, recordLostOrders } from './lost-orders.js'
import { endTask, recordStart, returnTask } from './task-changes.js'

/** Ends all assignments to earlier incarnations of an agent. */
export function endFormerRuns (state: DispatcherState, ports: DispatcherPorts, view: AgentView, now: number): void {
  if (!view.mayHaveFormerRuns) return
  view.mayHaveFormerRuns = false
  endLostRuns(state, ports, view, 'agent restarted', now)
}

/**
 * Ends the assignments to an agent, or only those to its earlier incarnations if it was restarted.
 *
 * @returns the number of these assignments.
 */
function endLostRuns (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, reason: 'agent restarted' | 'agent silent', now: number
): number {
  const lost = [...state.assigned.at(view.name)].filter(({ task: { assignment } }) =>
    reason === 'agent silent' || assignment?.incarnation !== view.incarnation)
  if (lost.length === 0) return 0
  const incarnation = lost[0]?.task.assignment?.incarnation ?? ''
  state.crashes.addLost(incarnation, lost.map(({ job, task }) => ({ task: task.name, route: job.request.route })), now)
  recordLostOrders(state, view, lost, now)
  keepLostOrders(state, ports, view, now)
  for (const assignedTask of lost) {
    recordStart(assignedTask.job, assignedTask.task)
    endAssignment(state, ports, assignedTask, reason, now)
  }
  return lost.length
}

/** Ends an assignment whose run has ended or will not start, without success: the task waits again if still needed. */
export function endAssignment (
  state: DispatcherState, ports: DispatcherPorts, { job, task }: TaskOfJob, reason: string, now: number
): void {
  const confirmed = task.assignment?.isConfirmed
  if (task.assignment !== undefined) task.avoidedAgents.add(task.assignment.agent)
  if (job.isAnswered) {
    endTask(state, { job, task })
    return settleJob(state, job)
  }
  returnTask(state, { job, task })
  // A run that was refused its upstream for itself has kept that free for a while.
  if (state.crashes.suspicionOf(task.name, now) === 'lone') task.notBefore = now + LONE_RETRY_MILLISECONDS
  const left = Math.round(job.request.deadlineAt - now)
  ports.logger.info('task waits again', { task: task.name, run: task.lastRun, reason, left, confirmed, crashes: state.crashes.crashCountOf(task.name) })
  addWaiting(state, job)
}

function logSilentAgent (ports: DispatcherPorts, view: AgentView, tasks: number, now: number): void {
  ports.logger.warn('assignments of a silent agent ended', {
    agent: view.name,
    tasks,
    heardAgo: Math.round(now - view.lastContactAt)
  })
}

/** Ends the assignments to agents, or to their earlier incarnations, whose leases have all ended. */
export function endRunsOfUnresponsiveAgents (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  for (const view of state.agents.values()) {
    const formerRunsEndAt = view.formerRunsSince + view.formerRunLeaseMilliseconds + LEASE_MARGIN_MILLISECONDS
    if (now >= formerRunsEndAt) endFormerRuns(state, ports, view, now)
    if (view.isReachable || view.incarnation === '' || now < latestRunEnd(view)) continue
    const tasks = endLostRuns(state, ports, view, 'agent silent', now)
    if (tasks > 0) logSilentAgent(ports, view, tasks, now)
  }
}
