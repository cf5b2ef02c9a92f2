/** Contract of an upstream that runs tasks under leases: what an adapter translates to the words of a platform. */
import type { Size } from '@baobabpost/fleet-calls'

/** Names one life of an upstream. */
export interface UpstreamInstance {
  readonly id: string
  /** Unix milliseconds of its start; undefined where it does not say. */
  readonly startedAt: number | undefined
}

/** What an upstream tells of itself in a heartbeat. */
export interface UpstreamHeartbeat {
  readonly instance: UpstreamInstance
  /** Rises with each heartbeat of a life. */
  readonly sequence: number
  readonly service: string
  readonly failureDomain: string
  readonly capacity: Size
  readonly labels: readonly string[]
  readonly isDraining: boolean
}

/** An order to start a run. */
export interface StartOrder {
  readonly task: string
  readonly run: number
  readonly specification: string
  /** Orders with a lower one than the upstream has seen do nothing. */
  readonly fencingToken: number
  /** Time on the upstream's clock up to which everything there may run; undefined before its clock is known. */
  readonly leaseUntil: number | undefined
  readonly instance: UpstreamInstance | undefined
}

/** An order to stop a run, which also keeps it from starting later. */
export interface StopOrder {
  readonly task: string
  readonly run: number
  readonly fencingToken: number
  readonly instance: UpstreamInstance | undefined
}

/** An order to renew the lease, forget ends and list what there is. */
export interface ListOrder {
  readonly fencingToken: number
  /** Undefined renews nothing. */
  readonly leaseUntil: number | undefined
  /** Ends up to this number are forgotten. */
  readonly acknowledgedCompletion: number
  /** Time to wait for an end, in milliseconds. */
  readonly waitMilliseconds: number
  readonly instance: UpstreamInstance | undefined
}

/**
 * How an order was answered.
 *
 * - `taken`: carried out;
 * - `fenced`, `old-run`, `late`, `no-room`, `unhealthy`, `invalid`: refused, nothing was done;
 * - `other-life`: another life of the upstream answered, nothing was done;
 * - `unreachable`: nothing listens there, nothing was done;
 * - `unanswered`: it may have been carried out, or may be later.
 */
export type OrderOutcome =
  | 'taken' | 'fenced' | 'old-run' | 'late' | 'no-room' | 'unhealthy' | 'invalid' | 'other-life' | 'unreachable'
  | 'unanswered'

/** Answer to an order. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome
  /** The upstream's clock when it answered, in milliseconds. */
  readonly clock: number | undefined
}

/** How a run ended at an upstream. */
export type CompletionKind = 'done' | 'failed' | 'stopped' | 'lapsed'

/** A run that an upstream lists as running. */
export interface ListedRun {
  readonly task: string
  readonly run: number
  /** Progress, 0 to 100. */
  readonly percent: number
}

/** An end that an upstream lists. */
export interface ListedCompletion {
  /** Rises by 1 with each end of a life of the upstream. */
  readonly number: number
  readonly task: string
  readonly run: number
  readonly kind: CompletionKind
}

/** What an upstream lists. */
export interface Listing {
  readonly startedAt: number | undefined
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedCompletion[]
}

/** Answer to an order to list; the listing is there if it was taken. */
export interface ListAnswer extends OrderAnswer {
  readonly listing?: Listing
}

/** An upstream. */
export interface Upstream {
  start: (order: StartOrder, timeoutMilliseconds: number) => Promise<OrderAnswer>
  stop: (order: StopOrder, timeoutMilliseconds: number) => Promise<OrderAnswer>
  list: (order: ListOrder, timeoutMilliseconds: number) => Promise<ListAnswer>
}
