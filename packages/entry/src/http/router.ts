/** Finds the route of a request. */
import type { Route } from './route.js'

/** A route that matches a request, with the named parts of the path. */
export interface RouteMatch {
  readonly route: Route
  readonly parameters: Readonly<Record<string, string>>
}

interface CompiledRoute {
  readonly route: Route
  readonly patternParts: readonly string[]
}

function decodePathPart (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}

function matchParts (
  patternParts: readonly string[], pathParts: readonly string[]
): Record<string, string> | undefined {
  if (patternParts.length !== pathParts.length) return undefined
  const parameters: Record<string, string> = {}
  for (const [position, expected] of patternParts.entries()) {
    const part = pathParts[position] ?? ''
    if (!expected.startsWith(':')) {
      if (expected !== part) return undefined
      continue
    }
    const decoded = decodePathPart(part)
    if (decoded === undefined || decoded === '') return undefined
    parameters[expected.slice(1)] = decoded
  }
  return parameters
}

/**
 * Creates a function that finds the route for a method and path.
 *
 * @example
 * createRouter(routes)('GET', '/livez')?.route.about
 */
export function createRouter (routes: readonly Route[]): (method: string, path: string) => RouteMatch | undefined {
  const compiled: CompiledRoute[] = routes.map(route => ({ route, patternParts: route.path.split('/') }))
  return (method, path) => {
    const pathParts = path.split('/')
    for (const { route, patternParts } of compiled) {
      if (route.method !== method) continue
      const parameters = matchParts(patternParts, pathParts)
      if (parameters !== undefined) return { route, parameters }
    }
    return undefined
  }
}
