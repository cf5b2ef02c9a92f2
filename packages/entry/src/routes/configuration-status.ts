/** `GET /v1/configuration-status`: how far each process has applied configuration. */
import type { ConfigurationStatus, ProcessConfiguration } from '@baobabpost/messages'
import type { Route } from '../http/route.js'
import type { SubmissionRouteOptions } from './run-operation.js'

/** Makes the route. */
export function createConfigurationStatusRoute ({ core, now }: SubmissionRouteOptions): Route {
  return {
    method: 'GET',
    path: '/v1/configuration-status',
    access: 'operator',
    about: 'Tells how far each process has applied configuration',
    handle () {
      const at = now()
      const { configuration, membership } = core.components
      const own = configuration.status(core.logStatus())
      const processes: ProcessConfiguration[] = [{
        identity: core.identity, role: 'entry', position: own.position, behind: own.behindRecords, source: own.source, since: at
      }]
      for (const entry of membership.liveEntries()) {
        if (entry.identity === core.identity) continue
        const behind = Math.max(0, own.position - entry.position)
        processes.push({ identity: entry.identity, role: 'entry', position: entry.position, behind, source: 'log', since: at })
      }
      for (const agent of membership.usableAgents()) {
        const position = agent.configurationPosition
        const behind = Math.max(0, own.position - position)
        processes.push({ identity: agent.identity, role: 'agent', position, behind, source: 'peer', since: at })
      }
      const body: ConfigurationStatus = {
        position: own.position,
        logSilentMilliseconds: own.behindSince === undefined ? 0 : Math.max(0, at - own.behindSince),
        processes
      }
      return { status: 200, body }
    }
  }
}
