/** Assigns the waiting tasks of jobs to agents, and refuses or abandons jobs that can't be done in time. */
import { CRASHES_BEFORE_RUNNING_ALONE } from '@baobabpost/fleet-calls'
import type { AgentView } from './agent-view.js'
import { isCapacityArriving } from './arriving-capacity.js'
import { callerFor } from './caller.js'
import {
  LATE_PRIORITY_OFFSET, LONE_WAIT_MILLISECONDS, MAXIMUM_ATTEMPTS_PER_PASS, MAXIMUM_WAITING_LATE_JOBS,
  MINIMUM_ASSIGN_INTERVAL_MILLISECONDS, RESERVED_CAPACITY_SHARE
} from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState, PendingOrders } from './dispatcher-state.js'
import { abandonIfEvacuated, abandonIfHopeless } from './hopeless-jobs.js'
import { mayHaveRun, type Job, type JobTask } from './job.js'
import { abandonJob, answerJob } from './job-completion.js'
import {
  agentsFor, agentsForRoute, fitsNowhere, planTask, planWithinObjective, remainingMillisecondsOf, type AgentsByDistance
} from './job-plan.js'
import { findTask, jobOfTask, waitingTasks } from './job-progress.js'
import { isGivenUp, refuseForCapacity, releaseWaitingTasks } from './job-release.js'
import { createJobPlan, type JobPlan } from './plan.js'
import { assignTask } from './task-changes.js'

function sendPlan (state: DispatcherState, ports: DispatcherPorts, job: Job, plan: JobPlan, now: number): void {
  const byAgent = new Map<string, PendingOrders>()
  const remainingMilliseconds = remainingMillisecondsOf(job, now)
  for (const [task, choice] of plan.choices) {
    const { agent } = choice
    task.lastRun += 1
    assignTask(state, { job, task }, {
      agent: agent.name, incarnation: agent.incarnation, run: task.lastRun, sentAt: now, isConfirmed: false
    })
    const pending = byAgent.get(agent.name) ??
      { view: agent, orders: [], maximumWaitMilliseconds: 0, isWhole: false }
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
      estimateMilliseconds: task.step.estimateMilliseconds,
      ...state.runTimes.describeOrder(agent, task.step),
      ...(crashCount === 0 ? {} : { crashCount })
    })
    byAgent.set(agent.name, pending)
  }
  for (const pending of byAgent.values()) sendOrders(state, ports, job, pending, now)
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
    specification: job.request.specification,
    priority: job.request.priority + (job.isLate ? LATE_PRIORITY_OFFSET : 0),
    patienceMilliseconds: Math.round(maximumWaitMilliseconds),
    ...(isWhole ? { isWhole } : {}),
    ...state.runTimes.describeStart(view, job.request),
    orders
  })
}

/** Plans the tasks of a late job for which upstreams have free capacity beyond the reserved share. */
function planLateJob (
  state: DispatcherState, job: Job, due: readonly JobTask[], agents: AgentsByDistance, now: number
): JobPlan {
  const plan = createJobPlan()
  for (const task of due) {
    const agentsWithSpareCapacity = {
      ...agents,
      near: agents.near.filter(view => hasSpareCapacity(view, task)),
      far: agents.far.filter(view => hasSpareCapacity(view, task))
    }
    planTask(state, job, task, agentsWithSpareCapacity, plan, now)
  }
  return plan
}

function hasSpareCapacity (view: AgentView, task: JobTask): boolean {
  const capacity = view.profile?.capacity.processor ?? 0
  const remainingProcessor = view.load.free.processor - view.unconfirmedSize.processor - task.step.size.processor
  return remainingProcessor >= RESERVED_CAPACITY_SHARE * capacity &&
    view.load.waiting.every(processor => processor === 0)
}

