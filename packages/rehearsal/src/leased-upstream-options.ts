/** Interface of the stand-in upstream: its options, its faults and what it tells an observer. */
import type { Mismatch, Size } from '@baobabpost/fleet-calls'
import type { CompletionKind, Upstream, UpstreamHeartbeat, UpstreamInstance } from '@baobabpost/runs'

/** Tasks of a step that crash each upstream which starts them. */
export interface StandInCrash {
  /** Numbers of these tasks in their step. */
  readonly tasks: readonly number[]
  /** Time from the start of such a task to the crash. */
  readonly afterMilliseconds: number
  /** Time for which nothing listens at the upstream. */
  readonly downMilliseconds: number
}

/** What identifies the kind of an upstream; its next instance may be of another one. */
export interface UpstreamKind {
  readonly service: string
  readonly labels: readonly string[]
}

/** Content of a specification for the stand-in: run time at speed 1, size, and whether the task fails. */
export interface StandInTask {
  readonly milliseconds: number
  readonly size: Size
  /** Service and label that the stand-in must have; absent for any. */
  readonly requires?: { readonly service: string, readonly label?: string }
  readonly fails?: boolean
  /** Factors on the run time by number of the task in its step; 1 for the others. */
  readonly factors?: Readonly<Record<number, number>>
  readonly crash?: StandInCrash
}

/** Faults of the stand-in; a test can set them at any time. */
export interface UpstreamFaults {
  /** Decides for each start or stop order whether it is handled `orderDelayMilliseconds` later and not answered. */
  isOrderDelayed: () => boolean
  orderDelayMilliseconds: number
  /** Decides the same for each list order. */
  isListDelayed: () => boolean
  /** Whether the lease that a delayed order carries counts from its arrival instead of its sending. */
  countsLeasesFromArrival: boolean
  /** Stop orders are neither carried out nor answered, while all others are. */
  losesStops: boolean
  /** Runs that start from now on never end by themselves. */
  hangs: boolean
  /** Runs that start from now on fail within a few milliseconds. */
  failsAll: boolean
  /** Runs that start before this time are cold and take `COLD_FACTOR` times as long. */
  coldUntil: number
  /** Whether heartbeats say how much longer the upstream is cold. */
  reportsCold: boolean
  /** No order is answered. */
  isUnresponsive: boolean
  /** Open connections are reset and new ones refused, while runs go on. */
  refusesConnections: boolean
}

/** Notified of starts and ends of runs at the stand-in. */
export interface UpstreamObserver {
  started: (upstream: string, task: string, overCapacity: boolean) => void
  /** A task was started at an upstream that does not meet its requirements. */
  startedUnsuitably?: (upstream: string, task: string, mismatch: Mismatch) => void
  /** A start order was sent, also one that is repeated or delayed. */
  ordered?: () => void
  ended: (upstream: string, task: string, kind: CompletionKind) => void
  /** An upstream crashed under tasks: `causes` are the one that caused it, or all that were there if none did. */
  crashed?: (causes: readonly string[], tasks: readonly string[]) => void
  /**
   * A start order was sent to an upstream that had said it leaves.
   *
   * @param milliseconds - Time since the heartbeat that said so was acknowledged.
   */
  orderedAfterLeaving: (upstream: string, task: string, milliseconds: number) => void
}

export interface LeasedUpstream {
  readonly upstream: Upstream
  readonly faults: UpstreamFaults
  report: () => UpstreamHeartbeat
  /** Returns the current instance of the upstream. */
  instance: () => UpstreamInstance
  /** From now on, heartbeats say that the upstream leaves; until it crashes. */
  setDraining: () => void
  /**
   * Changes the capacity, and returns how the heartbeats will say so from now on. Starts are held against the highest
   * capacity within `graceMilliseconds`, in which agents may not have heard of it.
   */
  setCapacity: (capacity: Size, graceMilliseconds: number) => void
  /** Changes the speed, also of the present runs, without a word in the heartbeats. */
  setSpeed: (speed: number) => void
  /** Records that an agent has acknowledged a heartbeat. */
  acknowledge: (heartbeat: UpstreamHeartbeat) => void
  /** Ends all runs, loses all state and starts a new instance under the same identity, after a time without any. */
  crash: (downMilliseconds?: number) => void
  /** Sets the kind of the instances after the present one. */
  setNextKind: (kind: Partial<UpstreamKind>) => void
  /** Whether nothing listens at the upstream. */
  isDown: () => boolean
  runningCount: () => number
  /** Number of runs that were started, over all instances. */
  startCount: () => number
}

export interface LeasedUpstreamOptions {
  readonly name: string
  readonly service: string
  /** `domain-1` by default. */
  readonly failureDomain?: string
  readonly capacity: Size
  /** Labels of the first instance; none by default. */
  readonly labels?: readonly string[]
  /** Divisor of run times: 2 runs tasks in half the time. */
  readonly speed: number
  /** Part of each run time that does not depend on the task or the speed, in milliseconds; 0 by default. */
  readonly fixedMilliseconds?: number
  /** Clock of the stand-in, in milliseconds. */
  readonly now: () => number
  readonly observer: UpstreamObserver
  /** Whether each instance has an id of its own; by default an upstream keeps its id when it starts again. */
  readonly changesId?: boolean
  /**
   * Whether an instance also carries out the delayed orders of the former one under the same id; an order names no more
   * than that. Its clock then begins anew with each instance. False by default.
   */
  readonly keepsDelayedOrders?: boolean
}

/** Creates the faults of a stand-in without any. */
export function createFaults (): UpstreamFaults {
  return {
    isOrderDelayed: () => false,
    orderDelayMilliseconds: 3_000,
    isListDelayed: () => false,
    countsLeasesFromArrival: false,
    losesStops: false,
    hangs: false,
    failsAll: false,
    coldUntil: 0,
    reportsCold: true,
    isUnresponsive: false,
    refusesConnections: false
  }
}
