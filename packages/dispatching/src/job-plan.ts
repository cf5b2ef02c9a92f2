/** Plans which agents get the tasks of a job: an agent and the expected times for each task. */
import { findMismatch, type Mismatch } from '@baobabpost/fleet-calls'
import { isUsable, type AgentView } from './agent-view.js'
import type { Confinement } from './confinement.js'
import { PROBE_INTERVAL_MILLISECONDS } from './dispatch-limits.js'
import type { DispatcherState } from './dispatcher-state.js'
import { findShares, hasCredit, PROBE_SHARE } from './ejection.js'
import type { Job, JobStep, JobTask } from './job.js'
import type { JobPlan } from './plan.js'
import type { PlacementChoice } from './placement.js'

/** Share of its objective that a job has left if it has slack for a probe. */
const PROBE_REMAINING_SHARE = 0.9

/** Agents of a service that may get work, by their distance from the entry. */
export interface AgentsByDistance {
  /** Agents in the entry's failure domain. */
  readonly near: readonly AgentView[]
  readonly far: readonly AgentView[]
  /** All agents of the service that are not evacuated, whether they are usable or not. */
  readonly known: readonly AgentView[]
  /** Shares below 1 of the work that agents among them get, by name; with hardly any, one task at a time as a probe. */
  readonly shares: ReadonlyMap<string, number>
  /** Whether the service has upstreams, and all of them are in evacuated failure domains. */
  readonly areAllEvacuated: boolean
  readonly confinement: Confinement
}

/** Whether the failure domain of an agent's upstream is evacuated. */
export function isEvacuated (state: DispatcherState, { profile }: AgentView): boolean {
  return profile !== undefined && state.evacuations?.isEvacuated(profile.failureDomain) === true
}

/** Returns the usable agents of a service. */
export function agentsFor (state: DispatcherState, service: string, now: number): AgentsByDistance {
  const usable: AgentView[] = []
  const known: AgentView[] = []
  let evacuatedCount = 0
  for (const view of state.agents.values()) {
    if (view.profile?.service !== service) continue
    if (isEvacuated(state, view)) {
      evacuatedCount += 1
      continue
    }
    known.push(view)
    if (isUsable(view)) usable.push(view)
  }
  const shares = findShares(usable, now)
  const near: AgentView[] = []
  const far: AgentView[] = []
  for (const view of usable) {
    if (view.profile?.failureDomain === state.failureDomain) near.push(view)
    else far.push(view)
  }
  const areAllEvacuated = evacuatedCount > 0 && known.length === 0
  const confinement = state.confinements.of(service, known, now)
  return { near, far, known, shares, areAllEvacuated, confinement }
}

function filterAgents (agents: AgentsByDistance, isWanted: (view: AgentView) => boolean): AgentsByDistance {
  return { ...agents, near: agents.near.filter(isWanted), far: agents.far.filter(isWanted) }
}

/** Returns the agents that jobs of a route may use. */
export function agentsForRoute (agents: AgentsByDistance, route: string): AgentsByDistance {
  const confinedTo = agents.confinement.agentsByRoute.get(route)
  return confinedTo === undefined ? agents : filterAgents(agents, ({ name }) => confinedTo.has(name))
}

function suits ({ profile }: AgentView, { size, label }: JobStep): boolean {
  return profile !== undefined && findMismatch(profile, { service: profile.service, label, size }) === undefined
}

/**
 * Returns what all known upstreams of the service lack for a task of a step: for `capacity`, some have the label;
 * undefined if any suits it, or none is known.
 */
export function findCommonMismatch ({ known }: AgentsByDistance, step: JobStep): Mismatch | undefined {
  if (known.length === 0 || known.some(view => suits(view, step))) return undefined
  const { label } = step
  const isLabelled = label === undefined || known.some(({ profile }) => profile?.labels.includes(label) === true)
  return isLabelled ? 'capacity' : 'label'
}

function mayRun (view: AgentView, task: JobTask, job: Job, plan: JobPlan): boolean {
  const { step } = task
  if (!suits(view, step)) return false
  if (step.maximumPerUpstream === undefined) return true
  const assignedCount = job.progress.steps[task.stepNumber]?.assignedByAgent.get(view.name) ?? 0
  return assignedCount + plan.countAt(view.name, task.stepNumber) < step.maximumPerUpstream
}

/** Returns the time until the objective of a job, or 0 after it. */
export function remainingMillisecondsOf (job: Job, now: number): number {
  return Math.max(0, job.request.arrivedAt + job.objectiveMilliseconds - now)
}

/**
 * Whether an agent with hardly any share may get a task as a probe: none was sent or planned there within the interval
 * of probes, and the job has slack: it is late in any case, or has used little of its objective and no attempt.
 */
function isProbeDue (view: AgentView, task: JobTask, job: Job, plan: JobPlan, now: number): boolean {
  const hasSlack = job.isLate ||
    (task.failures === 0 && remainingMillisecondsOf(job, now) >= PROBE_REMAINING_SHARE * job.objectiveMilliseconds)
  if (!hasSlack) return false
  if (now - view.lastSentAt < PROBE_INTERVAL_MILLISECONDS) return false
  return !plan.usedAgents.has(view.name)
}

