/** Assigns the waiting tasks of jobs to agents, and refuses or abandons jobs that can't be done in time. */
import { addSizes, EMPTY_SIZE, fitsInto, type CallingEntry } from '@baobabpost/fleet-calls'
import { isUsable, type AgentView } from './agent-view.js'
import {
  LATE_PRIORITY_OFFSET, MAXIMUM_WAIT_EXTRA_MILLISECONDS, MAXIMUM_WAIT_FACTOR, MAXIMUM_WAIT_SHARE,
  MAXIMUM_WAITING_LATE_JOBS, MINIMUM_ASSIGN_INTERVAL_MILLISECONDS, MINIMUM_SLACK_FACTOR, MINIMUM_SLOWNESS,
  PROBE_INTERVAL_MILLISECONDS, RESERVED_CAPACITY_SHARE, RETRY_AFTER_MILLISECONDS, SHORT_WAIT_MILLISECONDS
} from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState, PendingOrders } from './dispatcher-state.js'
import { findEjectedAgents } from './ejection.js'
import { mayHaveRun, type Job, type JobTask } from './job.js'
import { answerJob } from './job-completion.js'
import type { PlacementChoice } from './placement.js'

/** Returns the `caller` parameter of a call from this entry to an agent. */
export function callerFor (state: DispatcherState, view: AgentView): CallingEntry {
  return { entry: state.entry, incarnation: state.incarnation, heardAt: view.lastAgentClock }
}

/** Returns the usable agents of a service; ejected ones only when a probe is due. */
function agentsFor (state: DispatcherState, service: string, now: number): AgentView[] {
  const usable: AgentView[] = []
  for (const view of state.agents.values()) {
    if (isUsable(view) && view.profile?.service === service) usable.push(view)
  }
  const ejected = findEjectedAgents(usable)
  if (ejected.size === 0) return usable
  return usable.filter(view => !ejected.has(view.name) || now - view.lastSentAt >= PROBE_INTERVAL_MILLISECONDS)
}

function mayRun (view: AgentView, task: JobTask, job: Job): boolean {
  const { profile } = view
  const { step } = task
  if (profile === undefined || !fitsInto(step.size, profile.capacity)) return false
  if (step.label !== undefined && !profile.labels.includes(step.label)) return false
  if (step.maximumPerUpstream === undefined) return true
  let tasksAtAgent = 0
  for (const other of job.tasks) {
    if (other.stepNumber === task.stepNumber && other.assignment?.agent === view.name) tasksAtAgent += 1
  }
  return tasksAtAgent < step.maximumPerUpstream
}

/** Returns the time until the objective of a job, or 0 after it. */
function remainingMillisecondsOf (job: Job, now: number): number {
  return Math.max(0, job.request.arrivedAt + job.objectiveMilliseconds - now)
}

/** Agents of a service that may get work, by their distance from the entry. */
interface AgentsByDistance {
  /** Agents in the entry's failure domain. */
  readonly near: readonly AgentView[]
  readonly far: readonly AgentView[]
}

function agentsByDistance (state: DispatcherState, agents: readonly AgentView[]): AgentsByDistance {
  const near: AgentView[] = []
  const far: AgentView[] = []
  for (const view of agents) (view.profile?.failureDomain === state.failureDomain ? near : far).push(view)
  return { near, far }
}

/** Returns the agents that may run a task; those where it ended without success only if there are no others. */
function candidatesFor (agents: readonly AgentView[], task: JobTask, job: Job): readonly AgentView[] {
  const eligible = agents.filter(view => mayRun(view, task, job))
  const preferred = eligible.filter(view => !task.avoidedAgents.has(view.name))
  return preferred.length > 0 ? preferred : eligible
}

/**
 * Chooses an agent for a task: one of the entry's failure domain if the task can start there at once and end within the
 * objective, otherwise the best of all.
 */
function chooseAgent (
  state: DispatcherState,
  job: Job,
  task: JobTask,
  agents: AgentsByDistance,
  usedAgents: ReadonlySet<string>,
  now: number
): PlacementChoice | undefined {
  const { request } = job
  const remainingMilliseconds = remainingMillisecondsOf(job, now)
  const choose = (candidates: readonly AgentView[]): PlacementChoice | undefined => state.placement.choose({
    task,
    priority: request.priority,
    candidates,
    usedAgents,
    failureDomain: state.failureDomain,
    remainingMilliseconds,
    now
  })
  const near = candidatesFor(agents.near, task, job)
  const nearChoice = choose(near)
  const isInTime = nearChoice !== undefined && nearChoice.waitMilliseconds === 0 &&
    nearChoice.finishMilliseconds <= remainingMilliseconds
  if (isInTime || agents.far.length === 0) return nearChoice
  return choose([...near, ...candidatesFor(agents.far, task, job)])
}

