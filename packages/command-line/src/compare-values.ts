/** Compares two JSON values member by member. */

/** A difference at one place of a value. */
export interface ValueDifference {
  /** Names of the members on the way, joined by dots. */
  readonly path: string
  /** JSON text, or nothing where the member is absent. */
  readonly before: string | undefined
  readonly after: string | undefined
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return value !== null && typeof value === 'object' && !Array.isArray(value)
}

function textOf (value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value)
}

/**
 * Lists the differences between two values, in the order of their paths. Arrays are compared as wholes.
 *
 * @example
 * compareValues({ share: 1 }, { share: 2 }) // [{ path: 'share', before: '1', after: '2' }]
 */
export function compareValues (before: unknown, after: unknown, path = ''): ValueDifference[] {
  if (isObject(before) && isObject(after)) {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
    return names.flatMap(name => compareValues(before[name], after[name], path === '' ? name : `${path}.${name}`))
  }
  const left = textOf(before)
  const right = textOf(after)
  return left === right ? [] : [{ path, before: left, after: right }]
}
