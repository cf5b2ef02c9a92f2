/**
 * Late binding: tasks wait at the entry until an agent has free capacity, and go to the agent with the earliest
 * expected completion.
 *
 * A job task keeps waiting when a faster agent, though busy now, should still complete it earlier than a slow idle
 * one; with many waiting tasks that is no longer the case. While few urgent tasks wait, they may exceed the window of
 * an agent.
 */
import type { WaitingTask } from '@baobabpost/admission'
import type { Random } from '@baobabpost/common'
import { type AgentState, freeCapacityOf } from './agent-state.js'
import { type ServiceState, TrackedPlacement } from './tracked-placement.js'

const REMOTE_DOMAIN_PENALTY_MILLISECONDS = 3
const FULL_LOAD_PENALTY_MILLISECONDS = 2
const URGENT_WAIT_WEIGHT = 4
const MAXIMUM_URGENT_WAITING_PER_SLOT = 0.25
const MAXIMUM_CANDIDATES = 64
const MINIMUM_SPEED_UP_TO_WAIT = 1.2

export interface LateBindingOptions {
  readonly random: Random
  /** Failure domain of the entry. */
  readonly failureDomain: string
  /** Number of tasks beyond its slots that an agent accepts in advance. */
  readonly prefetchTasks: number
}

interface Candidate {
  readonly state: AgentState
  /** Expected time until the agent completes the task. */
  readonly finishMilliseconds: number
}

/** Chooses the agent with free capacity that should complete the task first. */
export class LateBindingPlacement extends TrackedPlacement {
  override readonly name = 'late-binding'
  readonly #options: LateBindingOptions

  constructor (options: LateBindingOptions) {
    super()
    this.#options = options
  }

  protected override pick (
    service: ServiceState, task: WaitingTask, now: number, waitingCount: number
  ): AgentState | undefined {
    const { agents } = service
    const referenceMilliseconds = this.model.referenceMilliseconds(task.template) ??
      Math.max(1, task.expectedMilliseconds)
    const steps = Math.min(agents.length, MAXIMUM_CANDIDATES)
    const start = agents.length > 1 ? this.#options.random.below(agents.length) : 0
    let best: Candidate | undefined
    for (let step = 0; step < steps; step += 1) {
      const state = agents[(start + step) % agents.length]!
      if (!this.mayTake(service, state, task, now, waitingCount)) continue
      const finishMilliseconds = this.#finishMilliseconds(service, state, referenceMilliseconds, task.urgent)
      if (best === undefined || finishMilliseconds < best.finishMilliseconds) best = { state, finishMilliseconds }
    }
    if (best === undefined) return undefined
    if (task.urgent) return best.state
    if (this.#shouldWait(service, best, task, referenceMilliseconds, now, waitingCount)) return undefined
    return best.state
  }

  /** Urgent tasks may exceed the window of an agent, by up to its slots, while few urgent tasks wait. */
  protected override freeCapacityFor (
    service: ServiceState, state: AgentState, task: WaitingTask, waitingCount: number
  ): number {
    const freeCapacity = freeCapacityOf(state)
    if (!task.urgent || freeCapacity > 0) return freeCapacity
    const maximumWaiting = MAXIMUM_URGENT_WAITING_PER_SLOT * state.agent.slots * service.agents.length
    if (waitingCount > maximumWaiting) return freeCapacity
    return urgentCapacityBeyondWindow(state)
  }

  override hasFreeCapacity (service: string): boolean {
    return this.agentsOf(service).some(state => freeCapacityOf(state) > 0 || urgentCapacityBeyondWindow(state) > 0)
  }

  /** Expected time until the agent completes one more task. */
  #finishMilliseconds (
    service: ServiceState, state: AgentState, referenceMilliseconds: number, isUrgent: boolean
  ): number {
    const factor = Math.exp(state.speed.factorLogarithm)
    const { slots, failureDomain } = state.agent
    const slotShare = Math.max(1, state.window * slots / (slots + this.#options.prefetchTasks))
    const tasksAtAgent = Math.max(0, state.outstanding.size + 1 - slotShare)
    const meanMilliseconds = service.meanMilliseconds ?? referenceMilliseconds
    // At the agent, an urgent task waits only for other urgent tasks and for the next slot that becomes free.
    const tasksAhead = isUrgent ? Math.min(tasksAtAgent, state.urgentOutstanding + 1) : tasksAtAgent
    const waitMilliseconds = tasksAhead * meanMilliseconds * factor /
      (isUrgent ? slots / URGENT_WAIT_WEIGHT : slotShare)
    const domainPenaltyMilliseconds = failureDomain === this.#options.failureDomain
      ? 0
      : REMOTE_DOMAIN_PENALTY_MILLISECONDS
    const loadPenaltyMilliseconds = FULL_LOAD_PENALTY_MILLISECONDS * state.outstanding.size / slots
    return waitMilliseconds + referenceMilliseconds * factor + domainPenaltyMilliseconds + loadPenaltyMilliseconds
  }

  /** Whether waiting for faster agents, behind all waiting tasks, should complete the task sooner than `best` does. */
  #shouldWait (
    service: ServiceState,
    best: Candidate,
    task: WaitingTask,
    referenceMilliseconds: number,
    now: number,
    waitingCount: number
  ): boolean {
    const meanMilliseconds = service.meanMilliseconds
    if (meanMilliseconds === undefined) return false
    const bestFactor = Math.exp(best.state.speed.factorLogarithm)
    let completionsPerMillisecond = 0
    let weightedFactor = 0
    for (const state of service.agents) {
      const factor = Math.exp(state.speed.factorLogarithm)
      if (factor * MINIMUM_SPEED_UP_TO_WAIT > bestFactor || state.health.status !== 'active') continue
      const completionRate = state.outstanding.size / (meanMilliseconds * factor)
      completionsPerMillisecond += completionRate
      weightedFactor += completionRate * factor
    }
    if (completionsPerMillisecond === 0) return false
    const waitMilliseconds = waitingCount / completionsPerMillisecond
    if (now + waitMilliseconds >= task.startBefore) return false
    return waitMilliseconds + referenceMilliseconds * weightedFactor / completionsPerMillisecond <
      best.finishMilliseconds
  }
}

/** Number of urgent tasks that the agent may still get when they may exceed its window by its number of slots. */
function urgentCapacityBeyondWindow ({ agent, health, outstanding, window }: AgentState): number {
  if (health.status !== 'active' || health.failureEvidence > 0) return 0
  return Math.max(0, window + agent.slots - outstanding.size)
}