/** Chooses an agent for each of the given tasks and reserves capacity there; undefined if one has no candidate. */
function planJob (
  state: DispatcherState, job: Job, tasks: readonly JobTask[], agents: readonly AgentView[], now: number
): Map<JobTask, PlacementChoice> | undefined {
  const plan = new Map<JobTask, PlacementChoice>()
  const usedAgents = new Set<string>()
  const byDistance = agentsByDistance(state, agents)
  for (const task of tasks) {
    const choice = chooseAgent(state, job, task, byDistance, usedAgents, now)
    if (choice === undefined) {
      releasePlan(plan)
      return undefined
    }
    plan.set(task, choice)
    usedAgents.add(choice.agent.name)
    choice.agent.unconfirmedSize = addSizes(choice.agent.unconfirmedSize, task.step.size)
  }
  return plan
}

/** Releases the reservations of a plan that is not carried out. */
function releasePlan (plan: ReadonlyMap<JobTask, PlacementChoice>): void {
  for (const [task, { agent }] of plan) releaseReservation(agent, task)
}

/** Releases the reservation of a task at an agent. */
export function releaseReservation (view: AgentView, task: JobTask): void {
  const { size } = task.step
  view.unconfirmedSize = addSizes(view.unconfirmedSize, {
    processor: -size.processor, memory: -size.memory, accelerators: -size.accelerators
  })
  if (view.unconfirmedSize.processor < 1) view.unconfirmedSize = EMPTY_SIZE
}

function longestFinishMilliseconds (plan: ReadonlyMap<JobTask, PlacementChoice>): number {
  let longest = 0
  for (const { finishMilliseconds } of plan.values()) longest = Math.max(longest, finishMilliseconds)
  return longest
}

/**
 * Returns the maximum wait of a task at its agent, in milliseconds. Where free capacity is expected it is short, and 0
 * if the job has no time for it: an agent without any then refuses soon, and another agent can be tried.
 *
 * @param remainingMilliseconds - Time until the objective of the job.
 */
function maximumWaitFor (choice: PlacementChoice, remainingMilliseconds: number): number {
  if (choice.waitMilliseconds > 0) {
    return MAXIMUM_WAIT_FACTOR * choice.waitMilliseconds + MAXIMUM_WAIT_EXTRA_MILLISECONDS
  }
  const slackMilliseconds = remainingMilliseconds - choice.finishMilliseconds
  return slackMilliseconds >= MINIMUM_SLACK_FACTOR * SHORT_WAIT_MILLISECONDS ? SHORT_WAIT_MILLISECONDS : 0
}

function sendPlan (
  state: DispatcherState, ports: DispatcherPorts, job: Job, plan: ReadonlyMap<JobTask, PlacementChoice>, now: number
): void {
  const byAgent = new Map<string, PendingOrders>()
  const remainingMilliseconds = remainingMillisecondsOf(job, now)
  for (const [task, choice] of plan) {
    const { agent } = choice
    task.lastRun += 1
    task.state = 'assigned'
    task.assignment = { agent: agent.name, incarnation: agent.incarnation, run: task.lastRun, sentAt: now }
    state.assigned.set(task.name, { job, task })
    const pending = byAgent.get(agent.name) ?? { view: agent, orders: [], maximumWaitMilliseconds: 0 }
    const maximumWait = maximumWaitFor(choice, remainingMilliseconds)
    pending.maximumWaitMilliseconds = Math.max(pending.maximumWaitMilliseconds, maximumWait)
    pending.orders.push({
      task: task.name, run: task.lastRun, size: task.step.size, estimateMilliseconds: task.step.estimateMilliseconds
    })
    byAgent.set(agent.name, pending)
  }
  for (const pending of byAgent.values()) sendOrders(state, ports, job, pending, now)
}

function sendOrders (
  state: DispatcherState, ports: DispatcherPorts, job: Job, pending: PendingOrders, now: number
): void {
  const { view, orders, maximumWaitMilliseconds } = pending
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
    specification: job.request.specification,
    priority: job.request.priority + (job.isLate ? LATE_PRIORITY_OFFSET : 0),
    patienceMilliseconds: Math.round(maximumWaitMilliseconds),
    orders
  })
}

/** Sends the tasks of a late job for which upstreams have free capacity beyond the reserved share. */
function sendLateJob (
  state: DispatcherState,
  ports: DispatcherPorts,
  job: Job,
  due: readonly JobTask[],
  agents: readonly AgentView[],
  now: number
): void {
  const plan = new Map<JobTask, PlacementChoice>()
  for (const task of due) {
    const agentsWithSpareCapacity = agents.filter(view => hasSpareCapacity(view, task))
    const taskPlan = planJob(state, job, [task], agentsWithSpareCapacity, now)
    const choice = taskPlan?.get(task)
    if (choice !== undefined) plan.set(task, choice)
  }
  if (plan.size > 0) sendPlan(state, ports, job, plan, now)
}

