/** The register that a path of the operators' interface names. */
import { DispatchError, Name } from '@baobabpost/common'
import { registerName } from '@baobabpost/messages'
import { Schema } from 'effect'
import type { Exchange } from '../http/route.js'

/** Path of a register of configuration. */
export const REGISTER_PATH = '/v1/configuration/:kind/:name'
/** Kinds of registers that operators publish. The others belong to the system. */
export const CONFIGURATION_KINDS = ['template', 'customer', 'team', 'policy', 'objective', 'drain'] as const

const isName = Schema.is(Name)

/**
 * Reads the register of a path.
 *
 * @throws DispatchError of kind `malformed-request`.
 */
export function readRegister (exchange: Exchange): string {
  const { kind, name } = exchange.parameters
  const known = CONFIGURATION_KINDS.find(candidate => candidate === kind)
  if (known !== undefined && isName(name)) return registerName(known, name)
  const detail = `A register is KIND/NAME with a kind out of ${CONFIGURATION_KINDS.join(', ')}`
  throw new DispatchError({ kind: 'malformed-request', detail })
}
