/** Parses the register in a path of the operators' interface. */
import { DispatchError, Name } from '@baobabpost/common'
import { registerName } from '@baobabpost/messages'
import { Schema } from 'effect'
import type { Exchange } from '../http/route.js'

export const REGISTER_PATH = '/v1/configuration/:kind/:name'
/** Kinds of registers that operators may publish. The system itself writes the others. */
export const CONFIGURATION_KINDS = ['template', 'customer', 'team', 'policy', 'objective', 'drain'] as const

const isName = Schema.is(Name)

/**
 * Returns the name of the register in the path.
 *
 * @throws DispatchError of kind `malformed-request`.
 */
export function readRegister (exchange: Exchange): string {
  const { kind, name } = exchange.parameters
  const configurationKind = CONFIGURATION_KINDS.find(candidate => candidate === kind)
  if (configurationKind !== undefined && isName(name)) return registerName(configurationKind, name)
  const detail = `A register is KIND/NAME with a kind out of ${CONFIGURATION_KINDS.join(', ')}`
  throw new DispatchError({ kind: 'malformed-request', detail })
}
