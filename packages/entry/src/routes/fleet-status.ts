/** `GET /v1/fleet`: the fleet as this entry sees it. */
import { VERSION, type EntryIdentity, type Invariants } from '@baobabpost/common'
import type { FleetAgent, FleetEntry, FleetStatus, PartitionOwner } from '@baobabpost/messages'
import { isDrained } from '../drains.js'
import type { EntryCore } from '../entry-core.js'
import type { Route } from '../http/route.js'
import type { SubmissionRouteOptions } from './run-operation.js'

/** What the route needs. */
export interface FleetStatusOptions extends SubmissionRouteOptions {
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
  const { membership, dispatcher, placement, projection: fold } = core.components
  const usable = new Map(membership.usableAgents().map(agent => [agent.identity, agent]))
  const agents: FleetAgent[] = []
  for (const agent of usable.values()) {
    const ejection = placement.ejection(agent.identity)
    const drained = isDrained(fold, agent.identity)
    agents.push({
      identity: agent.identity,
      address: agent.address,
      service: agent.service,
      failureDomain: agent.failureDomain,
      standing: drained ? 'leaving' : ejection === undefined ? 'usable' : 'ejected',
      ...(drained ? { reason: 'drained' } : ejection === undefined ? {} : { reason: ejection }),
      slots: agent.slots,
      window: agent.window,
      unfinished: dispatcher.inFlightAt(agent.identity)
    })
  }
  for (const registration of membership.registeredAgents()) {
    if (usable.has(registration.identity)) continue
    const { identity, address, service, failureDomain, state } = registration
    const standing = state === 'joined' ? 'suspected' : 'departed'
    const unfinished = dispatcher.inFlightAt(identity)
    agents.push({ identity, address, service, failureDomain, standing, slots: 0, window: 0, unfinished })
  }
  return agents
}

/** Makes the route. */
export function createFleetStatusRoute ({ core, now, invariants }: FleetStatusOptions): Route {
  return {
    method: 'GET',
    path: '/v1/fleet',
    access: 'operator',
    about: 'Tells the fleet as this entry sees it',
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
        callsPending: calls.pending(),
        invariantViolations: invariants.violations(),
        queues: queue.services().map(service => ({ service, tasks: queue.length(service) })),
        entries: describeEntries(core),
        agents: describeAgents(core)
      }
      return { status: 200, body }
    }
  }
}
