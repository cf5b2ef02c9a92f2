/** `GET /v1/configuration?kind=KIND`: lists the registers of configuration. */
import type { ConfigurationList } from '@baobabpost/messages'
import type { Route } from '../http/route.js'
import { CONFIGURATION_KINDS } from './register-path.js'
import type { CoreRouteOptions } from './run-operation.js'

export function createListConfigurationRoute ({ core }: CoreRouteOptions): Route {
  return {
    method: 'GET',
    path: '/v1/configuration',
    access: 'operator',
    about: 'Lists the configuration in force',
    handle (exchange) {
      const requestedKind = exchange.query.get('kind')
      const kinds = CONFIGURATION_KINDS.filter(kind => requestedKind === null || kind === requestedKind)
      const body: ConfigurationList = { registers: kinds.flatMap(kind => core.components.projection.list(kind)) }
      return { status: 200, body }
    }
  }
}
