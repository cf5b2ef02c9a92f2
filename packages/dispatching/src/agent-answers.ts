/** Handles answers of agents (run reports, verdicts on starts) and failed calls to them. */
import {
  boundWaitingLevels, EMPTY_SIZE, readLeases, readOutcome, readVerdict, UNTOLD_LEASES, type RunReport,
  type Start, type StartAnswer, type StopAnswer, type WatchAnswer
} from '@baobabpost/fleet-calls'
import { latestStoppedRunEnd, longestRunLease, type AgentView } from './agent-view.js'
import { addWaiting } from './assignments.js'
import { BUSY_RETRY_MILLISECONDS } from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import type { TaskOfJob } from './job.js'
import { endAssignment, endFormerRuns } from './ended-assignments.js'
import { answerJob, settleJob, stopTasks } from './job-completion.js'
import { learnCrashes } from './learn-crashes.js'
import { learnOpenOrders } from './learn-open-orders.js'
import { keepLostOrders } from './lost-orders.js'
import { releaseReservation } from './plan.js'
import { endTask, recordStart, unblockDependents } from './task-changes.js'

/** Records which runs' start orders have all been answered, as the agent tells. */
function confirmAssignments (state: DispatcherState, view: AgentView, { confirmed = [] }: StopAnswer): void {
  for (const { task, run } of confirmed) {
    const assignment = assignmentOf(state, view, task, run)?.task.assignment
    if (assignment !== undefined) assignment.isConfirmed = true
  }
}

/**
 * Applies the agent state at the head of an answer. Load and profile of an answer older than the view are ignored.
 *
 * @returns whether the answer is from the agent's current incarnation; one of a former incarnation changes nothing.
 */
function applyAgentState (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, answer: StopAnswer, now: number
): boolean {
  if (view.formerIncarnations.has(answer.incarnation)) return false
  if (view.incarnation !== answer.incarnation) {
    ports.logger.info('agent found', { agent: view.name, incarnation: answer.incarnation })
    if (view.incarnation !== '') view.formerIncarnations.add(view.incarnation)
    view.incarnation = answer.incarnation
    view.incarnationSince = now
    view.formerRunLeaseMilliseconds = longestRunLease(view)
    if (!view.mayHaveFormerRuns) view.formerRunsSince = now
    view.mayHaveFormerRuns = true
    view.formerFence = Math.max(view.formerFence, view.fence)
    view.fence = 0
    view.leases = UNTOLD_LEASES
    view.acknowledgedSequence = 0
    view.lastAgentClock = 0
    view.profile = undefined
    view.unconfirmedSize = EMPTY_SIZE
    view.isToldEvacuated = false
  }
  confirmAssignments(state, view, answer)
  if (answer.cleared) endFormerRuns(state, ports, view, now)
  if (answer.evacuations !== undefined && state.evacuations?.merge(answer.evacuations) === true) {
    ports.evacuationsChanged?.(view.name)
  }
  // A restarted agent was not silent: its new incarnation begins with what entries remember.
  if (!view.isReachable && view.lastContactAt > 0 && view.incarnationSince < now) view.silentUntil = now
  view.isReachable = true
  if (answer.clock < view.lastAgentClock) return true
  view.lastAgentClock = answer.clock
  view.lastContactAt = now
  view.load = boundWaitingLevels(answer.room)
  if (answer.profile !== undefined) {
    view.profile = answer.profile
    view.leases = readLeases(answer.profile.leases)
    view.fence = Math.max(view.fence, answer.profile.fence ?? 0)
    learnCrashes(state, ports, view, now)
  }
  learnOpenOrders(state, view, answer, now)
  state.runTimes.applyAnswer(view)
  return true
}

function handleDone (state: DispatcherState, ports: DispatcherPorts, { job, task }: TaskOfJob, now: number): void {
  state.crashes.clear(task.name)
  recordStart(job, task)
  endTask(state, { job, task })
  if (job.isAnswered) return settleJob(state, job)
  if (job.progress.openCount === 0) return answerJob(state, ports, job, { kind: 'completed' }, now)
  if (unblockDependents(job, task)) addWaiting(state, job)
}

