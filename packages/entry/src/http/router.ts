/** Finds the route of a request. */
import type { Route } from './route.js'

/** A route that fits, with the named parts of the path. */
export interface RouteMatch {
  readonly route: Route
  readonly parameters: Readonly<Record<string, string>>
}

interface CompiledRoute {
  readonly route: Route
  readonly parts: readonly string[]
}

function decodePart (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}

function matchParts (pattern: readonly string[], given: readonly string[]): Record<string, string> | undefined {
  if (pattern.length !== given.length) return undefined
  const parameters: Record<string, string> = {}
  for (const [position, expected] of pattern.entries()) {
    const part = given[position] ?? ''
    if (!expected.startsWith(':')) {
      if (expected !== part) return undefined
      continue
    }
    const decoded = decodePart(part)
    if (decoded === undefined || decoded === '') return undefined
    parameters[expected.slice(1)] = decoded
  }
  return parameters
}

/**
 * Makes the function that finds the route of a method and path.
 *
 * @example
 * createRouter(routes)('GET', '/livez')?.route.about
 */
export function createRouter (routes: readonly Route[]): (method: string, path: string) => RouteMatch | undefined {
  const compiled: CompiledRoute[] = routes.map(route => ({ route, parts: route.path.split('/') }))
  return (method, path) => {
    const given = path.split('/')
    for (const { route, parts } of compiled) {
      if (route.method !== method) continue
      const parameters = matchParts(parts, given)
      if (parameters !== undefined) return { route, parameters }
    }
    return undefined
  }
}
