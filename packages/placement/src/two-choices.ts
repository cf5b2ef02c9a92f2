/** Power of two choices: the less loaded of two random agents. */
import type { WaitingTask } from '@baobabpost/admission'
import type { Random } from '@baobabpost/common'
import type { AgentState } from './agent-state.js'
import { type ServiceState, TrackedPlacement } from './tracked-placement.js'

const MAXIMUM_DRAWS = 4

/** Chooses the less loaded of two random agents. Tasks queue at the agents, within the bound of their windows. */
export class TwoChoicesPlacement extends TrackedPlacement {
  override readonly name = 'two-choices'
  readonly #random: Random

  constructor (random: Random) {
    super()
    this.#random = random
  }

  protected override pick (
    service: ServiceState, task: WaitingTask, now: number, waitingCount: number
  ): AgentState | undefined {
    const { agents } = service
    if (agents.length === 0) return undefined
    let first: AgentState | undefined
    for (let draw = 0; draw < MAXIMUM_DRAWS; draw += 1) {
      const state = agents[this.#random.below(agents.length)]!
      if (state === first || !this.mayTake(service, state, task, now, waitingCount)) continue
      if (first !== undefined) return loadOf(state) < loadOf(first) ? state : first
      first = state
    }
    return first ?? agents.find(state => this.mayTake(service, state, task, now, waitingCount))
  }
}

function loadOf (state: AgentState): number {
  return state.outstanding.size / state.agent.slots
}
