/** `GET /v1/configuration?kind=KIND`: lists the registers of configuration. */
import type { ConfigurationList } from '@baobabpost/messages'
import type { Route } from '../http/route.js'
import { CONFIGURATION_KINDS } from './register-path.js'
import type { SubmissionRouteOptions } from './run-operation.js'

/** Makes the route. */
export function createListConfigurationRoute ({ core }: SubmissionRouteOptions): Route {
  return {
    method: 'GET',
    path: '/v1/configuration',
    access: 'operator',
    about: 'Lists the configuration in force',
    handle (exchange) {
      const wanted = exchange.query.get('kind')
      const kinds = CONFIGURATION_KINDS.filter(kind => wanted === null || kind === wanted)
      const body: ConfigurationList = { registers: kinds.flatMap(kind => core.components.projection.list(kind)) }
      return { status: 200, body }
    }
  }
}
