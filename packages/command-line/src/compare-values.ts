/** Compares two JSON values member by member. */

/** Difference of two values at one path. */
export interface ValueDifference {
  /** Names of the nested members, joined by dots; empty for the value itself. */
  readonly path: string
  /** JSON text, or `undefined` if the member is absent. */
  readonly before: string | undefined
  readonly after: string | undefined
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return value !== null && typeof value === 'object' && !Array.isArray(value)
}

function toJsonText (value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value)
}

/**
 * Lists the differences between two JSON values, sorted by path. Arrays are compared as a whole, not by element.
 *
 * @example
 * compareValues({ share: 1 }, { share: 2 }) // [{ path: 'share', before: '1', after: '2' }]
 */
export function compareValues (before: unknown, after: unknown, path = ''): ValueDifference[] {
  if (isObject(before) && isObject(after)) {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
    return names.flatMap(name => compareValues(before[name], after[name], path === '' ? name : `${path}.${name}`))
  }
  const left = toJsonText(before)
  const right = toJsonText(after)
  return left === right ? [] : [{ path, before: left, after: right }]
}
