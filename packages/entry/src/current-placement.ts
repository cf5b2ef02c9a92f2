/** Holds the placement that the published policy names, and the agents that it may use. */
import type { AgentIdentity, Logger, Random } from '@baobabpost/common'
import type { Configuration } from '@baobabpost/configuration'
import type { AgentView } from '@baobabpost/membership'
import { createPlacement, type Placement, type PlacementEvent } from '@baobabpost/placement'
import type { RegisterProjection } from '@baobabpost/platform-log'
import { isDrained } from './drains.js'
import type { Evacuations } from './evacuations.js'
import type { ServiceCapacities } from './service-capacities.js'

export interface CurrentPlacementOptions {
  readonly configuration: Configuration
  readonly projection: RegisterProjection
  readonly evacuations: Pick<Evacuations, 'isEvacuated'>
  /** Name of the policy. */
  readonly policy: string
  readonly failureDomain: string
  readonly random: Random
  readonly logger: Logger
  readonly usableAgents: () => readonly AgentView[]
  readonly capacities: ServiceCapacities
  /** Whether the agent is registered as joined, so that tasks of submissions may go to it. */
  readonly isJoined: (agent: AgentIdentity) => boolean
}

export interface CurrentPlacement {
  current: () => Placement
  /**
   * Adds or updates an agent; one that is drained, in an evacuated failure domain or not registered as joined is
   * removed instead.
   */
  useAgent: (agent: AgentView) => void
  stopUsingAgent: (agent: AgentIdentity) => void
  /** Decides again for each usable agent whether placement uses it. */
  refreshAgents: () => void
  /** Switches to the implementation that the policy names, if it changed; what the old one had learned is lost. */
  applyPolicy: () => void
  tick: (now: number) => void
  /** Returns why the agent is ejected, or undefined if it is not. */
  ejectionReason: (agent: AgentIdentity) => string | undefined
  ejectedCount: () => number
}

export function createCurrentPlacement (options: CurrentPlacementOptions): CurrentPlacement {
  const { configuration, projection, logger, random, failureDomain, capacities } = options
  const ejectionReasons = new Map<AgentIdentity, string>()
  let currentPrefetchTasks = 0
  let placement = createFromPolicy()

  function createFromPolicy (): Placement {
    const { placement: name, prefetchTasks } = configuration.policy(options.policy)
    currentPrefetchTasks = prefetchTasks
    return createPlacement(name, { failureDomain, random, prefetchTasks })
  }

  function useAgent (agent: AgentView): void {
    const { identity, service, slots, window } = agent
    const isProhibited = isDrained(projection, identity) || options.evacuations.isEvacuated(agent.failureDomain)
    if (isProhibited || !options.isJoined(identity)) {
      capacities.remove(identity)
      placement.removeAgent(identity)
      return
    }
    capacities.set(agent)
    placement.setAgent({ identity, service, failureDomain: agent.failureDomain, slots })
    placement.setWindow(identity, window)
  }

  function refreshAgents (): void {
    for (const agent of options.usableAgents()) useAgent(agent)
  }

  function handlePlacementEvent (event: PlacementEvent): void {
    logger.warn(`agent ${event.kind}`, { agent: event.agent, reason: event.reason })
    if (event.kind === 'returned') ejectionReasons.delete(event.agent)
    else ejectionReasons.set(event.agent, event.reason)
  }

  return {
    current: () => placement,
    useAgent,
    stopUsingAgent (agent) {
      ejectionReasons.delete(agent)
      capacities.remove(agent)
      placement.removeAgent(agent)
    },
    refreshAgents,
    applyPolicy () {
      const { placement: name, prefetchTasks } = configuration.policy(options.policy)
      if (name === placement.name && prefetchTasks === currentPrefetchTasks) return
      logger.info('placement changed', { placement: name, prefetchTasks })
      placement = createFromPolicy()
      ejectionReasons.clear()
      refreshAgents()
    },
    tick (now) {
      for (const event of placement.tick(now)) handlePlacementEvent(event)
    },
    ejectionReason: agent => ejectionReasons.get(agent),
    ejectedCount: () => ejectionReasons.size
  }
}
