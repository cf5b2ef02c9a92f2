/** `PUT /v1/configuration/KIND/NAME`: publishes a value against the version that it replaces. */
import { ConfigurationChange, type ConfigurationAccepted } from '@baobabpost/messages'
import { answerProblem } from '../http/caller-server.js'
import { createDecoder } from '../http/decode.js'
import type { HttpAnswer, Route } from '../http/route.js'
import { readRegister, REGISTER_PATH } from './register-path.js'
import type { SubmissionRouteOptions } from './run-operation.js'

const decodeChange = createDecoder(ConfigurationChange, 'malformed-request')

/** Makes the route. */
export function createPublishConfigurationRoute ({ core, now }: SubmissionRouteOptions): Route {
  return {
    method: 'PUT',
    path: REGISTER_PATH,
    access: 'operator',
    about: 'Publishes a register of configuration against the version that it replaces',
    handle (exchange) {
      const register = readRegister(exchange)
      const { replaces, value } = decodeChange(exchange.body)
      return new Promise<HttpAnswer>(resolve => {
        core.components.publisher.publish({ register, replaces, value }, now(), result => {
          if (result.kind === 'problem') {
            const answer = answerProblem(result.problem)
            resolve({ ...answer, body: { ...result.problem, version: result.version } })
            return
          }
          const body: ConfigurationAccepted = { register, version: result.version }
          resolve({ status: 200, body })
        })
      })
    }
  }
}
