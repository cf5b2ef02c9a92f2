/** Sums the slots that this entry may fill for each service, for the queue's estimate of how fast tasks go. */
import type { AgentIdentity } from '@baobabpost/common'
import type { AdmissionQueue } from '@baobabpost/admission'
import type { AgentView } from '@baobabpost/membership'

interface AgentCapacity {
  readonly service: string
  readonly slots: number
}

/** The slots of the agents in use. */
export interface ServiceCapacities {
  /** Takes in an agent, or what changed of it. */
  set: (agent: AgentView) => void
  remove: (agent: AgentIdentity) => void
}

/**
 * Makes the sums, without agents.
 *
 * @example
 * const capacities = createServiceCapacities(queue)
 * capacities.set(agent)
 */
export function createServiceCapacities (queue: Pick<AdmissionQueue, 'setCapacity'>): ServiceCapacities {
  const agents = new Map<AgentIdentity, AgentCapacity>()
  const totals = new Map<string, number>()

  function add (service: string, slots: number): void {
    if (slots === 0) return
    const total = (totals.get(service) ?? 0) + slots
    totals.set(service, total)
    queue.setCapacity({ service, slots: total })
  }

  function remove (agent: AgentIdentity): void {
    const known = agents.get(agent)
    if (known === undefined) return
    agents.delete(agent)
    add(known.service, -known.slots)
  }

  return {
    set (agent) {
      const slots = Math.min(agent.slots, agent.window)
      const known = agents.get(agent.identity)
      if (known?.slots === slots && known.service === agent.service) return
      remove(agent.identity)
      agents.set(agent.identity, { service: agent.service, slots })
      add(agent.service, slots)
    },
    remove
  }
}
