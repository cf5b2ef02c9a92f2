/** Checks a publication before it is appended. Unlike readers of the log, this check rejects unknown members. */
import { REGISTER_SCHEMAS } from '@baobabpost/messages'
import { parseRegisterKind, findValueFault } from '@baobabpost/platform-log'
import { Result, Schema } from 'effect'
import { isConfigurationRegister } from './create-configuration.js'
import type { Publication } from './publisher.js'

/** Returns what is wrong with a publication, or undefined if it is valid. */
export function findPublicationFault ({ register, value }: Publication): string | undefined {
  const kind = parseRegisterKind(register)
  if (kind === undefined || !isConfigurationRegister(register)) return `'${register}' is not configuration`
  const fault = findValueFault(register, value)
  if (fault !== undefined) return `The value of '${register}': ${fault}`
  if (value === null) return undefined
  const schema = REGISTER_SCHEMAS[kind] as Schema.Codec<unknown>
  const decoded = Schema.decodeUnknownResult(schema, { onExcessProperty: 'error' })(value)
  if (Result.isSuccess(decoded)) return undefined
  return `The value of '${register}': ${decoded.failure.message.split('\n').join(' ')}`
}
