/** `POST /v1/upstreams/AGENT/drain`: drains an agent, after which no entry sends it new work. */
import { DispatchError, processName } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, registerName, type DrainAccepted } from '@baobabpost/messages'
import { answerProblem } from '../http/caller-server.js'
import type { HttpAnswer, Route } from '../http/route.js'
import { selectDrained } from '../drains.js'
import type { CoreRouteOptions } from './run-operation.js'

/** Creates the route. To undo a drain, publish `null` to its register; there is no `DELETE` route. */
export function createDrainUpstreamRoute ({ core, now }: CoreRouteOptions): Route {
  return {
    method: 'POST',
    path: '/v1/upstreams/:agent/drain',
    access: 'operator',
    about: 'Drains an agent: no entry sends it new work until the register is removed',
    handle (exchange) {
      const { projection, membership, publisher, dispatcher } = core.components
      const requestedAgent = exchange.parameters.agent ?? ''
      const agents = selectDrained(membership.usableAgents().map(({ identity }) => identity), requestedAgent)
      const [agent] = agents
      if (agent === undefined) {
        throw new DispatchError({ kind: 'unknown-route', detail: `No usable agent is called ${requestedAgent.slice(0, 100)}` })
      }
      const name = processName(agent)
      const register = registerName('drain', name)
      const replaces = projection.read(register)?.version ?? NEVER_WRITTEN_VERSION
      const value = { name, reason: exchange.query.get('reason') ?? 'drained by an operator' }
      return new Promise<HttpAnswer>(resolve => {
        publisher.publish({ register, replaces, value }, now(), result => {
          if (result.kind === 'problem') {
            resolve(answerProblem(result.problem))
            return
          }
          const unfinished = agents.reduce((sum, identity) => sum + dispatcher.inFlightCountAt(identity), 0)
          const body: DrainAccepted = { agent, standing: 'leaving', unfinished }
          resolve({ status: 200, body })
        })
      })
    }
  }
}
