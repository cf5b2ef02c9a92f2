/** Sends the waiting tasks of jobs to agents, or refuses the jobs whose objective can't be met. */
import { addSizes, EMPTY_SIZE, fitsInto, type CallingEntry } from '@baobabpost/fleet-calls'
import { isUsable, type AgentView } from './agent-view.js'
import {
  ASSIGN_MILLISECONDS, FASTEST_SLOWNESS, LATE_PRIORITY, MAXIMUM_LATE_JOBS, PATIENCE_FACTOR, PATIENCE_MILLISECONDS,
  PROBE_MILLISECONDS, RETRY_AFTER_MILLISECONDS, SPARE_SHARE, WAITING_SHARE
} from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState, PendingOrders } from './dispatcher-state.js'
import { findEjectedAgents } from './ejection.js'
import { mayHaveRun, type Job, type JobTask } from './job.js'
import { answerJob } from './job-completion.js'
import type { PlacementChoice } from './placement.js'

/** Who calls, for a call to an agent. */
export function callerFor (state: DispatcherState, view: AgentView): CallingEntry {
  return { entry: state.entry, incarnation: state.incarnation, heardAt: view.heardAt }
}

/** Agents of a service that work may be sent to, without those that fail far more than their peers. */
function agentsFor (state: DispatcherState, service: string, now: number): AgentView[] {
  const usable: AgentView[] = []
  for (const view of state.agents.values()) {
    if (isUsable(view) && view.profile?.service === service) usable.push(view)
  }
  const ejected = findEjectedAgents(usable)
  if (ejected.size === 0) return usable
  return usable.filter(view => !ejected.has(view.name) || now - view.probedAt >= PROBE_MILLISECONDS)
}

function mayRun (view: AgentView, task: JobTask, job: Job): boolean {
  const { profile } = view
  const { step } = task
  if (profile === undefined || !fitsInto(step.size, profile.capacity)) return false
  if (step.label !== undefined && !profile.labels.includes(step.label)) return false
  if (step.maximumPerUpstream === undefined) return true
  let present = 0
  for (const other of job.tasks) {
    if (other.stepNumber === task.stepNumber && other.assignment?.agent === view.name) present += 1
  }
  return present < step.maximumPerUpstream
}

/** Places all waiting tasks of a job; undefined if one of them has no place now. */
function planJob (
  state: DispatcherState, job: Job, tasks: readonly JobTask[], agents: readonly AgentView[], now: number
): Map<JobTask, PlacementChoice> | undefined {
  const plan = new Map<JobTask, PlacementChoice>()
  const used = new Set<string>()
  for (const task of tasks) {
    const able = agents.filter(view => mayRun(view, task, job))
    const fresh = able.filter(view => !task.avoid.has(view.name))
    const choice = state.placement.choose({
      task,
      priority: job.request.priority,
      candidates: fresh.length > 0 ? fresh : able,
      used,
      failureDomain: state.failureDomain,
      now
    })
    if (choice === undefined) {
      releasePlan(plan)
      return undefined
    }
    plan.set(task, choice)
    used.add(choice.agent.name)
    choice.agent.unanswered = addSizes(choice.agent.unanswered, task.step.size)
  }
  return plan
}

/** Takes back what a plan that is not carried out has reserved. */
function releasePlan (plan: ReadonlyMap<JobTask, PlacementChoice>): void {
  for (const [task, { agent }] of plan) releaseSize(agent, task)
}

/** Takes back the reservation of a task at an agent. */
export function releaseSize (view: AgentView, task: JobTask): void {
  const { size } = task.step
  view.unanswered = addSizes(view.unanswered, {
    processor: -size.processor, memory: -size.memory, accelerators: -size.accelerators
  })
  if (view.unanswered.processor < 1) view.unanswered = EMPTY_SIZE
}

function longestFinish (plan: ReadonlyMap<JobTask, PlacementChoice>): number {
  let longest = 0
  for (const { finishMilliseconds } of plan.values()) longest = Math.max(longest, finishMilliseconds)
  return longest
}

/** Time for which a task may wait at the agent: none where room is expected, so that another one is tried at once. */
function patienceFor (choice: PlacementChoice): number {
  return choice.waitMilliseconds === 0 ? 0 : PATIENCE_FACTOR * choice.waitMilliseconds + PATIENCE_MILLISECONDS
}

function sendPlan (
  state: DispatcherState, ports: DispatcherPorts, job: Job, plan: ReadonlyMap<JobTask, PlacementChoice>, now: number
): void {
  const byAgent = new Map<string, PendingOrders>()
  for (const [task, choice] of plan) {
    const { agent } = choice
    task.run += 1
    task.state = 'assigned'
    task.assignment = { agent: agent.name, incarnation: agent.incarnation, run: task.run, sentAt: now }
    state.assigned.set(task.name, { job, task })
    const pending = byAgent.get(agent.name) ?? { view: agent, orders: [], patienceMilliseconds: 0 }
    pending.patienceMilliseconds = Math.max(pending.patienceMilliseconds, patienceFor(choice))
    pending.orders.push({
      task: task.name, run: task.run, size: task.step.size, estimateMilliseconds: task.step.estimateMilliseconds
    })
    byAgent.set(agent.name, pending)
  }
  for (const pending of byAgent.values()) sendOrders(state, ports, job, pending, now)
}

