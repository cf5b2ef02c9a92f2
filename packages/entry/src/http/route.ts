/** Types of the HTTP interface for callers and operators. Each route has its own file in `routes/`. */
import type { Principal } from '@baobabpost/access'

/** One request as passed to a route: authenticated, with its body read and parsed. */
export interface Exchange {
  /** Parts of the path by their names in the route's pattern. */
  readonly parameters: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  /** The parsed JSON body; undefined if there is none. */
  readonly body: unknown
  /** The authenticated caller or operator; undefined on an open route. */
  readonly principal: Principal | undefined
  /** Unix time in milliseconds at which the request arrived. */
  readonly arrivedAt: number
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

export interface HttpAnswer {
  readonly status: number
  readonly body: unknown
  readonly retryAfterMilliseconds?: number
}

/** Who may use a route. */
export type RouteAccess = 'open' | 'caller' | 'operator'

export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path with named parts, such as `/v1/submissions/:submission`. */
  readonly path: string
  readonly access: RouteAccess
  /** One-line description. */
  readonly about: string
  /**
   * Answers a request.
   *
   * @throws DispatchError for an answer with an error kind.
   */
  readonly handle: (exchange: Exchange) => Promise<HttpAnswer> | HttpAnswer
}
