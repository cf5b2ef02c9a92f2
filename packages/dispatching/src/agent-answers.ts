/** What agents say: reports of ends, verdicts on starts, and their silence. */
import {
  EMPTY_SIZE, ENTRY_LEASE_MILLISECONDS, LEASE_MARGIN_MILLISECONDS, RUN_LEASE_BOUND_MILLISECONDS,
  type RunReport, type Start, type StartAnswer, type StopAnswer, type Verdict, type WatchAnswer
} from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import { addWaiting, releaseSize } from './assignments.js'
import { BUSY_PAUSE_MILLISECONDS } from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState, TaskOfJob } from './dispatcher-state.js'
import type { Job, JobTask } from './job.js'
import { answerJob, settleJob, stopTasks } from './job-completion.js'

/** Takes in the head of an answer; one that was overtaken by a later one changes nothing. */
function takeHead (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, answer: StopAnswer, now: number
): void {
  if (view.incarnation !== answer.incarnation) {
    ports.logger.info('agent found', { agent: view.name, incarnation: answer.incarnation })
    view.incarnation = answer.incarnation
    view.incarnationSince = now
    view.hasFormerRuns = true
    view.acknowledged = 0
    view.heardAt = 0
    view.profile = undefined
    view.unanswered = EMPTY_SIZE
  }
  if (answer.cleared) loseFormerRuns(state, ports, view, now)
  view.refusedSince = undefined
  view.reachable = true
  if (answer.clock < view.heardAt) return
  view.heardAt = answer.clock
  view.heardReceivedAt = now
  view.room = answer.room
  if (answer.profile !== undefined) view.profile = answer.profile
}

/** Ends all runs that earlier incarnations of an agent had. */
function loseFormerRuns (state: DispatcherState, ports: DispatcherPorts, view: AgentView, now: number): void {
  if (!view.hasFormerRuns) return
  view.hasFormerRuns = false
  for (const entry of [...state.assigned.values()]) {
    const { assignment } = entry.task
    if (assignment?.agent !== view.name || assignment.incarnation === view.incarnation) continue
    entry.task.ran = true
    endAssignment(state, ports, entry, 'agent restarted', now)
  }
}

/** Ends all runs of an agent. */
function loseRuns (state: DispatcherState, ports: DispatcherPorts, view: AgentView, now: number): void {
  for (const entry of [...state.assigned.values()]) {
    if (entry.task.assignment?.agent !== view.name) continue
    entry.task.ran = true
    endAssignment(state, ports, entry, 'agent silent', now)
  }
}

/** The run of a task has surely ended without being done: the task waits again, or its job is settled. */
function endAssignment (
  state: DispatcherState, ports: DispatcherPorts, { job, task }: TaskOfJob, reason: string, now: number
): void {
  state.assigned.delete(task.name)
  if (task.assignment !== undefined) task.avoid.add(task.assignment.agent)
  task.assignment = undefined
  if (job.answered) {
    task.state = 'done'
    return settleJob(state, job)
  }
  task.state = 'waiting'
  ports.logger.info('task waits again', { task: task.name, run: task.run, reason, left: Math.round(job.request.deadlineAt - now) })
  addWaiting(state, job)
}

function unblock (state: DispatcherState, job: Job): void {
  let released = false
  for (const task of job.tasks) {
    if (task.state !== 'blocked') continue
    const open = task.step.dependsOn.some(number =>
      job.tasks.some(other => other.stepNumber === number && other.state !== 'done'))
    if (open) continue
    task.state = 'waiting'
    released = true
  }
  if (released) addWaiting(state, job)
}

function takeDone (state: DispatcherState, ports: DispatcherPorts, { job, task }: TaskOfJob, now: number): void {
  state.assigned.delete(task.name)
  task.assignment = undefined
  task.state = 'done'
  task.ran = true
  if (job.answered) return settleJob(state, job)
  if (job.tasks.every(other => other.state === 'done')) {
    return answerJob(state, ports, job, { kind: 'completed' }, now)
  }
  unblock(state, job)
}

function takeFailed (
  state: DispatcherState, ports: DispatcherPorts, entry: TaskOfJob, reason: string, now: number
): void {
  const { job, task } = entry
  task.ran = true
  task.failures += 1
  if (job.answered || task.failures < job.request.maximumAttempts) {
    return endAssignment(state, ports, entry, `failed ${reason}`, now)
  }
  state.assigned.delete(task.name)
  task.assignment = undefined
  task.state = 'done'
  answerJob(state, ports, job, { kind: 'failed', task: task.name }, now)
}

function takeReport (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, report: RunReport, now: number
): void {
  const entry = state.assigned.get(report.task)
  const assignment = entry?.task.assignment
  if (entry === undefined || assignment?.agent !== view.name || assignment.run !== report.run) return
  switch (report.outcome) {
    case 'done':
      return takeDone(state, ports, entry, now)
    case 'failed':
      return takeFailed(state, ports, entry, report.reason, now)
    case 'stopped':
    case 'lapsed':
    case 'lost':
      entry.task.ran = true
      return endAssignment(state, ports, entry, `${report.outcome} ${report.reason}`, now)
    case 'superseded':
      entry.task.ran = true
      endAssignment(state, ports, entry, report.outcome, now)
      return answerJob(state, ports, entry.job, { kind: 'given-up', reason: 'another entry has the job' }, now)
    case 'not-started':
      return endAssignment(state, ports, entry, `${report.outcome} ${report.reason}`, now)
  }
}

