/** What a route of the callers' and operators' HTTP interface is. Each route is a file of its own in `routes/`. */
import type { Principal } from '@baobabpost/access'

/** One request as a route gets it: authenticated, its body read and parsed. */
export interface Exchange {
  /** Parts of the path that the route's pattern names. */
  readonly parameters: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  /** The body as JSON; undefined where there is none. */
  readonly body: unknown
  /** Who calls; an open route gets undefined. */
  readonly principal: Principal | undefined
  /** Unix time in milliseconds at which the request arrived. */
  readonly arrivedAt: number
  /** Aborted when the caller breaks off. */
  readonly signal: AbortSignal
}

/** An answer to a request. */
export interface HttpAnswer {
  readonly status: number
  readonly body: unknown
  readonly retryAfterMilliseconds?: number
}

/** Who may use a route. */
export type RouteAccess = 'open' | 'caller' | 'operator'

/** One route. */
export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path with named parts, such as `/v1/submissions/:submission`. */
  readonly path: string
  readonly access: RouteAccess
  /** One line for the docs. */
  readonly about: string
  /**
   * Answers a request.
   *
   * @throws DispatchError for an answer of the closed list.
   */
  readonly handle: (exchange: Exchange) => Promise<HttpAnswer> | HttpAnswer
}
