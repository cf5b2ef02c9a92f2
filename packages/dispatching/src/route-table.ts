/** The routes in force: which jobs an entry takes, and on what terms. A version never goes back. */

/** A route: a queue of jobs with its terms. */
export interface Route {
  readonly name: string
  /** Host that callers name. */
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  /** 0 goes first. */
  readonly priority: number
  /** Failed runs of a task after which its job has failed. */
  readonly maximumAttempts: number
  readonly stretch: number
  readonly targetLatencyMilliseconds: number
  /** Time that callers wait where they don't say, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** What this route asks for that is not served; undefined if all is. */
  readonly unsupported: string | undefined
}

/** A configuration as operators wrote it. */
export interface RouteConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly maximumBodyBytes: number
}

/** The routes in force. */
export interface RouteTable {
  /** Puts a configuration in force, unless a later one was. Returns whether it is in force now. */
  apply: (configuration: RouteConfiguration) => boolean
  /** Version in force; undefined before the first. */
  version: () => number | undefined
  maximumBodyBytes: () => number
  /** The route with the longest prefix that fits. */
  match: (host: string, path: string) => Route | undefined
}

/** Largest body before a configuration says so. */
const DEFAULT_BODY_BYTES = 262_144

/**
 * Makes an empty table of routes.
 *
 * @example
 * const routes = createRouteTable()
 * routes.apply(configuration)
 * routes.match('desk.example', '/loans/5c0e7a21d94b36f8')
 */
export function createRouteTable (): RouteTable {
  let current: RouteConfiguration | undefined
  const byHost = new Map<string, Route[]>()

  function apply (configuration: RouteConfiguration): boolean {
    if (current !== undefined && configuration.version < current.version) return false
    current = configuration
    byHost.clear()
    for (const route of configuration.routes) {
      const routes = byHost.get(route.host) ?? []
      routes.push(route)
      byHost.set(route.host, routes)
    }
    for (const routes of byHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    }
    return true
  }

  return {
    apply,
    version: () => current?.version,
    maximumBodyBytes: () => current?.maximumBodyBytes ?? DEFAULT_BODY_BYTES,
    match: (host, path) => {
      for (const route of byHost.get(host) ?? []) {
        if (path.startsWith(route.pathPrefix)) return route
      }
      return undefined
    }
  }
}
