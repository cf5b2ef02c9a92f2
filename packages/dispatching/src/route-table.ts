/** The routes in force: which jobs an entry accepts, and with which limits. An older version never replaces a newer. */

/** Jobs that share a host and path prefix, and the service, priority and limits that apply to them. */
export interface Route {
  readonly name: string
  /** Host name in the requests of callers. */
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  /** 0 goes first. */
  readonly priority: number
  /** Failed runs of a task after which its job has failed. */
  readonly maximumAttempts: number
  /** Multiple of the longest chain of estimated work that the objective of a job allows. */
  readonly stretch: number
  /** Added to that multiple of the longest chain to give the objective of a job. */
  readonly targetLatencyMilliseconds: number
  /** Time that a caller waits for the answer if its request does not say, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** Option of this route that is not supported; undefined if all are. */
  readonly unsupported: string | undefined
}

/** A version of the configuration that operators publish. */
export interface RouteConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly maximumBodyBytes: number
}

export interface RouteTable {
  /** Puts a configuration in force unless a later version is. Returns whether the given one is now in force. */
  apply: (configuration: RouteConfiguration) => boolean
  /** Version in force; undefined before the first configuration. */
  version: () => number | undefined
  maximumBodyBytes: () => number
  /** Returns the route of the host with the longest prefix that the path begins with. */
  match: (host: string, path: string) => Route | undefined
}

/** Maximum size of a body before the first configuration is read. */
const DEFAULT_MAXIMUM_BODY_BYTES = 262_144

/**
 * Creates an empty route table.
 *
 * @example
 * const routes = createRouteTable()
 * routes.apply(configuration)
 * routes.match('desk.example', '/loans/5c0e7a21d94b36f8')
 */
export function createRouteTable (): RouteTable {
  let current: RouteConfiguration | undefined
  const routesByHost = new Map<string, Route[]>()

  function apply (configuration: RouteConfiguration): boolean {
    if (current !== undefined && configuration.version < current.version) return false
    current = configuration
    routesByHost.clear()
    for (const route of configuration.routes) {
      const routes = routesByHost.get(route.host) ?? []
      routes.push(route)
      routesByHost.set(route.host, routes)
    }
    for (const routes of routesByHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    }
    return true
  }

  return {
    apply,
    version: () => current?.version,
    maximumBodyBytes: () => current?.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES,
    match: (host, path) => {
      for (const route of routesByHost.get(host) ?? []) {
        if (path.startsWith(route.pathPrefix)) return route
      }
      return undefined
    }
  }
}
