/** `GET /v1/report/burn`: reports the error budget burn over all entries. */
import type { Route } from '../http/route.js'
import type { CoreRouteOptions } from './run-operation.js'

export function createBurnReportRoute ({ core, now }: CoreRouteOptions): Route {
  return {
    method: 'GET',
    path: '/v1/report/burn',
    access: 'operator',
    about: 'Reports service-level burn over all entries',
    handle: () => ({ status: 200, body: core.components.burn.report(now()) })
  }
}
