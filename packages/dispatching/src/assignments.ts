/** Sends the waiting tasks of jobs to agents, or refuses the jobs whose objective can't be met. */
import { addSizes, EMPTY_SIZE, fitsInto, type Caller } from '@baobabpost/fleet-calls'
import { isUsable, type AgentView } from './agent-view.js'
import {
  OVERDUE_FACTOR, OVERDUE_MILLISECONDS, PROBE_MILLISECONDS, RETRY_AFTER_MILLISECONDS, WAITING_SHARE
} from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState, PendingOrders } from './dispatcher-state.js'
import { findEjected } from './ejection.js'
import type { Job, JobTask } from './job.js'
import { answerJob } from './job-ends.js'
import type { PlacementChoice } from './placement.js'

/** Who calls, for a call to an agent. */
export function callerFor (state: DispatcherState, view: AgentView): Caller {
  return { entry: state.entry, incarnation: state.incarnation, heardAt: view.heardAt }
}

/** Agents of a service that work may be sent to, without those that fail far more than their peers. */
function agentsFor (state: DispatcherState, service: string, now: number): AgentView[] {
  const usable: AgentView[] = []
  for (const view of state.agents.values()) {
    if (isUsable(view) && view.profile?.service === service) usable.push(view)
  }
  const ejected = findEjected(usable)
  if (ejected.size === 0) return usable
  return usable.filter(view => !ejected.has(view.name) || now - view.probedAt >= PROBE_MILLISECONDS)
}

function mayRun (view: AgentView, task: JobTask, job: Job): boolean {
  const { profile } = view
  const { step } = task
  if (profile === undefined || !fitsInto(step.size, profile.capacity)) return false
  if (step.label !== undefined && !profile.labels.includes(step.label)) return false
  if (step.mostPerUpstream === undefined) return true
  let present = 0
  for (const other of job.tasks) {
    if (other.stepNumber === task.stepNumber && other.assignment?.agent === view.name) present += 1
  }
  return present < step.mostPerUpstream
}

/** Places all waiting tasks of a job; undefined if one of them has no place now. */
function planJob (
  state: DispatcherState, job: Job, tasks: readonly JobTask[], agents: readonly AgentView[]
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
      failureDomain: state.failureDomain
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

/** Time that is left for the objective, or for the deadline once part of the job has been offered. */
function timeLeft (job: Job, now: number): number {
  const { request } = job
  const objectiveAt = request.arrivedAt + job.objectiveMilliseconds
  return Math.min(request.deadlineAt, job.offered ? Infinity : objectiveAt) - now
}

function sendPlan (
  state: DispatcherState, ports: DispatcherPorts, job: Job, plan: ReadonlyMap<JobTask, PlacementChoice>, now: number
): void {
  const byAgent = new Map<string, PendingOrders>()
  const left = timeLeft(job, now)
  for (const [task, choice] of plan) {
    const { agent } = choice
    const expected = task.step.estimateMilliseconds * agent.room.slowness
    const patience = Math.max(0, left - expected)
    task.run += 1
    task.state = 'assigned'
    task.assignment = {
      agent: agent.name,
      incarnation: agent.incarnation,
      run: task.run,
      sentAt: now,
      overdueAt: now + choice.waitMilliseconds + OVERDUE_FACTOR * expected + OVERDUE_MILLISECONDS,
      accepted: false
    }
    state.assigned.set(task.name, { job, task })
    const pending = byAgent.get(agent.name) ?? { view: agent, orders: [], patienceMilliseconds: patience }
    pending.patienceMilliseconds = Math.min(pending.patienceMilliseconds, patience)
    pending.orders.push({
      task: task.name, run: task.run, size: task.step.size, estimateMilliseconds: task.step.estimateMilliseconds
    })
    byAgent.set(agent.name, pending)
  }
  job.offered = true
  for (const { view, orders, patienceMilliseconds } of byAgent.values()) {
    view.probedAt = now
    ports.logger.info('job sent', {
      job: job.request.id, agent: view.name, tasks: orders.length, heardAgo: Math.round(now - view.heardReceivedAt)
    })
    ports.sendStart(view, {
      caller: callerFor(state, view),
      specification: job.request.specification,
      priority: job.request.priority,
      patienceMilliseconds: Math.round(patienceMilliseconds),
      orders
    })
  }
}

/** Tries to send the waiting tasks of a job. Returns whether none waits any more. */
function assignJob (state: DispatcherState, ports: DispatcherPorts, job: Job, now: number): boolean {
  const waiting = job.tasks.filter(task => task.state === 'waiting')
  if (job.answered || waiting.length === 0) return true
  const due = waiting.filter(task => task.notBefore <= now)
  if (due.length === 0) return false
  const plan = planJob(state, job, due, agentsFor(state, job.request.service, now))
  if (plan !== undefined && longestFinish(plan) <= timeLeft(job, now)) {
    sendPlan(state, ports, job, plan, now)
    return due.length === waiting.length
  }
  if (plan !== undefined) releasePlan(plan)
  const waitedEnough = now - job.request.arrivedAt >= WAITING_SHARE * job.objectiveMilliseconds
  if (!waitedEnough) return false
  if (!job.offered) {
    const reason = plan === undefined ? 'no upstream may run it' : 'no room within its objective'
    answerJob(state, ports, job, { kind: 'refused', reason, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS }, now)
    return true
  }
  if (plan === undefined && now < job.request.deadlineAt) return false
  answerJob(state, ports, job, { kind: 'given-up', reason: 'no room before its deadline' }, now)
  return true
}

/** Goes through the jobs with waiting tasks: by priority, then by arrival. */
export function assignWaiting (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  if (state.waiting.length === 0) return
  const ordered = [...state.waiting].sort((left, right) =>
    left.request.priority - right.request.priority || left.request.arrivedAt - right.request.arrivedAt)
  state.waiting = []
  const remaining = ordered.filter(job => !assignJob(state, ports, job, now))
  state.waiting = [...remaining, ...state.waiting]
}

/** Adds a job to those with waiting tasks. */
export function addWaiting (state: DispatcherState, job: Job): void {
  if (!state.waiting.includes(job)) state.waiting.push(job)
}
