/** Round robin, the baseline for comparisons with the other placements. */
import type { WaitingTask } from '@baobabpost/admission'
import type { AgentState } from './agent-state.js'
import { type ServiceState, TrackedPlacement } from './tracked-placement.js'

/** Chooses agents in turn, skipping those without free capacity. */
export class RoundRobinPlacement extends TrackedPlacement {
  override readonly name = 'round-robin'
  readonly #nextPositions = new WeakMap<ServiceState, number>()

  protected override pick (
    service: ServiceState, task: WaitingTask, now: number, waitingCount: number
  ): AgentState | undefined {
    const { agents } = service
    const start = this.#nextPositions.get(service) ?? 0
    for (let step = 0; step < agents.length; step += 1) {
      const position = (start + step) % agents.length
      const state = agents[position]!
      if (!this.mayTake(service, state, task, now, waitingCount)) continue
      this.#nextPositions.set(service, position + 1)
      return state
    }
    return undefined
  }
}