/** Fails a job with a waiting task that crashes its upstreams. Returns whether it did. */
function failIfBlamed (state: DispatcherState, ports: DispatcherPorts, job: Job, now: number): boolean {
  if (state.crashes.isEmpty()) return false
  const blamed = state.crashes.blamedTasks(now).find(name =>
    jobOfTask(name) === job.request.id && findTask(job.progress, name)?.state === 'waiting')
  if (blamed === undefined) return false
  ports.logger.warn('task crashes its upstreams', {
    task: blamed, route: job.request.route, crashes: state.crashes.crashCountOf(blamed)
  })
  answerJob(state, ports, job, { kind: 'failed', task: blamed }, now)
  return true
}

/** Returns why no upstream is going to serve a job, if that is known; upstreams of a confined route crash again. */
function reasonWithoutHope (job: Job, due: readonly JobTask[], agents: AgentsByDistance): string | undefined {
  const steps = new Set(due.map(({ step }) => step))
  if ([...steps].some(step => fitsNowhere(agents, step))) return 'no upstream of its service is large enough'
  const isConfined = agents.confinement.agentsByRoute.has(job.request.route)
  if (isConfined && agents.near.length + agents.far.length === 0) return 'tasks of its route crash their upstreams'
  return undefined
}

/** Tries to send the waiting tasks of a job. Returns whether the job has no waiting tasks left. */
function assignJob (
  state: DispatcherState, ports: DispatcherPorts, job: Job, agentsOfService: AgentsByDistance, now: number
): boolean {
  const { request, progress } = job
  const agents = agentsForRoute(agentsOfService, request.route)
  const due = waitingTasks(progress).filter(task => task.notBefore <= now && state.crashes.suspicionOf(task.name, now) !== 'held')
  if (due.length === 0) return progress.waiting.size === 0
  if (job.releasedAt !== undefined && !mayHaveRun(job)) {
    refuseForCapacity(state, ports, job, due, agents, now)
    return true
  }
  if (!job.isLate) {
    const result = planWithinObjective(state, job, due, agents, now)
    if (result.isInTime) {
      sendPlan(state, ports, job, result.plan, now)
      return progress.waiting.size === 0
    }
    const decision = state.admission.decideMiss({
      choice: result.missed,
      remainingMilliseconds: remainingMillisecondsOf(job, now),
      objectiveMilliseconds: job.objectiveMilliseconds,
      waitedMilliseconds: now - request.arrivedAt,
      isCapacityArriving: isCapacityArriving(state, request.service, now),
      hasLostRun: progress.startedWaitingCount > 0
    })
    if (decision === 'wait') return false
    job.isLate = true
    const hopeless = mayHaveRun(job) ? undefined : reasonWithoutHope(job, due, agents)
    if (hopeless !== undefined) {
      abandonJob(state, ports, job, hopeless, now)
      return true
    }
    if (decision === 'release') return releaseJob(state, ports, job, due, agents, now)
    if (!mayHaveRun(job) && countWaitingLateJobs(state) > MAXIMUM_WAITING_LATE_JOBS) {
      abandonJob(state, ports, job, 'no room within its objective', now)
      return true
    }
  }
  sendPlan(state, ports, job, planLateJob(state, job, due, agents, now), now)
  const isWaiting = progress.waiting.size > 0
  if (isWaiting && isGivenUp(job, now)) {
    abandonJob(state, ports, job, 'no capacity within its objective', now)
    return true
  }
  return !isWaiting
}

/**
 * Releases the capacity of a job that can't be in time. It runs late if others leave capacity free for all of it.
 * Otherwise it is refused at once if none of its tasks has been sent; if some have, those that wait are taken back.
 *
 * @returns whether the job has no waiting tasks left.
 */
function releaseJob (
  state: DispatcherState, ports: DispatcherPorts, job: Job, due: readonly JobTask[], agents: AgentsByDistance,
  now: number
): boolean {
  if (mayHaveRun(job)) {
    releaseWaitingTasks(state, ports, job, now)
    return false
  }
  const plan = planLateJob(state, job, due, agents, now)
  if (plan.choices.size === due.length) sendPlan(state, ports, job, plan, now)
  else {
    plan.release()
    refuseForCapacity(state, ports, job, due, agents, now)
  }
  return true
}

