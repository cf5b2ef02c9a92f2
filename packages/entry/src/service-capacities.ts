/** Sums the slots that this entry may use for each service; the queue estimates from them how fast tasks start. */
import type { AgentIdentity } from '@baobabpost/common'
import type { AdmissionQueue } from '@baobabpost/admission'
import type { AgentView } from '@baobabpost/membership'

interface AgentCapacity {
  readonly service: string
  readonly slots: number
}

/** Slots of the agents in use, by service. */
export interface ServiceCapacities {
  /** Adds an agent, or updates its slots. */
  set: (agent: AgentView) => void
  remove: (agent: AgentIdentity) => void
}

/**
 * Creates the sums with no agents.
 *
 * @example
 * const capacities = createServiceCapacities(queue)
 * capacities.set(agent)
 */
export function createServiceCapacities (queue: Pick<AdmissionQueue, 'setCapacity'>): ServiceCapacities {
  const agents = new Map<AgentIdentity, AgentCapacity>()
  const totals = new Map<string, number>()

  function addSlots (service: string, slots: number): void {
    if (slots === 0) return
    const total = (totals.get(service) ?? 0) + slots
    totals.set(service, total)
    queue.setCapacity({ service, slots: total })
  }

  function remove (agent: AgentIdentity): void {
    const known = agents.get(agent)
    if (known === undefined) return
    agents.delete(agent)
    addSlots(known.service, -known.slots)
  }

  return {
    set (agent) {
      const slots = Math.min(agent.slots, agent.window)
      const known = agents.get(agent.identity)
      if (known?.slots === slots && known.service === agent.service) return
      remove(agent.identity)
      agents.set(agent.identity, { service: agent.service, slots })
      addSlots(agent.service, slots)
    },
    remove
  }
}
