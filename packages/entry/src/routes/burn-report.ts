/** `GET /v1/report/burn`: service-level burn over all entries. */
import type { Route } from '../http/route.js'
import type { SubmissionRouteOptions } from './run-operation.js'

/** Makes the route. */
export function createBurnReportRoute ({ core, now }: SubmissionRouteOptions): Route {
  return {
    method: 'GET',
    path: '/v1/report/burn',
    access: 'operator',
    about: 'Reports service-level burn over all entries',
    handle: () => ({ status: 200, body: core.components.burn.report(now()) })
  }
}
