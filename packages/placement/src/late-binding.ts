/**
 * Late binding: tasks wait at the entry until an agent has room, and go to the one that should finish them soonest.
 *
 * A slow agent stays idle while waiting for a faster one should end sooner, which is no longer so once many tasks
 * wait. Urgent tasks may go ahead at agents whose window is full, while few of them wait.
 */
import type { WaitingTask } from '@baobabpost/admission'
import type { Random } from '@baobabpost/common'
import { type AgentState, roomOf } from './agent-state.js'
import { type ServiceState, TrackedPlacement } from './tracked-placement.js'

const FAR_MILLISECONDS = 3
const FULL_LOAD_MILLISECONDS = 2
const URGENT_WAIT_WEIGHT = 4
const URGENT_WAITING_PER_SLOT = 0.25
const MAXIMUM_CANDIDATES = 64
const NOTABLY_SLOWER = 1.2

/** What late binding needs to know of its entry. */
export interface LateBindingOptions {
  readonly random: Random
  /** Failure domain of the entry. */
  readonly failureDomain: string
  /** Tasks beyond its slots that an agent accepts ahead. */
  readonly prefetchTasks: number
}

/** The best candidate so far. */
interface Candidate {
  readonly state: AgentState
  /** Expected time until the task is finished, milliseconds. */
  readonly milliseconds: number
}

/** Gives each task to the agent with room that should finish it soonest. */
export class LateBindingPlacement extends TrackedPlacement {
  override readonly name = 'late-binding'
  readonly #options: LateBindingOptions

  constructor (options: LateBindingOptions) {
    super()
    this.#options = options
  }

  protected override pick (
    service: ServiceState, task: WaitingTask, now: number, waiting: number
  ): AgentState | undefined {
    const { agents } = service
    const reference = this.model.reference(task.template) ?? Math.max(1, task.expectedMilliseconds)
    const steps = Math.min(agents.length, MAXIMUM_CANDIDATES)
    const start = agents.length > 1 ? this.#options.random.below(agents.length) : 0
    let best: Candidate | undefined
    for (let step = 0; step < steps; step += 1) {
      const state = agents[(start + step) % agents.length]!
      if (!this.mayTake(service, state, task, now, waiting)) continue
      const milliseconds = this.#finishMilliseconds(service, state, reference, task.urgent)
      if (best === undefined || milliseconds < best.milliseconds) best = { state, milliseconds }
    }
    if (best === undefined) return undefined
    if (task.urgent) return best.state
    if (this.#worthWaiting(service, best, task, reference, now, waiting)) return undefined
    return best.state
  }

  /** An urgent task may also go ahead of the tasks that wait at an agent. */
  protected override roomFor (
    service: ServiceState, state: AgentState, task: WaitingTask, waiting: number
  ): number {
    const room = roomOf(state)
    if (!task.urgent || room > 0) return room
    const mostWaiting = URGENT_WAITING_PER_SLOT * state.agent.slots * service.agents.length
    if (waiting > mostWaiting) return room
    return roomAhead(state)
  }

  override hasFreeCapacity (service: string): boolean {
    return this.agentsOf(service).some(state => roomOf(state) > 0 || roomAhead(state) > 0)
  }

  /** Expected time until the agent has finished one more task. */
  #finishMilliseconds (
    service: ServiceState, state: AgentState, reference: number, urgent: boolean
  ): number {
    const factor = Math.exp(state.speed.logarithm)
    const { slots, failureDomain } = state.agent
    const slotShare = Math.max(1, state.window * slots / (slots + this.#options.prefetchTasks))
    const waiting = Math.max(0, state.outstanding.size + 1 - slotShare)
    const mean = service.meanMilliseconds ?? reference
    // An urgent task waits at the agent for other urgent ones and for the first slot that becomes free.
    const ahead = urgent ? Math.min(waiting, state.urgentOutstanding + 1) : waiting
    const wait = ahead * mean * factor / (urgent ? slots / URGENT_WAIT_WEIGHT : slotShare)
    const distance = failureDomain === this.#options.failureDomain ? 0 : FAR_MILLISECONDS
    const spread = FULL_LOAD_MILLISECONDS * state.outstanding.size / slots
    return wait + reference * factor + distance + spread
  }

  /** Whether waiting for places at faster agents should end sooner, for all that wait, than the best candidate. */
  #worthWaiting (
    service: ServiceState, best: Candidate, task: WaitingTask, reference: number, now: number, waiting: number
  ): boolean {
    const mean = service.meanMilliseconds
    if (mean === undefined) return false
    const bestFactor = Math.exp(best.state.speed.logarithm)
    let completionsPerMillisecond = 0
    let weightedFactor = 0
    for (const state of service.agents) {
      const factor = Math.exp(state.speed.logarithm)
      if (factor * NOTABLY_SLOWER > bestFactor || state.health.standing !== 'active') continue
      const completions = state.outstanding.size / (mean * factor)
      completionsPerMillisecond += completions
      weightedFactor += completions * factor
    }
    if (completionsPerMillisecond === 0) return false
    const wait = waiting / completionsPerMillisecond
    if (now + wait >= task.startBefore) return false
    return wait + reference * weightedFactor / completionsPerMillisecond < best.milliseconds
  }
}

/** Number of urgent tasks that the agent may get beyond its window. */
function roomAhead ({ agent, health, outstanding, window }: AgentState): number {
  if (health.standing !== 'active' || health.failureEvidence > 0) return 0
  return Math.max(0, window + agent.slots - outstanding.size)
}