function sendOrders (
  state: DispatcherState, ports: DispatcherPorts, job: Job, pending: PendingOrders, now: number
): void {
  const { view, orders, patienceMilliseconds } = pending
  view.probedAt = now
  ports.logger.info('job sent', {
    job: job.request.id,
    agent: view.name,
    tasks: orders.length,
    patience: Math.round(patienceMilliseconds),
    late: job.late,
    heardAgo: Math.round(now - view.heardReceivedAt)
  })
  ports.sendStart(view, {
    caller: callerFor(state, view),
    specification: job.request.specification,
    priority: job.request.priority + (job.late ? LATE_PRIORITY : 0),
    patienceMilliseconds: Math.round(patienceMilliseconds),
    orders
  })
}

/** Sends the tasks of a job that can only be late, as far as upstreams have room to spare. */
function sendLate (
  state: DispatcherState,
  ports: DispatcherPorts,
  job: Job,
  due: readonly JobTask[],
  agents: readonly AgentView[],
  now: number
): void {
  const plan = new Map<JobTask, PlacementChoice>()
  for (const task of due) {
    const spare = agents.filter(view => hasRoomToSpare(view, task))
    const one = planJob(state, job, [task], spare, now)
    const choice = one?.get(task)
    if (choice !== undefined) plan.set(task, choice)
  }
  if (plan.size > 0) sendPlan(state, ports, job, plan, now)
}

function hasRoomToSpare (view: AgentView, task: JobTask): boolean {
  const capacity = view.profile?.capacity.processor ?? 0
  const left = view.room.free.processor - view.unanswered.processor - task.step.size.processor
  return left >= SPARE_SHARE * capacity && view.room.waiting.every(processor => processor === 0)
}

/** Least time that the waiting tasks of a job still need, by their estimates. */
function leastTime (tasks: readonly JobTask[]): number {
  let least = 0
  for (const { step } of tasks) least = Math.max(least, FASTEST_SLOWNESS * step.estimateMilliseconds)
  return least
}

/** Answers a job that will not be done: refused if nothing of it can have run. */
function giveUp (state: DispatcherState, ports: DispatcherPorts, job: Job, reason: string, now: number): void {
  if (mayHaveRun(job)) return answerJob(state, ports, job, { kind: 'given-up', reason }, now)
  answerJob(state, ports, job, { kind: 'refused', reason, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS }, now)
}

/** Tries to send the waiting tasks of a job. Returns whether none waits any more. */
function assignJob (state: DispatcherState, ports: DispatcherPorts, job: Job, now: number): boolean {
  const { request } = job
  const waiting = job.tasks.filter(task => task.state === 'waiting')
  if (job.answered || waiting.length === 0) return true
  if (now + leastTime(waiting) > request.deadlineAt) {
    giveUp(state, ports, job, 'no room before its deadline', now)
    return true
  }
  const due = waiting.filter(task => task.notBefore <= now)
  if (due.length === 0) return false
  const agents = agentsFor(state, request.service, now)
  if (!job.late) {
    const plan = planJob(state, job, due, agents, now)
    if (plan !== undefined && now + longestFinish(plan) <= request.arrivedAt + job.objectiveMilliseconds) {
      sendPlan(state, ports, job, plan, now)
      return due.length === waiting.length
    }
    if (plan !== undefined) releasePlan(plan)
    if (now - request.arrivedAt < WAITING_SHARE * job.objectiveMilliseconds) return false
    job.late = true
    if (!mayHaveRun(job) && countLate(state) > MAXIMUM_LATE_JOBS) {
      giveUp(state, ports, job, 'no room within its objective', now)
      return true
    }
  }
  sendLate(state, ports, job, due, agents, now)
  return !job.tasks.some(task => task.state === 'waiting')
}

/** Jobs that wait here and can only be late. */
function countLate (state: DispatcherState): number {
  let late = 0
  for (const job of state.jobs.values()) {
    if (job.late && !job.answered && job.tasks.some(task => task.state === 'waiting')) late += 1
  }
  return late
}

/** Tries to send a job that has just arrived, unless jobs that can still be in time wait before it. */
export function assignArrival (state: DispatcherState, ports: DispatcherPorts, job: Job, now: number): void {
  const behindOthers = state.waiting.some(other => !other.late && !other.answered)
  if (behindOthers || !assignJob(state, ports, job, now)) state.waiting.push(job)
}

/** Goes through the jobs with waiting tasks, if that was not done just now; the next tick does it else. */
export function assignSoon (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  if (now - state.assignedAt >= ASSIGN_MILLISECONDS) assignWaiting(state, ports, now)
}

/** Goes through the jobs with waiting tasks: by priority, then by arrival. */
export function assignWaiting (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  if (state.waiting.length === 0) return
  state.assignedAt = now
  const ordered = [...state.waiting].sort((left, right) =>
    Number(left.late) - Number(right.late) ||
    left.request.priority - right.request.priority ||
    left.request.arrivedAt - right.request.arrivedAt)
  state.waiting = []
  const remaining = ordered.filter(job => !assignJob(state, ports, job, now))
  state.waiting = [...remaining, ...state.waiting]
}

/** Adds a job to those with waiting tasks. */
export function addWaiting (state: DispatcherState, job: Job): void {
  if (!state.waiting.includes(job)) state.waiting.push(job)
}
