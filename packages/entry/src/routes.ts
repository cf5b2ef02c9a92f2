/** All routes of an entry; `docs/INTERFACE.md` lists them. */
import type { Invariants } from '@baobabpost/common'
import type { EntryCore } from './entry-core.js'
import type { Route } from './http/route.js'
import { createBurnReportRoute } from './routes/burn-report.js'
import { createCallRoute } from './routes/call.js'
import { createCancelSubmissionRoute } from './routes/cancel-submission.js'
import { createConfigurationHistoryRoute } from './routes/configuration-history.js'
import { createConfigurationStatusRoute } from './routes/configuration-status.js'
import { createDrainUpstreamRoute } from './routes/drain-upstream.js'
import { createEvacuateDomainRoute, createListDomainsRoute, createRestoreDomainRoute } from './routes/failure-domains.js'
import { createExplainSubmissionRoute } from './routes/explain-submission.js'
import { createFleetStatusRoute } from './routes/fleet-status.js'
import { createListConfigurationRoute } from './routes/list-configuration.js'
import { createLivenessRoute } from './routes/liveness.js'
import { createPublishConfigurationRoute } from './routes/publish-configuration.js'
import { createQuerySubmissionRoute } from './routes/query-submission.js'
import { createReadinessRoute } from './routes/readiness.js'
import { createShowConfigurationRoute } from './routes/show-configuration.js'
import { createSubmitJobRoute } from './routes/submit-job.js'

export interface RoutesOptions {
  readonly core: EntryCore
  readonly now: () => number
  readonly invariants: Invariants
}

export function createRoutes (options: RoutesOptions): readonly Route[] {
  return [
    createSubmitJobRoute(options),
    createQuerySubmissionRoute(options),
    createCancelSubmissionRoute(options),
    createCallRoute(options),
    createLivenessRoute(),
    createReadinessRoute(options.core),
    createListConfigurationRoute(options),
    createShowConfigurationRoute(options),
    createPublishConfigurationRoute(options),
    createConfigurationHistoryRoute(options),
    createConfigurationStatusRoute(options),
    createFleetStatusRoute(options),
    createDrainUpstreamRoute(options),
    createListDomainsRoute(options),
    createEvacuateDomainRoute(options),
    createRestoreDomainRoute(options),
    createExplainSubmissionRoute(options),
    createBurnReportRoute(options)
  ]
}
