/** Assigns the waiting tasks of jobs to agents, and refuses or abandons jobs that can't be done in time. */
import { isAnyUpstreamUnknown, isCapacityArriving } from './arriving-capacity.js'
import {
  MAXIMUM_ATTEMPTS_PER_PASS, MAXIMUM_WAITING_LATE_JOBS, MINIMUM_ASSIGN_INTERVAL_MILLISECONDS
} from './dispatch-limits.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import { abandonIfEvacuated, abandonIfHopeless } from './hopeless-jobs.js'
import { mayHaveRun, type Job, type JobTask } from './job.js'
import { abandonJob, answerJob } from './job-completion.js'
import { agentsFor, agentsForRoute, findCommonMismatch, remainingMillisecondsOf, type AgentsByDistance } from './job-plan.js'
import { planLateJob } from './late-plan.js'
import { findTask, jobOfTask, waitingTasks } from './job-progress.js'
import { isGivenUp, refuseForCapacity, releaseWaitingTasks } from './job-release.js'
import { keepPlan, planWithinObjective } from './objective-plan.js'
import { createPlanBudget, type PlanBudget } from './plan-budget.js'
import type { JobPlan } from './plan.js'
import { sendPlan } from './send-plan.js'

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

/** Returns what all known upstreams lack for a job; undefined if that is not so, or a task of it may have run. */
function reasonUnsuited (job: Job, due: readonly JobTask[], agents: AgentsByDistance): string | undefined {
  if (mayHaveRun(job)) return undefined
  for (const step of new Set(due.map(({ step }) => step))) {
    const mismatch = findCommonMismatch(agents, step)
    if (mismatch === 'label') return 'no upstream of its service has the required label'
    if (mismatch !== undefined) return 'no upstream of its service is large enough'
  }
  return undefined
}

/**
 * Abandons a job that no known upstream suits, none of whose tasks has been sent, unless the properties of an upstream
 * are not known yet. Returns whether it did.
 */
function abandonIfUnsuited (
  state: DispatcherState, ports: DispatcherPorts, job: Job, due: readonly JobTask[], agents: AgentsByDistance,
  now: number
): boolean {
  const reason = reasonUnsuited(job, due, agents)
  if (reason === undefined || isAnyUpstreamUnknown(state, now)) return false
  abandonJob(state, ports, job, reason, now)
  return true
}

/** Returns why no upstream is going to serve a job, if that is known; upstreams of a confined route crash again. */
function reasonWithoutHope (job: Job, agents: AgentsByDistance): string | undefined {
  const isConfined = agents.confinement.agentsByRoute.has(job.request.route)
  if (isConfined && agents.near.length + agents.far.length === 0) return 'tasks of its route crash their upstreams'
  return undefined
}

/** Returns the waiting tasks of a job that may be sent now. */
function dueTasks (state: DispatcherState, { progress }: Job, now: number): JobTask[] {
  const isAnySuspected = !state.crashes.isEmpty()
  return waitingTasks(progress).filter(({ name, notBefore }) =>
    notBefore <= now && !(isAnySuspected && state.crashes.suspicionOf(name, now) === 'held'))
}

/** Tries to send the waiting tasks of a job. Returns whether the job has no waiting tasks left. */
function assignJob (
  state: DispatcherState, ports: DispatcherPorts, job: Job, agentsOfService: AgentsByDistance, budget: PlanBudget,
  now: number
): boolean {
  const agents = agentsForRoute(agentsOfService, job.request.route)
  const due = dueTasks(state, job, now)
  if (due.length === 0) return job.progress.waiting.size === 0
  if (job.releasedAt !== undefined && !mayHaveRun(job)) {
    refuseForCapacity(state, ports, job, due, agents, now)
    return true
  }
  return job.isLate
    ? assignLateJob(state, ports, job, due, agents, budget, now)
    : assignWithinObjective(state, ports, job, due, agents, budget, now)
}

/** Tries to send the due tasks of a job so that it is in time, and decides what becomes of one that can't be. */
function assignWithinObjective (
  state: DispatcherState, ports: DispatcherPorts, job: Job, due: readonly JobTask[], agents: AgentsByDistance,
  budget: PlanBudget, now: number
): boolean {
  const { request, progress } = job
  const result = planWithinObjective(state, job, due, agents, budget, now)
  if (result.kind === 'unfinished') {
    state.isPassUnfinished = true
    return false
  }
  if (result.kind === 'in-time') {
    sendPlan(state, ports, job, result.plan, now)
    if (result.plan.choices.size === 0) return progress.waiting.size === 0
    keepPlan(state, job, result.plan)
    state.isPassUnfinished = true
    return false
  }
  if (abandonIfUnsuited(state, ports, job, due, agents, now)) return true
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
  const hopeless = reasonUnsuited(job, due, agents) ?? (mayHaveRun(job) ? undefined : reasonWithoutHope(job, agents))
  if (hopeless !== undefined) {
    abandonJob(state, ports, job, hopeless, now)
    return true
  }
  if (decision === 'release') return releaseJob(state, ports, job, due, agents, budget, now)
  if (!mayHaveRun(job) && countWaitingLateJobs(state) > MAXIMUM_WAITING_LATE_JOBS) {
    abandonJob(state, ports, job, 'no room within its objective', now)
    return true
  }
  return assignLateJob(state, ports, job, due, agents, budget, now)
}

