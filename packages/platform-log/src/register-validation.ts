/**
 * Validates register names and values. The result depends on the record alone, so that every process comes to the same
 * result.
 */
import { PARTITION_COUNT } from '@baobabpost/common'
import { isShallow, REGISTER_SCHEMAS, type BurnBucket, type RegisterKind } from '@baobabpost/messages'
import { Result, Schema } from 'effect'

type Decoder = (value: unknown) => Result.Result<unknown, { readonly message: string }>

const DECODERS = new Map<string, Decoder>(
  Object.entries(REGISTER_SCHEMAS).map(([kind, schema]) => [kind, Schema.decodeUnknownResult(schema) as Decoder])
)

/** Kinds of registers named by the identity of one process run; they are never written again once removed. */
const IDENTITY_KINDS: ReadonlySet<RegisterKind> = new Set<RegisterKind>(['agent', 'entry', 'burn'])

/** Whether registers of the kind are named by a process identity and are deleted from the table once removed. */
export function isIdentityKind (kind: RegisterKind): boolean {
  return IDENTITY_KINDS.has(kind)
}

/**
 * Returns the kind in a register's name, or undefined if there is no such kind.
 *
 * @example
 * parseRegisterKind('policy/lending') // 'policy'
 */
export function parseRegisterKind (register: string): RegisterKind | undefined {
  const slash = register.indexOf('/')
  const kind = register.slice(0, slash)
  return slash > 0 && DECODERS.has(kind) ? kind as RegisterKind : undefined
}

function nameFault (kind: RegisterKind, name: string, value: unknown): string | undefined {
  if (kind === 'partition') {
    const number = Number(name)
    return /^\d{1,5}$/.test(name) && number < PARTITION_COUNT ? undefined : 'there is no such partition'
  }
  if (kind === 'burn') {
    const { entry } = value as BurnBucket
    return name.startsWith(`${entry}.`) ? undefined : "the value's entry is not that of the register"
  }
  const identifyingKey = isIdentityKind(kind) ? 'identity' : 'name'
  const nameInValue = (value as Record<string, unknown>)[identifyingKey]
  return nameInValue === name ? undefined : `the value's ${identifyingKey} is not that of the register`
}

/**
 * Returns why the register can't have the value, or undefined if it can. `null`, a removal, is always valid.
 *
 * @example
 * findValueFault('team/medina', { name: 'medina', share: 1, maximumQueuedTasks: 100 }) // undefined
 */
export function findValueFault (register: string, value: unknown): string | undefined {
  const kind = parseRegisterKind(register)
  if (kind === undefined) return 'there is no such kind of register'
  const name = register.slice(kind.length + 1)
  if (name === '') return 'the register has no name'
  if (value === null) return undefined
  if (!isShallow(value)) return 'the value has too many levels'
  const decoded = DECODERS.get(kind)?.(value)
  if (decoded === undefined) return 'there is no such kind of register'
  if (Result.isFailure(decoded)) return decoded.failure.message.split('\n').join(' ')
  return nameFault(kind, name, value)
}