function handleFailed (
  state: DispatcherState, ports: DispatcherPorts, assignedTask: TaskOfJob, reason: string, now: number
): void {
  const { job, task } = assignedTask
  recordStart(job, task)
  task.failures += 1
  if (job.isAnswered || task.failures < job.request.maximumAttempts) {
    return endAssignment(state, ports, assignedTask, `failed ${reason}`, now)
  }
  endTask(state, assignedTask)
  answerJob(state, ports, job, { kind: 'failed', task: task.name }, now)
}

function handleReport (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, report: RunReport, now: number
): void {
  const assignedTask = assignmentOf(state, view, report.task, report.run)
  if (report.openOrderMilliseconds !== undefined) {
    state.openOrders.add(report.task, view.name, view.incarnation, now + report.openOrderMilliseconds)
  }
  if (assignedTask === undefined) return
  switch (readOutcome(report.outcome)) {
    case 'done': {
      const { job: { request }, task: { step } } = assignedTask
      state.runTimes.recordDone({ view, request, step, milliseconds: report.milliseconds })
      return handleDone(state, ports, assignedTask, now)
    }
    case 'failed':
      return handleFailed(state, ports, assignedTask, report.reason, now)
    case 'stopped':
    case 'lapsed':
    case 'lost':
    case 'unknown':
      recordStart(assignedTask.job, assignedTask.task)
      return endAssignment(state, ports, assignedTask, `${report.outcome} ${report.reason}`, now)
    case 'superseded':
      recordStart(assignedTask.job, assignedTask.task)
      endAssignment(state, ports, assignedTask, report.outcome, now)
      return answerJob(state, ports, assignedTask.job, { kind: 'given-up', reason: 'another entry has the job' }, now)
    case 'not-started':
      if (report.openOrderMilliseconds !== undefined) recordStart(assignedTask.job, assignedTask.task)
      return endAssignment(state, ports, assignedTask, `${report.outcome} ${report.reason}`, now)
  }
}

/**
 * Records what the reports took beside their runs: the least of them, since a report waits for the other runs of its
 * start call.
 */
function recordDelivery (state: DispatcherState, view: AgentView, reports: readonly RunReport[], now: number): void {
  let leastMilliseconds: number | undefined
  for (const { sequence, task, run, outcome, milliseconds } of reports) {
    const assignment = state.assigned.get(task)?.task.assignment
    if (outcome !== 'done' || sequence <= view.acknowledgedSequence) continue
    if (assignment === undefined || assignment.agent !== view.name || assignment.run !== run) continue
    leastMilliseconds = Math.min(leastMilliseconds ?? Infinity, now - assignment.sentAt - milliseconds)
  }
  if (leastMilliseconds !== undefined) state.runTimes.recordDelivery(leastMilliseconds)
}

export function handleWatchAnswer (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, answer: WatchAnswer, now: number
): void {
  if (!applyAgentState(state, ports, view, answer, now)) return
  recordDelivery(state, view, answer.reports, now)
  for (const report of answer.reports) {
    if (report.sequence <= view.acknowledgedSequence) continue
    view.acknowledgedSequence = report.sequence
    handleReport(state, ports, view, report, now)
  }
}

function handleVerdict (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, assignedTask: TaskOfJob, verdict: string, now: number
): void {
  const { task } = assignedTask
  switch (readVerdict(verdict)) {
    case 'accepted':
      return
    case 'stale':
    case 'not-accepting':
    case 'unsuitable':
    case 'no-room':
    case 'stopped':
      endAssignment(state, ports, assignedTask, verdict, now)
      if (verdict === 'stale') task.avoidedAgents.clear()
      return
    case 'busy':
      task.notBefore = now + BUSY_RETRY_MILLISECONDS
      // The agent may keep the other run for longer than its lease, such as one whose order had no answer.
      task.heldBy = { agent: view.name, until: latestStoppedRunEnd(view, now) }
      return endAssignment(state, ports, assignedTask, verdict, now)
    // The agent may have accepted the order: the report on its stop tells.
    case 'unknown':
      ports.logger.warn('verdict not known', { agent: task.assignment?.agent, task: task.name, verdict })
      return stopTasks(state, assignedTask.job, [task], now)
  }
}

