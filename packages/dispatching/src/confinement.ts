/** Limits how many upstreams of a service a route may crash at a time, while some of its tasks crash upstreams. */
import type { EventLogger } from '@baobabpost/common'
import type { AgentView } from './agent-view.js'
import type { CrashEvidence } from './crash-evidence.js'
import { rankFor } from './preference.js'
import type { RouteDemand } from './route-demand.js'

/** Least share of the upstreams of its service that a confined route may use. */
const MINIMUM_CONFINED_SHARE = 0.25

/** The upstreams to which confined routes are limited. */
export interface Confinement {
  /** Names of the agents that a confined route may use, by route; the same at all entries that see the same agents. */
  readonly agentsByRoute: ReadonlyMap<string, ReadonlySet<string>>
  /** Names of all those agents: other routes use them only where the others do not suffice. */
  readonly atRisk: ReadonlySet<string>
}

/** Time for which a confinement is kept before the demand is looked at again. */
const REFRESH_MILLISECONDS = 250

interface KnownConfinement {
  readonly confinement: Confinement
  readonly routes: ReadonlySet<string>
  readonly agentCount: number
  readonly foundAt: number
}

/** Confinements of the routes of all services. Times are on the entry's steady clock, in milliseconds. */
export interface Confinements {
  /**
   * Returns the confinement of a service's routes, found anew if the implicated routes or the agents have changed.
   *
   * @param views - All agents of the service, whether they are usable or not.
   */
  of: (service: string, views: readonly AgentView[], now: number) => Confinement
}

export interface ConfinementsOptions {
  readonly crashes: CrashEvidence
  readonly demand: RouteDemand
  readonly logger: EventLogger
}

/**
 * Creates the confinements of an entry.
 *
 * @example
 * const confinements = createConfinements({ crashes, demand, logger })
 * confinements.of('desk', views, now).agentsByRoute.get('lookup') // undefined: not confined
 */
export function createConfinements ({ crashes, demand, logger }: ConfinementsOptions): Confinements {
  const knownByService = new Map<string, KnownConfinement>()

  /** Crashed upstreams count, so that a route does not move on; one with most of the demand keeps as large a part. */
  function findConfinement (service: string, views: readonly AgentView[], now: number): Confinement {
    const agentsByRoute = new Map<string, ReadonlySet<string>>()
    const atRisk = new Set<string>()
    for (const route of crashes.implicatedRoutes()) {
      if (views.length === 0) continue
      const demandShare = demand.shareOf(service, route, now)
      const count = Math.ceil(views.length * Math.max(MINIMUM_CONFINED_SHARE, demandShare))
      const ranked = views.map(({ name }) => ({ name, rank: rankFor(route, name) }))
      ranked.sort((left, right) => left.rank - right.rank)
      const names = ranked.slice(0, count).map(({ name }) => name)
      agentsByRoute.set(route, new Set(names))
      for (const name of names) atRisk.add(name)
    }
    return { agentsByRoute, atRisk }
  }

  function logChanges (
    service: string, before: Confinement | undefined, after: Confinement, agentCount: number
  ): void {
    for (const [route, names] of after.agentsByRoute) {
      if (before?.agentsByRoute.has(route) === true) continue
      logger.warn('route confined', { service, route, agents: names.size, of: agentCount })
    }
    for (const route of before?.agentsByRoute.keys() ?? []) {
      if (!after.agentsByRoute.has(route)) logger.info('route not confined any more', { service, route })
    }
  }

  return {
    of: (service, views, now) => {
      const known = knownByService.get(service)
      const routes = crashes.implicatedRoutes()
      const isCurrent = known !== undefined && known.routes === routes && known.agentCount === views.length &&
        (routes.size === 0 || now - known.foundAt < REFRESH_MILLISECONDS)
      if (isCurrent) return known.confinement
      const confinement = findConfinement(service, views, now)
      knownByService.set(service, { confinement, routes, agentCount: views.length, foundAt: now })
      logChanges(service, known?.confinement, confinement, views.length)
      return confinement
    }
  }
}
