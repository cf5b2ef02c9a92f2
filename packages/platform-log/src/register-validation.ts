/**
 * Judges whether a register may have a value. The judgement depends on the record alone, so every process judges alike.
 */
import { PARTITION_COUNT } from '@baobabpost/common'
import { REGISTER_SCHEMAS, type BurnBucket, type RegisterKind } from '@baobabpost/messages'
import { Result, Schema } from 'effect'

type Decoder = (value: unknown) => Result.Result<unknown, { readonly message: string }>

const DECODERS = new Map<string, Decoder>(
  Object.entries(REGISTER_SCHEMAS).map(([kind, schema]) => [kind, Schema.decodeUnknownResult(schema) as Decoder])
)

/** Registers named by the identity of one run of a process; once removed they are never written again. */
const IDENTITY_KINDS: ReadonlySet<RegisterKind> = new Set<RegisterKind>(['agent', 'entry', 'burn'])

/** Whether a register of the kind is forgotten once it is removed. */
export function isIdentityKind (kind: RegisterKind): boolean {
  return IDENTITY_KINDS.has(kind)
}

/**
 * Reads the kind from a register's name; undefined where there is no such kind.
 *
 * @example
 * registerKind('policy/lending') // 'policy'
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
  const member = isIdentityKind(kind) ? 'identity' : 'name'
  const named = (value as Record<string, unknown>)[member]
  return named === name ? undefined : `the value's ${member} is not that of the register`
}

/**
 * Finds the fault of a register's value; undefined where there is none. `null`, a removal, is always allowed.
 *
 * @example
 * valueFault('team/medina', { name: 'medina', share: 1, maximumQueuedTasks: 100 }) // undefined
 */
export function findValueFault (register: string, value: unknown): string | undefined {
  const kind = parseRegisterKind(register)
  if (kind === undefined) return 'there is no such kind of register'
  const name = register.slice(kind.length + 1)
  if (name === '') return 'the register has no name'
  if (value === null) return undefined
  const decoded = DECODERS.get(kind)?.(value)
  if (decoded === undefined) return 'there is no such kind of register'
  if (Result.isFailure(decoded)) return decoded.failure.message.split('\n').join(' ')
  return nameFault(kind, name, value)
}