/**
 * Returns the task of an order if it is still assigned to this incarnation of the agent with this run number. A later
 * incarnation knows nothing of the run, so neither its report nor its verdict ends the assignment.
 */
function assignmentOf (
  state: DispatcherState, view: AgentView, task: string, run: number
): TaskOfJob | undefined {
  const assignedTask = state.assigned.get(task)
  const assignment = assignedTask?.task.assignment
  if (assignment?.agent !== view.name || assignment.incarnation !== view.incarnation) return undefined
  return assignment.run === run ? assignedTask : undefined
}

/** Releases what a start call reserved, also for tasks of which a report came before its answer. */
function releaseOrders (view: AgentView, { caller, orders }: Start): void {
  // With a new incarnation the reservations of the former one were dropped.
  if ((caller.heardFrom ?? '') !== view.incarnation) return
  for (const { size } of orders) releaseReservation(view, size)
}

/** Counts a call in which the agent refused tasks for lack of capacity at their job. */
function countRefusal (state: DispatcherState, start: Start, answer: StartAnswer): void {
  const position = answer.verdicts.indexOf('no-room')
  const job = state.assigned.get(start.orders[position]?.task ?? '')?.job
  if (job !== undefined) job.refusedOrders += 1
}

export function handleStartAnswer (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, start: Start, answer: StartAnswer, now: number
): void {
  releaseOrders(view, start)
  if (!applyAgentState(state, ports, view, answer, now)) return
  countRefusal(state, start, answer)
  for (const [position, { task, run }] of start.orders.entries()) {
    const assignedTask = assignmentOf(state, view, task, run)
    const verdict = answer.verdicts[position]
    if (assignedTask === undefined || verdict === undefined) continue
    handleVerdict(state, ports, view, assignedTask, verdict, now)
  }
}

/**
 * Handles a start call without an answer. If the connection was refused, the orders did not arrive and their tasks wait
 * again. Otherwise a stop is sent for them, and each assignment lasts until the agent reports its result or the leases
 * have ended.
 */
export function handleStartFailure (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, start: Start, isRefused: boolean, now: number
): void {
  releaseOrders(view, start)
  const unconfirmed: TaskOfJob[] = []
  for (const { task, run } of start.orders) {
    // Whichever incarnation answers by now, the call may have reached the one that it was sent to.
    const assignedTask = state.assigned.get(task)
    const assignment = assignedTask?.task.assignment
    if (assignedTask === undefined || assignment?.agent !== view.name || assignment.run !== run) continue
    if (isRefused) endAssignment(state, ports, assignedTask, 'agent refused the connection', now)
    else unconfirmed.push(assignedTask)
  }
  if (unconfirmed.length === 0) return
  ports.logger.warn('start got no answer', { agent: view.name, tasks: unconfirmed.length })
  // The agent gets no further work until it answers a call, which may be the stop sent here.
  view.isReachable = false
  keepLostOrders(state, ports, view, now)
  const { job } = unconfirmed[0] as TaskOfJob
  stopTasks(state, job, unconfirmed.map(({ task }) => task), now)
}

export function handleStopAnswer (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, answer: StopAnswer, now: number
): void {
  applyAgentState(state, ports, view, answer, now)
  state.stops.answered(view.name)
}

export function handleWatchFailure (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, isRefused: boolean, now: number
): void {
  if (view.isReachable) {
    const heardAgo = Math.round(now - view.lastContactAt)
    ports.logger.warn('agent does not answer', { agent: view.name, refused: isRefused, heardAgo })
    view.isReachable = false
    keepLostOrders(state, ports, view, now)
  }
}