/** Sends the due tasks of a late job for which others leave capacity. */
function assignLateJob (
  state: DispatcherState, ports: DispatcherPorts, job: Job, due: readonly JobTask[], agents: AgentsByDistance,
  budget: PlanBudget, now: number
): boolean {
  if (abandonIfUnsuited(state, ports, job, due, agents, now)) return true
  const { plan, triedCount } = planLateJob(state, job, due, agents, budget, now)
  const hasRoom = plan.choices.size > 0
  sendLatePlan(state, ports, job, plan, now)
  state.isPassUnfinished ||= triedCount < due.length && hasRoom
  const isWaiting = job.progress.waiting.size > 0
  if (isWaiting && isGivenUp(job, now)) {
    abandonJob(state, ports, job, 'no capacity within its objective', now)
    return true
  }
  return !isWaiting
}

/** Sends the tasks of a plan of a late job; those that are left are planned anew in the next pass. */
function sendLatePlan (
  state: DispatcherState, ports: DispatcherPorts, job: Job, plan: JobPlan, now: number
): void {
  sendPlan(state, ports, job, plan, now)
  if (plan.choices.size === 0) return
  plan.release()
  state.isPassUnfinished = true
}

/**
 * Releases the capacity of a job that can't be in time. It runs late if others leave capacity free for all of it.
 * Otherwise it is refused at once if none of its tasks has been sent; if some have, those that wait are taken back.
 *
 * @returns whether the job has no waiting tasks left.
 */
function releaseJob (
  state: DispatcherState, ports: DispatcherPorts, job: Job, due: readonly JobTask[], agents: AgentsByDistance,
  budget: PlanBudget, now: number
): boolean {
  if (mayHaveRun(job)) {
    releaseWaitingTasks(state, ports, job, now)
    return false
  }
  const { plan, triedCount } = planLateJob(state, job, due, agents, budget, now)
  if (plan.choices.size === triedCount) {
    sendLatePlan(state, ports, job, plan, now)
    state.isPassUnfinished ||= triedCount < due.length
    return job.progress.waiting.size === 0
  }
  plan.release()
  refuseForCapacity(state, ports, job, due, agents, now)
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
    if (abandonIfEvacuated(state, ports, job, agents, now)) return
    if (assignJob(state, ports, job, agents, createPlanBudget(1, agents), now)) return
    if (state.isPassUnfinished) ports.requestPass?.()
  }
  state.waiting.add(job)
}

function hasJobInTimeWaiting ({ waiting }: DispatcherState): boolean {
  for (const { isLate, isAnswered } of waiting) if (!isLate && !isAnswered) return true
  return false
}

/**
 * Assigns the waiting jobs unless the last pass was too recent and left nothing undone; the next tick does it in that
 * case.
 */
export function assignWaitingIfDue (state: DispatcherState, ports: DispatcherPorts, now: number): void {
  const isDue = state.isPassUnfinished || now - state.lastAssignPassAt >= MINIMUM_ASSIGN_INTERVAL_MILLISECONDS
  if (isDue) assignWaiting(state, ports, now)
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
  state.isPassUnfinished = false
  const tried = jobsToTry(state, ordered)
  const agentsByService = new Map<string, AgentsByDistance>()
  const remaining: Job[] = []
  for (const job of ordered) {
    if (job.isAnswered || failIfBlamed(state, ports, job, now) || abandonIfHopeless(state, ports, job, now)) continue
    if (tried.has(job)) {
      const { service } = job.request
      const agents = agentsByService.get(service) ?? agentsFor(state, service, now)
      agentsByService.set(service, agents)
      const budget = createPlanBudget(tried.size, agents)
      if (abandonIfEvacuated(state, ports, job, agents, now)) continue
      if (assignJob(state, ports, job, agents, budget, now)) continue
    }
    remaining.push(job)
  }
  state.waiting = new Set([...remaining, ...state.waiting])
  if (state.isPassUnfinished) ports.requestPass?.()
}

/** Adds a job to the jobs with waiting tasks, if it is not among them. */
export function addWaiting (state: DispatcherState, job: Job): void {
  state.waiting.add(job)
}
