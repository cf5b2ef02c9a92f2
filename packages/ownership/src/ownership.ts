/**
 * Types of the ownership of partitions at one entry.
 *
 * All times are Unix milliseconds of this process's clock; offsets are offsets of the platform's log.
 */
import type { AgentIdentity, EntryIdentity, Invariants } from '@baobabpost/common'
import type {
  Collected, Handover, HandoverTaken, Outbox, OwnerLeases, SubmissionHandover, SubmissionRecord
} from '@baobabpost/messages'

/** A change of a register's value; `value` is `null` or undefined if the register was removed. */
export interface RegisterChange {
  readonly register: string
  /** Log offset of the record with the change. */
  readonly version: number
  readonly value: unknown
  /** Version before the change; `NEVER_WRITTEN` for a new register. */
  readonly previousVersion: number
}

/** Ownership of a partition, as far as this entry has read the log. */
export type PartitionState =
  | { readonly kind: 'none' }
  | { readonly kind: 'elsewhere', readonly owner: EntryIdentity, readonly epoch: number }
  | OwnedPartition

/** A partition that this entry owns. */
export interface OwnedPartition {
  readonly kind: 'ours'
  readonly epoch: number
  /** `collecting`: agents have not yet reported what they started for earlier owners, so nothing is dispatched. */
  readonly phase: 'collecting' | 'serving'
  /** Number of agents that may hold tasks of an earlier owner and have not answered. */
  readonly unaccounted: number
  /**
   * An unknown key made before this time may have run under an earlier owner and gets `outcome-unknown`.
   * `0` if every unknown key is known to be new, `Infinity` if none is.
   */
  readonly uncertainBefore: number
}

/** Functions of the entry that ownership calls. */
export interface OwnershipPorts {
  readonly outbox: Outbox
  /** Called after each change of a partition's state. */
  readonly partitionChanged: (partition: number, state: PartitionState, now: number) => void
  /** Applies an agent's records; called before the partition's state counts the agent as answered. */
  readonly recordsCollected: (agent: AgentIdentity, records: readonly SubmissionRecord[], now: number) => void
  /** Returns all submissions of a partition that moved away; called before `partitionChanged`. */
  readonly exportPartition: (partition: number, now: number) => readonly SubmissionHandover[]
  /** Imports the submissions that the previous owner handed over; called before `partitionChanged`. */
  readonly importPartition: (partition: number, submissions: readonly SubmissionHandover[], now: number) => void
}

export interface OwnershipOptions {
  readonly identity: EntryIdentity
  readonly ports: OwnershipPorts
  readonly invariants: Invariants
  readonly startedAt: number
  /** Time for which a submission key is remembered. */
  readonly keyWindowMilliseconds: number
  /** Maximum difference between two clocks of the fleet. */
  readonly clockSkewMilliseconds: number
  /** Leases of this entry; it has to tell them in its registration. */
  readonly leases?: OwnerLeases
  /** Time after which a takeover starts serving without the agents that have not answered. */
  readonly collectTimeoutMilliseconds?: number
  /** Time that an owner must be missing from the live entries before its partitions are claimed. */
  readonly ownerAbsenceMilliseconds?: number
  /** Time that the live entries must be unchanged before partitions are claimed or moved. */
  readonly stabilizationMilliseconds?: number
  /** Time after which an append whose result has not been read from the log is repeated. */
  readonly appendRetryMilliseconds?: number
}

/** Progress of a stopping entry that hands its partitions over. */
export interface HandoverProgress {
  /** Number of partitions that are still owned, or handed over but not acknowledged by the next owner. */
  readonly remainingPartitions: number
}

export interface Ownership {
  /** Sets the entries that are alive, including this one. */
  setLiveEntries: (entries: readonly EntryIdentity[], now: number) => void
  /** Applies register changes, known completely up to the log offset `position`. Ignores kinds that it does not use. */
  registersChanged: (changes: readonly RegisterChange[], position: number, now: number) => void
  /** Called when a read that started at the given time reached the end of the log. */
  logReadToEnd: (startedAt: number, now: number) => void
  /**
   * Called when an entry answered the heartbeat sent at the given time; `position` is the log offset that the entry has
   * applied. The registers in the answer must have been applied before. The answer of an entry that has applied more of
   * the log than this one does not renew the lease.
   */
  heartbeatAnswered: (entry: EntryIdentity, sentAt: number, position: number, now: number) => void
  /** Called when an entry reported the log offset that it has applied. */
  peerPositionReported: (entry: EntryIdentity, position: number, now: number) => void
  /** Handles an agent's answer to `collect`. */
  collected: (agent: AgentIdentity, message: Collected, now: number) => void
  /** Handles a part of a handover from the previous owner of partitions. */
  handover: (from: EntryIdentity, message: Handover, now: number) => void
  /** Handles the next owner's acknowledgement of a handover. */
  handoverTaken: (from: EntryIdentity, message: HandoverTaken, now: number) => void
  /** Stops claiming and hands every partition over to the other live entries. Can be called again for the progress. */
  stop: (now: number) => HandoverProgress
  /** Sends the claims, collects, resends and handovers that are due. Must be called about every 50 milliseconds. */
  tick: (now: number) => void
  partitionState: (partition: number) => PartitionState
  /** Returns the epoch under which tasks of the partition may be dispatched now, or undefined if they may not. */
  dispatchEpoch: (partition: number, now: number) => number | undefined
  /**
   * Whether this entry may declare tasks of its partitions as not run. The next owner starts nothing before this
   * permission has expired, unless the partition was handed over to it.
   */
  mayDeclareNotRun: (now: number) => boolean
  /** Whether the owner lease holds. */
  mayDispatch: (now: number) => boolean
  /** Returns the time at which the owner lease expires, which bounds `startBefore` of dispatches. */
  leaseEnd: (now: number) => number
  /** Whether the agent is registered as joined, so that tasks of submissions may go to it. */
  isJoined: (agent: AgentIdentity) => boolean
  ownedCount: () => number
}
