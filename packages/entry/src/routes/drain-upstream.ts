/** `POST /v1/upstreams/AGENT/drain`: from now on no entry sends the agent new work. */
import { DispatchError } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, registerName, type DrainAccepted } from '@baobabpost/messages'
import { answerProblem } from '../http/caller-server.js'
import type { HttpAnswer, Route } from '../http/route.js'
import { agentName } from '../drains.js'
import type { SubmissionRouteOptions } from './run-operation.js'

/** Makes the route. `DELETE /v1/configuration/drain/NAME` has no route: publish `null` to undo a drain. */
export function createDrainUpstreamRoute ({ core, now }: SubmissionRouteOptions): Route {
  return {
    method: 'POST',
    path: '/v1/upstreams/:agent/drain',
    access: 'operator',
    about: 'Drains an agent: no entry sends it new work until the register is removed',
    handle (exchange) {
      const { projection: fold, membership, publisher, dispatcher } = core.components
      const wanted = exchange.parameters.agent ?? ''
      const agent = membership.usableAgents().find(view =>
        view.identity === wanted || agentName(view.identity) === wanted)
      if (agent === undefined) {
        throw new DispatchError({ kind: 'unknown-route', detail: `No usable agent is called ${wanted.slice(0, 100)}` })
      }
      const name = agentName(agent.identity)
      const register = registerName('drain', name)
      const replaces = fold.read(register)?.version ?? NEVER_WRITTEN_VERSION
      const value = { name, reason: exchange.query.get('reason') ?? 'drained by an operator' }
      return new Promise<HttpAnswer>(resolve => {
        publisher.publish({ register, replaces, value }, now(), result => {
          if (result.kind === 'problem') {
            resolve(answerProblem(result.problem))
            return
          }
          const unfinished = dispatcher.inFlightAt(agent.identity)
          const body: DrainAccepted = { agent: agent.identity, standing: 'leaving', unfinished }
          resolve({ status: 200, body })
        })
      })
    }
  }
}