/** Counts the late jobs with waiting tasks. */
function countWaitingLateJobs (state: DispatcherState): number {
  let count = 0
  for (const job of state.jobs.values()) {
    if (job.isLate && !job.isAnswered && job.progress.waiting.size > 0) count += 1
  }
  return count
}

/** Tries to send a new job at once, unless other jobs that can still meet their objective are waiting. */
export function assignNewJob (state: DispatcherState, ports: DispatcherPorts, job: Job, now: number): void {
  if (!hasJobInTimeWaiting(state)) {
    if (failIfBlamed(state, ports, job, now) || abandonIfHopeless(state, ports, job, now)) return
    const agents = agentsFor(state, job.request.service, now)
    if (abandonIfEvacuated(state, ports, job, agents, now) || assignJob(state, ports, job, agents, now)) return
  }
  state.waiting.add(job)
}

function hasJobInTimeWaiting ({ waiting }: DispatcherState): boolean {
  for (const { isLate, isAnswered } of waiting) if (!isLate && !isAnswered) return true
  return false
}

/** Assigns the waiting jobs unless the last pass was too recent; the next tick does it in that case. */
export function assignWaitingIfDue (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  if (now - state.lastAssignPassAt >= MINIMUM_ASSIGN_INTERVAL_MILLISECONDS) assignWaiting(state, ports, now)
}

/** Orders jobs: late ones last, otherwise by priority, then by arrival. */
function compareJobs (left: Job, right: Job): number {
  return Number(left.isLate) - Number(right.isLate) ||
    left.request.priority - right.request.priority ||
    left.place - right.place
}

/**
 * Chooses the jobs that a pass tries to send: the first ones in order, and as many of the others, each in turn, so that
 * a job which finds room is not held up behind large ones that don't.
 */
function jobsToTry (state: DispatcherState, ordered: readonly Job[]): ReadonlySet<Job> {
  if (ordered.length <= MAXIMUM_ATTEMPTS_PER_PASS) return new Set(ordered)
  const firstCount = MAXIMUM_ATTEMPTS_PER_PASS / 2
  const others = ordered.slice(firstCount)
  const tried = new Set(ordered.slice(0, firstCount))
  for (let count = 0; count < firstCount; count += 1) {
    tried.add(others[(state.nextTurn + count) % others.length] as Job)
  }
  state.nextTurn = (state.nextTurn + firstCount) % others.length
  return tried
}

/**
 * Tries to send waiting jobs, a bounded number in each pass: during a burst hundreds of jobs wait, and trying each of
 * them every few milliseconds would leave an entry no time for the answers that bring free capacity.
 */
export function assignWaiting (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  if (state.waiting.size === 0) return
  state.lastAssignPassAt = now
  const ordered = [...state.waiting].sort(compareJobs)
  state.waiting = new Set()
  const tried = jobsToTry(state, ordered)
  const agentsByService = new Map<string, AgentsByDistance>()
  const remaining: Job[] = []
  for (const job of ordered) {
    if (job.isAnswered || failIfBlamed(state, ports, job, now) || abandonIfHopeless(state, ports, job, now)) continue
    if (tried.has(job)) {
      const { service } = job.request
      const agents = agentsByService.get(service) ?? agentsFor(state, service, now)
      agentsByService.set(service, agents)
      if (abandonIfEvacuated(state, ports, job, agents, now) || assignJob(state, ports, job, agents, now)) continue
    }
    remaining.push(job)
  }
  state.waiting = new Set([...remaining, ...state.waiting])
}

/** Adds a job to the jobs with waiting tasks, if it is not among them. */
export function addWaiting (state: DispatcherState, job: Job): void {
  state.waiting.add(job)
}