function hasSpareCapacity (view: AgentView, task: JobTask): boolean {
  const capacity = view.profile?.capacity.processor ?? 0
  const remainingProcessor = view.load.free.processor - view.unconfirmedSize.processor - task.step.size.processor
  return remainingProcessor >= RESERVED_CAPACITY_SHARE * capacity &&
    view.load.waiting.every(processor => processor === 0)
}

/** Shortest time in which the given tasks can be done, by their estimates. */
function minimumRemainingMilliseconds (tasks: readonly JobTask[]): number {
  let minimum = 0
  for (const { step } of tasks) minimum = Math.max(minimum, MINIMUM_SLOWNESS * step.estimateMilliseconds)
  return minimum
}

/** Gives up a job: answers `refused` if none of its tasks can have run, otherwise `given-up`. */
function abandonJob (state: DispatcherState, ports: DispatcherPorts, job: Job, reason: string, now: number): void {
  if (mayHaveRun(job)) return answerJob(state, ports, job, { kind: 'given-up', reason }, now)
  answerJob(state, ports, job, { kind: 'refused', reason, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS }, now)
}

/** Tries to send the waiting tasks of a job. Returns whether the job has no waiting tasks left. */
function assignJob (state: DispatcherState, ports: DispatcherPorts, job: Job, now: number): boolean {
  const { request } = job
  const waiting = job.tasks.filter(task => task.state === 'waiting')
  if (job.isAnswered || waiting.length === 0) return true
  if (now + minimumRemainingMilliseconds(waiting) > request.deadlineAt) {
    abandonJob(state, ports, job, 'no room before its deadline', now)
    return true
  }
  const due = waiting.filter(task => task.notBefore <= now)
  if (due.length === 0) return false
  const agents = agentsFor(state, request.service, now)
  if (!job.isLate) {
    const plan = planJob(state, job, due, agents, now)
    if (plan !== undefined && now + longestFinishMilliseconds(plan) <= request.arrivedAt + job.objectiveMilliseconds) {
      sendPlan(state, ports, job, plan, now)
      return due.length === waiting.length
    }
    if (plan !== undefined) releasePlan(plan)
    if (now - request.arrivedAt < MAXIMUM_WAIT_SHARE * job.objectiveMilliseconds) return false
    job.isLate = true
    if (!mayHaveRun(job) && countWaitingLateJobs(state) > MAXIMUM_WAITING_LATE_JOBS) {
      abandonJob(state, ports, job, 'no room within its objective', now)
      return true
    }
  }
  sendLateJob(state, ports, job, due, agents, now)
  return !job.tasks.some(task => task.state === 'waiting')
}

/** Counts the late jobs with waiting tasks. */
function countWaitingLateJobs (state: DispatcherState): number {
  let count = 0
  for (const job of state.jobs.values()) {
    if (job.isLate && !job.isAnswered && job.tasks.some(task => task.state === 'waiting')) count += 1
  }
  return count
}

/** Tries to send a new job at once, unless other jobs that can still meet their objective are waiting. */
export function assignNewJob (state: DispatcherState, ports: DispatcherPorts, job: Job, now: number): void {
  const isBehindOthers = state.waiting.some(other => !other.isLate && !other.isAnswered)
  if (isBehindOthers || !assignJob(state, ports, job, now)) state.waiting.push(job)
}

/** Assigns the waiting jobs unless the last pass was too recent; the next tick does it in that case. */
export function assignWaitingIfDue (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  if (now - state.lastAssignPassAt >= MINIMUM_ASSIGN_INTERVAL_MILLISECONDS) assignWaiting(state, ports, now)
}

/** Tries to send all waiting jobs: late ones last, otherwise by priority, then by arrival. */
export function assignWaiting (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  if (state.waiting.length === 0) return
  state.lastAssignPassAt = now
  const ordered = [...state.waiting].sort((left, right) =>
    Number(left.isLate) - Number(right.isLate) ||
    left.request.priority - right.request.priority ||
    left.request.arrivedAt - right.request.arrivedAt)
  state.waiting = []
  const remaining = ordered.filter(job => !assignJob(state, ports, job, now))
  state.waiting = [...remaining, ...state.waiting]
}

/** Adds a job to the jobs with waiting tasks, if it is not among them. */
export function addWaiting (state: DispatcherState, job: Job): void {
  if (!state.waiting.includes(job)) state.waiting.push(job)
}
