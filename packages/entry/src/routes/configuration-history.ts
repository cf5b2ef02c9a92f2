/** `GET /v1/configuration/KIND/NAME/history`: the last versions of a register that this entry applied. */
import { NEVER_WRITTEN_VERSION, type ConfigurationHistory } from '@baobabpost/messages'
import type { Route } from '../http/route.js'
import { readRegister, REGISTER_PATH } from './register-path.js'
import type { SubmissionRouteOptions } from './run-operation.js'

/** Makes the route. */
export function createConfigurationHistoryRoute ({ core }: SubmissionRouteOptions): Route {
  return {
    method: 'GET',
    path: `${REGISTER_PATH}/history`,
    access: 'operator',
    about: 'Tells the last versions of a register of configuration',
    handle (exchange) {
      const register = readRegister(exchange)
      const versions = core.components.configuration.history(register)
      const oldest = versions.at(-1)
      const body: ConfigurationHistory = {
        register,
        versions: versions.map(({ version, value, appliedAt }) => ({ version, value, appliedAt })),
        truncated: oldest !== undefined && oldest.previousVersion !== NEVER_WRITTEN_VERSION
      }
      return { status: 200, body }
    }
  }
}
