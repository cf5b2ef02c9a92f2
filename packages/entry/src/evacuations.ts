/** Failure domains evacuated by operators, as one entry knows them. */
import type { AgentRegistration, Evacuation, FailureDomain, RegisterValue } from '@baobabpost/messages'
import { NEVER_WRITTEN_VERSION, registerName } from '@baobabpost/messages'
import type { Membership } from '@baobabpost/membership'
import type { RegisterProjection } from '@baobabpost/platform-log'

/** Time after which callers are told to return while nothing may start: an operator ends an evacuation, not a queue. */
export const EVACUATED_RETRY_AFTER_MILLISECONDS = 5_000

export interface EvacuationsOptions {
  readonly projection: Pick<RegisterProjection, 'read' | 'list'>
  readonly membership: Pick<Membership, 'registeredAgents' | 'usableAgents' | 'liveEntries'>
}

/** The failure domains of the fleet. */
export interface Evacuations {
  isEvacuated: (domain: string) => boolean
  /** Names of the evacuated failure domains, sorted. */
  evacuatedDomains: () => readonly string[]
  /** Whether the service has agents and all of them are in evacuated failure domains. */
  isServiceEvacuated: (service: string) => boolean
  /** Describes a failure domain; undefined if no process of the fleet is or was in it and it was never evacuated. */
  describe: (domain: string) => FailureDomain | undefined
  /** Describes all known failure domains, sorted by name. */
  list: () => readonly FailureDomain[]
}

/**
 * Creates the view of the failure domains over registers and membership.
 *
 * @example
 * createEvacuations({ projection, membership }).isEvacuated('dakar-1')
 */
export function createEvacuations (options: EvacuationsOptions): Evacuations {
  const { projection, membership } = options

  function registerOf (domain: string): RegisterValue | undefined {
    return projection.read(registerName('evacuation', domain))
  }

  function isEvacuated (domain: string): boolean {
    const register = registerOf(domain)
    return register !== undefined && register.value !== null
  }

  function evacuatedDomains (): string[] {
    return projection.list('evacuation').map(({ value }) => (value as Evacuation).name).sort()
  }

  function joinedAgents (): readonly AgentRegistration[] {
    return membership.registeredAgents().filter(({ state }) => state === 'joined')
  }

  function knownDomains (): Set<string> {
    const agents = membership.registeredAgents().map(({ failureDomain }) => failureDomain)
    const usable = membership.usableAgents().map(({ failureDomain }) => failureDomain)
    const entries = membership.liveEntries().map(({ failureDomain }) => failureDomain)
    return new Set([...agents, ...usable, ...entries, ...evacuatedDomains()])
  }

  function describeKnown (domain: string): FailureDomain {
    const register = registerOf(domain)
    const version = register?.version ?? NEVER_WRITTEN_VERSION
    const agents = membership.usableAgents().filter(({ failureDomain }) => failureDomain === domain)
    const entries = membership.liveEntries()
    const value = register?.value as Evacuation | null | undefined
    return {
      name: domain,
      evacuated: isEvacuated(domain),
      ...(value === undefined || value === null ? {} : { reason: value.reason }),
      version,
      agents: agents.length,
      agentsInformed: agents.filter(({ configurationPosition }) => configurationPosition >= version).length,
      entries: entries.length,
      entriesInformed: entries.filter(({ position }) => position >= version).length
    }
  }

  return {
    isEvacuated,
    evacuatedDomains,
    isServiceEvacuated (service) {
      if (projection.list('evacuation').length === 0) return false
      const agents = joinedAgents().filter(agent => agent.service === service)
      return agents.length > 0 && agents.every(({ failureDomain }) => isEvacuated(failureDomain))
    },
    describe: domain => knownDomains().has(domain) ? describeKnown(domain) : undefined,
    list: () => [...knownDomains()].sort().map(describeKnown)
  }
}