/** Returns the agents that may run a task; those where it ended without success only if there are no others. */
function candidatesFor (
  agents: readonly AgentView[],
  shares: ReadonlyMap<string, number>,
  task: JobTask,
  job: Job,
  plan: JobPlan,
  now: number
): readonly AgentView[] {
  const { heldBy } = task
  const eligible = agents.filter(view => {
    if (heldBy !== undefined && now < heldBy.until && view.name !== heldBy.agent) return false
    if (!mayRun(view, task, job, plan)) return false
    const share = shares.get(view.name)
    if (share === undefined) return true
    return share <= PROBE_SHARE ? isProbeDue(view, task, job, plan, now) : hasCredit(view, share)
  })
  const preferred = eligible.filter(view => !task.avoidedAgents.has(view.name))
  return preferred.length > 0 ? preferred : eligible
}

function isIdle ({ load, unconfirmedSize }: AgentView): boolean {
  return load.releaseRate === 0 && unconfirmedSize.processor === 0 && load.waiting.every(processor => processor === 0)
}

/**
 * Narrows the agents for a task under which upstreams have crashed, if some are left: one that must run alone gets an
 * idle upstream, and candidates of one crash are spread, so that the next crash tells them apart.
 */
function narrowForSuspect (
  state: DispatcherState, task: JobTask, agents: AgentsByDistance, plan: JobPlan, now: number
): AgentsByDistance {
  const suspicion = state.crashes.isEmpty() ? 'clear' : state.crashes.suspicionOf(task.name, now)
  if (suspicion === 'clear') return agents
  const narrowed = filterAgents(agents, view =>
    suspicion === 'lone' ? isIdle(view) : !plan.hasSuspectAt(view.name) && !state.suspects.has(view.name))
  return narrowed.near.length + narrowed.far.length > 0 ? narrowed : agents
}

/** Returns the agents that may get a task of which earlier orders may yet be carried out. */
function withoutOpenOrdersElsewhere (
  state: DispatcherState, task: JobTask, agents: AgentsByDistance, now: number
): AgentsByDistance {
  if (!state.openOrders.has(task.name)) return agents
  return filterAgents(agents, ({ name }) => !state.openOrders.isOpenElsewhere(task.name, name, now))
}

/**
 * Chooses an agent for a task. Upstreams that a confined route of the service may crash are chosen only if no other
 * is in time.
 */
function chooseAgent (
  state: DispatcherState, job: Job, task: JobTask, agents: AgentsByDistance, plan: JobPlan, now: number
): PlacementChoice | undefined {
  const allowed = narrowForSuspect(state, task, withoutOpenOrdersElsewhere(state, task, agents, now), plan, now)
  const { atRisk, agentsByRoute } = agents.confinement
  const choose = (from: AgentsByDistance): PlacementChoice | undefined =>
    chooseByDistance(state, job, task, from, plan, now)
  if (atRisk.size === 0 || agentsByRoute.has(job.request.route)) return choose(allowed)
  const choice = choose(filterAgents(allowed, ({ name }) => !atRisk.has(name)))
  const isInTime = choice !== undefined && choice.waitMilliseconds === 0 &&
    choice.finishMilliseconds <= remainingMillisecondsOf(job, now)
  return isInTime ? choice : choose(allowed)
}

/**
 * Chooses an agent for a task: one of the entry's failure domain if the task can start there at once and end within the
 * objective, otherwise the best of all.
 */
function chooseByDistance (
  state: DispatcherState, job: Job, task: JobTask, agents: AgentsByDistance, plan: JobPlan, now: number
): PlacementChoice | undefined {
  const { request } = job
  const remainingMilliseconds = remainingMillisecondsOf(job, now)
  const choose = (candidates: readonly AgentView[]): PlacementChoice | undefined => state.placement.choose({
    task,
    priority: request.priority,
    route: request.route,
    runTimes: state.runTimes,
    candidates,
    usedAgents: plan.usedAgents,
    failureDomain: state.failureDomain,
    remainingMilliseconds,
    now
  })
  const near = candidatesFor(agents.near, agents.shares, task, job, plan, now)
  const nearChoice = choose(near)
  const isInTime = nearChoice !== undefined && nearChoice.waitMilliseconds === 0 &&
    nearChoice.finishMilliseconds <= remainingMilliseconds
  if (isInTime || agents.far.length === 0) return nearChoice
  return choose([...near, ...candidatesFor(agents.far, agents.shares, task, job, plan, now)])
}

/**
 * Adds a task to a plan and reserves capacity for it.
 *
 * @returns the choice; undefined if no agent may run the task, which is then not added.
 */
export function planTask (
  state: DispatcherState, job: Job, task: JobTask, agents: AgentsByDistance, plan: JobPlan, now: number
): PlacementChoice | undefined {
  const choice = chooseAgent(state, job, task, agents, plan, now)
  if (choice === undefined) return undefined
  plan.add(task, choice, state.crashes.crashCountOf(task.name) > 0)
  if (agents.shares.has(choice.agent.name)) choice.agent.shareCredit = 0
  return choice
}
