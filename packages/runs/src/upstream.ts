/** Interface of an upstream that runs tasks under leases; an adapter implements it with a platform's protocol. */
import type { Size } from '@baobabpost/fleet-calls'

/** Identifies one instance of an upstream: the time from one start of its process to the next. */
export interface UpstreamInstance {
  readonly id: string
  /** Start time in Unix milliseconds; undefined if the upstream does not report it. */
  readonly startedAt: number | undefined
}

/** Contents of an upstream's heartbeat. */
export interface UpstreamHeartbeat {
  readonly instance: UpstreamInstance
  /** Rises with each heartbeat of an instance. */
  readonly sequence: number
  readonly service: string
  readonly failureDomain: string
  readonly capacity: Size
  readonly labels: readonly string[]
  readonly isDraining: boolean
  /** Remaining time in which runs take longer than usual, after a start or idle time; undefined if not reported. */
  readonly coldRemainingMilliseconds?: number
}

/** An order to start a run. */
export interface StartOrder {
  readonly task: string
  readonly run: number
  readonly specification: string
  /** Fencing token; the upstream rejects an order whose token is lower than one that it has seen. */
  readonly fencingToken: number
  /** New end of the lease of all runs, in milliseconds of the upstream's clock; undefined while that is unknown. */
  readonly leaseUntil: number | undefined
  readonly instance: UpstreamInstance | undefined
}

/** An order to stop a run; the upstream also rejects a later order to start this run. */
export interface StopOrder {
  readonly task: string
  readonly run: number
  readonly fencingToken: number
  readonly instance: UpstreamInstance | undefined
}

/** An order to renew the lease, drop acknowledged completions and list runs and completions. */
export interface ListOrder {
  readonly fencingToken: number
  /** New end of the lease of all runs, in milliseconds of the upstream's clock; undefined leaves it unchanged. */
  readonly leaseUntil: number | undefined
  /** The upstream drops completions up to this number. */
  readonly acknowledgedCompletion: number
  /** Longest time that the upstream waits for a completion before it answers. */
  readonly waitMilliseconds: number
  readonly instance: UpstreamInstance | undefined
}

/**
 * Outcome of an order.
 *
 * - `taken`: carried out;
 * - `fenced`: rejected because of an older fencing token; nothing was done;
 * - `old-run`: rejected because the upstream has seen this run number of the task, or a higher one;
 * - `late`: rejected because its lease has already expired;
 * - `no-room`, `unhealthy`, `invalid`: refused; nothing was done;
 * - `other-life`: another instance of the upstream answered; nothing was done;
 * - `unreachable`: nothing listens at the address; nothing was done;
 * - `unanswered`: no answer in time; the order may have been carried out, or may be later.
 */
export type OrderOutcome =
  | 'taken' | 'fenced' | 'old-run' | 'late' | 'no-room' | 'unhealthy' | 'invalid' | 'other-life' | 'unreachable'
  | 'unanswered'

export interface OrderAnswer {
  readonly outcome: OrderOutcome
  /** Upstream's clock when it answered, in milliseconds; undefined if it did not send one. */
  readonly clock: number | undefined
}

/** How a run ended at an upstream; `lapsed` because its lease expired. */
export type CompletionKind = 'done' | 'failed' | 'stopped' | 'lapsed'

/** A run that an upstream lists as running. */
export interface ListedRun {
  readonly task: string
  readonly run: number
  /** Progress, 0 to 100. */
  readonly percent: number
}

/** A completed run that an upstream lists until the agent acknowledges it. */
export interface ListedCompletion {
  /** Rises by 1 with each completion at an instance of the upstream. */
  readonly number: number
  readonly task: string
  readonly run: number
  readonly kind: CompletionKind
}

/** The runs and unacknowledged completions of an upstream. */
export interface Listing {
  /** Start of the instance in Unix milliseconds; undefined if the upstream does not report it. */
  readonly startedAt: number | undefined
  readonly running: readonly ListedRun[]
  /** Tasks of rows that did not decode, of which it is not known whether they run; absent without any. */
  readonly doubtfulTasks?: ReadonlySet<string>
  readonly ended: readonly ListedCompletion[]
}

/** Answer to a list order; has a listing if the outcome is `taken`. */
export interface ListAnswer extends OrderAnswer {
  readonly listing?: Listing
}

/** Sends orders to an upstream. A promise resolves to the outcome `unanswered` after the timeout. */
export interface Upstream {
  start: (order: StartOrder, timeoutMilliseconds: number) => Promise<OrderAnswer>
  stop: (order: StopOrder, timeoutMilliseconds: number) => Promise<OrderAnswer>
  list: (order: ListOrder, timeoutMilliseconds: number) => Promise<ListAnswer>
}
