/** The placement that the published policy names, and the agents that it may use. */
import type { AgentIdentity, Logger, Random } from '@baobabpost/common'
import type { Configuration } from '@baobabpost/configuration'
import type { AgentView } from '@baobabpost/membership'
import { createPlacement, type Placement, type PlacementEvent } from '@baobabpost/placement'
import type { RegisterProjection } from '@baobabpost/platform-log'
import { isDrained } from './drains.js'
import type { ServiceCapacities } from './service-capacities.js'

/** What the current placement needs. */
export interface CurrentPlacementOptions {
  readonly configuration: Configuration
  readonly fold: RegisterProjection
  /** Name of the policy. */
  readonly policy: string
  readonly failureDomain: string
  readonly random: Random
  readonly logger: Logger
  readonly usableAgents: () => readonly AgentView[]
  readonly capacities: ServiceCapacities
  /** Whether keyed work may go to the agent. */
  readonly isJoined: (agent: AgentIdentity) => boolean
}

/** The placement in use. */
export interface CurrentPlacement {
  current: () => Placement
  /** Takes an agent into use, or updates it; one that is drained or not registered is left out. */
  use: (agent: AgentView) => void
  stopUsing: (agent: AgentIdentity) => void
  /** Looks again at which agents are to be used. */
  followDrains: () => void
  /** Takes the implementation into use that the policy names; what it learned before is lost with the old one. */
  followPolicy: () => void
  tick: (now: number) => void
  /** Why the agent is ejected, or undefined where it isn't. */
  ejection: (agent: AgentIdentity) => string | undefined
  ejectedCount: () => number
}

/** Makes the holder of the placement in use. */
export function createCurrentPlacement (options: CurrentPlacementOptions): CurrentPlacement {
  const { configuration, fold, logger, random, failureDomain, capacities } = options
  const ejections = new Map<AgentIdentity, string>()
  let prefetchInUse = 0
  let placement = create()

  function create (): Placement {
    const { placement: name, prefetchTasks } = configuration.policy(options.policy)
    prefetchInUse = prefetchTasks
    return createPlacement(name, { failureDomain, random, prefetchTasks })
  }

  function use (agent: AgentView): void {
    const { identity, service, slots, window } = agent
    if (isDrained(fold, identity) || !options.isJoined(identity)) {
      capacities.remove(identity)
      placement.removeAgent(identity)
      return
    }
    capacities.set(agent)
    placement.setAgent({ identity, service, failureDomain: agent.failureDomain, slots })
    placement.setWindow(identity, window)
  }

  function followDrains (): void {
    for (const agent of options.usableAgents()) use(agent)
  }

  function followEvent (event: PlacementEvent): void {
    logger.warn(`agent ${event.kind}`, { agent: event.agent, reason: event.reason })
    if (event.kind === 'returned') ejections.delete(event.agent)
    else ejections.set(event.agent, event.reason)
  }

  return {
    current: () => placement,
    use,
    stopUsing (agent) {
      ejections.delete(agent)
      capacities.remove(agent)
      placement.removeAgent(agent)
    },
    followDrains,
    followPolicy () {
      const { placement: name, prefetchTasks } = configuration.policy(options.policy)
      if (name === placement.name && prefetchTasks === prefetchInUse) return
      logger.info('placement changed', { placement: name, prefetchTasks })
      placement = create()
      ejections.clear()
      followDrains()
    },
    tick (now) {
      for (const event of placement.tick(now)) followEvent(event)
    },
    ejection: agent => ejections.get(agent),
    ejectedCount: () => ejections.size
  }
}
