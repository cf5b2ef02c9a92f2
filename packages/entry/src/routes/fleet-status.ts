/** `GET /v1/fleet`: the fleet as this entry sees it. */
import { VERSION, type EntryIdentity, type Invariants } from '@baobabpost/common'
import type { FleetAgent, FleetEntry, FleetStatus, PartitionOwner } from '@baobabpost/messages'
import { isDrained } from '../drains.js'
import type { EntryCore } from '../entry-core.js'
import type { Route } from '../http/route.js'
import type { CoreRouteOptions } from './run-operation.js'

export interface FleetStatusRouteOptions extends CoreRouteOptions {
  readonly invariants: Invariants
}

function countPartitions (core: EntryCore): Map<EntryIdentity, number> {
  const counts = new Map<EntryIdentity, number>()
  for (const register of core.components.projection.list('partition')) {
    const { owner } = register.value as PartitionOwner
    counts.set(owner, (counts.get(owner) ?? 0) + 1)
  }
  return counts
}

function describeEntries (core: EntryCore): FleetEntry[] {
  const partitions = countPartitions(core)
  return core.components.membership.liveEntries().map(entry => ({
    identity: entry.identity,
    address: entry.address,
    failureDomain: entry.failureDomain,
    state: entry.state,
    position: entry.position,
    ...(entry.answeredSentAt === undefined ? {} : { heardAt: entry.answeredSentAt }),
    partitionsOwned: partitions.get(entry.identity) ?? 0
  }))
}

function describeAgents (core: EntryCore): FleetAgent[] {
  const { membership, dispatcher, placement, projection, evacuations } = core.components
  const usable = new Map(membership.usableAgents().map(agent => [agent.identity, agent]))
  const agents: FleetAgent[] = []
  for (const agent of usable.values()) {
    const ejection = placement.ejectionReason(agent.identity)
    const prohibition = isDrained(projection, agent.identity)
      ? 'drained'
      : evacuations.isEvacuated(agent.failureDomain) ? 'failure domain evacuated' : undefined
    const reason = prohibition ?? ejection
    agents.push({
      identity: agent.identity,
      address: agent.address,
      service: agent.service,
      failureDomain: agent.failureDomain,
      standing: prohibition !== undefined ? 'leaving' : ejection === undefined ? 'usable' : 'ejected',
      ...(reason === undefined ? {} : { reason }),
      slots: agent.slots,
      window: agent.window,
      unfinished: dispatcher.inFlightCountAt(agent.identity)
    })
  }
  for (const registration of membership.registeredAgents()) {
    if (usable.has(registration.identity)) continue
    const { identity, address, service, failureDomain, state } = registration
    const standing = state === 'joined' ? 'suspected' : 'departed'
    const unfinished = dispatcher.inFlightCountAt(identity)
    agents.push({ identity, address, service, failureDomain, standing, slots: 0, window: 0, unfinished })
  }
  return agents
}

export function createFleetStatusRoute ({ core, now, invariants }: FleetStatusRouteOptions): Route {
  return {
    method: 'GET',
    path: '/v1/fleet',
    access: 'operator',
    about: 'Shows the fleet as this entry sees it',
    handle () {
      const at = now()
      const { ownership, outcomes, calls, configuration, queue } = core.components
      const { position, behindRecords, behindSince } = configuration.status(core.logStatus())
      const body: FleetStatus = {
        identity: core.identity,
        address: core.settings.address,
        failureDomain: core.settings.failureDomain,
        state: core.state(),
        version: VERSION,
        at,
        startedAt: core.startedAt,
        position,
        behind: behindRecords,
        logSilentMilliseconds: behindSince === undefined ? 0 : Math.max(0, at - behindSince),
        partitionsOwned: ownership.ownedCount(),
        partitionsCollecting: core.collectingCount(),
        submissionsRunning: outcomes.counts().unfinished,
        callsPending: calls.pendingCount(),
        invariantViolations: invariants.violations(),
        queues: queue.services().map(service => ({ service, tasks: queue.length(service) })),
        evacuatedDomains: core.components.evacuations.evacuatedDomains(),
        entries: describeEntries(core),
        agents: describeAgents(core)
      }
      return { status: 200, body }
    }
  }
}
