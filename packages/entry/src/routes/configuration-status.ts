/** `GET /v1/configuration-status`: how far each process has applied configuration. */
import type { ConfigurationStatus, ProcessConfiguration } from '@baobabpost/messages'
import type { Route } from '../http/route.js'
import type { CoreRouteOptions } from './run-operation.js'

export function createConfigurationStatusRoute ({ core, now }: CoreRouteOptions): Route {
  return {
    method: 'GET',
    path: '/v1/configuration-status',
    access: 'operator',
    about: 'Shows how far each process has applied configuration',
    handle () {
      const at = now()
      const { configuration, membership } = core.components
      const ownStatus = configuration.status(core.logStatus())
      const processes: ProcessConfiguration[] = [{
        identity: core.identity, role: 'entry', position: ownStatus.position, behind: ownStatus.behindRecords, source: ownStatus.source, since: at
      }]
      for (const entry of membership.liveEntries()) {
        if (entry.identity === core.identity) continue
        const behind = Math.max(0, ownStatus.position - entry.position)
        processes.push({ identity: entry.identity, role: 'entry', position: entry.position, behind, source: 'log', since: at })
      }
      for (const agent of membership.usableAgents()) {
        const position = agent.configurationPosition
        const behind = Math.max(0, ownStatus.position - position)
        processes.push({ identity: agent.identity, role: 'agent', position, behind, source: 'peer', since: at })
      }
      const body: ConfigurationStatus = {
        position: ownStatus.position,
        logSilentMilliseconds: ownStatus.behindSince === undefined ? 0 : Math.max(0, at - ownStatus.behindSince),
        processes
      }
      return { status: 200, body }
    }
  }
}
