/** `GET /v1/configuration/KIND/NAME`: shows a register with its version. */
import type { ConfigurationRegister } from '@baobabpost/messages'
import { NEVER_WRITTEN_VERSION } from '@baobabpost/messages'
import type { Route } from '../http/route.js'
import { readRegister, REGISTER_PATH } from './register-path.js'
import type { SubmissionRouteOptions } from './run-operation.js'

/** Makes the route. A register that was never written has version 0 and no value. */
export function createShowConfigurationRoute ({ core }: SubmissionRouteOptions): Route {
  return {
    method: 'GET',
    path: REGISTER_PATH,
    access: 'operator',
    about: 'Shows one register of configuration with its version',
    handle (exchange) {
      const register = readRegister(exchange)
      const found = core.components.projection.read(register)
      const body: ConfigurationRegister = found ?? { register, version: NEVER_WRITTEN_VERSION, value: null }
      return { status: 200, body }
    }
  }
}