/** Takes in the answer to a watch. */
export function takeWatchAnswer (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, answer: WatchAnswer, now: number
): void {
  takeHead(state, ports, view, answer, now)
  for (const report of answer.reports) {
    if (report.sequence <= view.acknowledged) continue
    view.acknowledged = report.sequence
    takeReport(state, ports, view, report, now)
  }
}

function takeVerdict (
  state: DispatcherState, ports: DispatcherPorts, entry: TaskOfJob, verdict: Verdict, now: number
): void {
  const { task } = entry
  switch (verdict) {
    case 'accepted':
      return
    case 'stale':
    case 'not-accepting':
    case 'no-room':
    case 'stopped':
      endAssignment(state, ports, entry, verdict, now)
      if (verdict === 'stale') task.avoid.clear()
      return
    case 'busy':
      task.notBefore = now + BUSY_PAUSE_MILLISECONDS
      return endAssignment(state, ports, entry, verdict, now)
  }
}

/** The assignment that an order stands for, if it is still the present one. */
function assignmentOf (
  state: DispatcherState, view: AgentView, task: string, run: number
): TaskOfJob | undefined {
  const entry = state.assigned.get(task)
  const assignment = entry?.task.assignment
  return assignment?.agent === view.name && assignment.run === run ? entry : undefined
}

function releaseOrders (state: DispatcherState, view: AgentView, start: Start): void {
  for (const { task, run } of start.orders) {
    const entry = assignmentOf(state, view, task, run)
    if (entry !== undefined) releaseSize(view, entry.task)
  }
}

/** Takes in the answer to a start. */
export function takeStartAnswer (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, start: Start, answer: StartAnswer, now: number
): void {
  releaseOrders(state, view, start)
  takeHead(state, ports, view, answer, now)
  for (const [position, { task, run }] of start.orders.entries()) {
    const entry = assignmentOf(state, view, task, run)
    const verdict = answer.verdicts[position]
    if (entry !== undefined && verdict !== undefined) takeVerdict(state, ports, entry, verdict, now)
  }
}

/**
 * Takes in that a start was not answered. One that was refused surely did not arrive. Otherwise the order is taken
 * back: either the agent reports its end, or the entry's lease there ends.
 */
export function takeStartFailure (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, start: Start, refused: boolean, now: number
): void {
  releaseOrders(state, view, start)
  const unsure: JobTask[] = []
  for (const { task, run } of start.orders) {
    const entry = assignmentOf(state, view, task, run)
    if (entry === undefined) continue
    if (refused) endAssignment(state, ports, entry, 'agent refused the connection', now)
    else unsure.push(entry.task)
  }
  if (unsure.length === 0) return
  ports.logger.warn('start got no answer', { agent: view.name, tasks: unsure.length })
  // Nothing more goes there before it answers something, be it the stop that follows.
  view.reachable = false
  stopTasks(state, ports, unsure)
}

/** Takes in the answer to a stop. */
export function takeStopAnswer (
  state: DispatcherState, ports: DispatcherPorts, view: AgentView, answer: StopAnswer, now: number
): void {
  takeHead(state, ports, view, answer, now)
}

/** Takes in that a watch was not answered. */
export function takeWatchFailure (ports: DispatcherPorts, view: AgentView, refused: boolean, now: number): void {
  if (view.reachable) ports.logger.warn('agent does not answer', { agent: view.name, refused, heardAgo: Math.round(now - view.heardReceivedAt) })
  view.reachable = false
  if (!refused) view.refusedSince = undefined
  else view.refusedSince ??= now
}

/** Time from which on nothing that a silent agent started can run any more. */
export function certainEnd (view: AgentView): number {
  const afterSilence = view.heardReceivedAt + ENTRY_LEASE_MILLISECONDS + RUN_LEASE_BOUND_MILLISECONDS
  const afterDeath = view.refusedSince === undefined ? Infinity : view.refusedSince + RUN_LEASE_BOUND_MILLISECONDS
  return Math.min(afterSilence, afterDeath) + 2 * LEASE_MARGIN_MILLISECONDS
}

/** Ends what ran at agents that have been silent for longer than every lease. */
export function endSilent (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  for (const view of state.agents.values()) {
    const formerEnd = view.incarnationSince + RUN_LEASE_BOUND_MILLISECONDS + LEASE_MARGIN_MILLISECONDS
    if (now >= formerEnd) loseFormerRuns(state, ports, view, now)
    if (view.reachable || view.incarnation === '' || now < certainEnd(view)) continue
    loseRuns(state, ports, view, now)
  }
}
