/** `GET /v1/domains`, `POST /v1/domains/DOMAIN/evacuate` and `POST /v1/domains/DOMAIN/restore`. */
import { DispatchError } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, registerName, type DomainList, type FailureDomain } from '@baobabpost/messages'
import { answerProblem } from '../http/caller-server.js'
import type { Exchange, HttpAnswer, Route } from '../http/route.js'
import type { CoreRouteOptions } from './run-operation.js'

/** Creates the route that lists the failure domains. */
export function createListDomainsRoute ({ core }: CoreRouteOptions): Route {
  return {
    method: 'GET',
    path: '/v1/domains',
    access: 'operator',
    about: 'Lists the failure domains, which are evacuated, and where that is known',
    handle () {
      const body: DomainList = { domains: core.components.evacuations.list() }
      return { status: 200, body }
    }
  }
}

function requireDomain ({ core }: CoreRouteOptions, exchange: Exchange): FailureDomain {
  const { evacuations } = core.components
  const name = exchange.parameters.domain ?? ''
  const domain = evacuations.describe(name)
  if (domain !== undefined) return domain
  const known = evacuations.list().map(candidate => candidate.name).join(', ')
  throw new DispatchError({
    kind: 'malformed-request', detail: `There is no failure domain '${name.slice(0, 64)}'; known are: ${known || 'none'}`
  })
}

/** Writes the register of a domain, or answers at once if the domain is in the requested state already. */
function setEvacuated (options: CoreRouteOptions, exchange: Exchange, evacuated: boolean): Promise<HttpAnswer> {
  const { evacuations, projection, publisher } = options.core.components
  const domain = requireDomain(options, exchange)
  if (domain.evacuated === evacuated) return Promise.resolve({ status: 200, body: domain })
  const { name } = domain
  const register = registerName('evacuation', name)
  const replaces = projection.read(register)?.version ?? NEVER_WRITTEN_VERSION
  const reason = exchange.query.get('reason') ?? 'evacuated by an operator'
  const value = evacuated ? { name, reason } : null
  return new Promise<HttpAnswer>(resolve => {
    publisher.publish({ register, replaces, value }, options.now(), result => {
      if (result.kind === 'problem') resolve(answerProblem(result.problem))
      else resolve({ status: 200, body: evacuations.describe(name) ?? domain })
    })
  })
}

/** Creates the route that evacuates a failure domain. */
export function createEvacuateDomainRoute (options: CoreRouteOptions): Route {
  return {
    method: 'POST',
    path: '/v1/domains/:domain/evacuate',
    access: 'operator',
    about: 'Evacuates a failure domain: nothing new starts at its upstreams until it is restored',
    handle: exchange => setEvacuated(options, exchange, true)
  }
}

/** Creates the route that ends the evacuation of a failure domain. */
export function createRestoreDomainRoute (options: CoreRouteOptions): Route {
  return {
    method: 'POST',
    path: '/v1/domains/:domain/restore',
    access: 'operator',
    about: 'Ends the evacuation of a failure domain',
    handle: exchange => setEvacuated(options, exchange, false)
  }
}
