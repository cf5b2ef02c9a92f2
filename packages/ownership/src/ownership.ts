/**
 * Contract of the ownership of partitions at one entry.
 *
 * All times are Unix milliseconds of this process's clock; offsets are offsets of the platform's log.
 */
import type { AgentIdentity, EntryIdentity, Invariants } from '@baobabpost/common'
import type {
  Collected, Handover, HandoverTaken, Outbox, SubmissionHandover, SubmissionRecord
} from '@baobabpost/messages'

/** A register that took a new value, in log order. `value` is `null` or undefined where it was removed. */
export interface RegisterChange {
  readonly register: string
  /** Offset of the record that made the change. */
  readonly version: number
  readonly value: unknown
  /** Version before the change, `NEVER_WRITTEN` for a new register. */
  readonly previousVersion: number
}

/** What this entry knows of a partition. */
export type PartitionState =
  | { readonly kind: 'none' }
  | { readonly kind: 'elsewhere', readonly owner: EntryIdentity, readonly epoch: number }
  | PartitionOfOurs

/** A partition that this entry owns. */
export interface PartitionOfOurs {
  readonly kind: 'ours'
  readonly epoch: number
  /** `collecting`: what agents started for earlier owners isn't known yet; nothing is dispatched. */
  readonly phase: 'collecting' | 'serving'
  /** Agents that may have worked for an earlier owner and have not answered. */
  readonly unaccounted: number
  /**
   * Keys made before this time that nobody knows may have run: they get `outcome-unknown`.
   * `0` where every unknown key is proven new, `Infinity` where none is.
   */
  readonly uncertainBefore: number
}

/** What ownership needs from the rest of the entry. */
export interface OwnershipPorts {
  readonly outbox: Outbox
  /** Called after each change of a partition's state. */
  readonly partitionChanged: (partition: number, state: PartitionState, now: number) => void
  /** Takes in what an agent knows; called before the partition's state tells that the agent is accounted for. */
  readonly recordsCollected: (agent: AgentIdentity, records: readonly SubmissionRecord[], now: number) => void
  /** Gives all that is known of a partition that moved away; called before `partitionChanged`. */
  readonly exportPartition: (partition: number, now: number) => readonly SubmissionHandover[]
  /** Takes in what the previous owner knew; called before `partitionChanged`. */
  readonly importPartition: (partition: number, submissions: readonly SubmissionHandover[], now: number) => void
}

/** Settings of the ownership of partitions. */
export interface OwnershipOptions {
  readonly identity: EntryIdentity
  readonly ports: OwnershipPorts
  readonly invariants: Invariants
  readonly startedAt: number
  /** Time for which a submission key is remembered. */
  readonly keyWindowMilliseconds: number
  /** Greatest difference between two clocks of the fleet. */
  readonly clockSkewMilliseconds: number
  /** Time for which an owner may dispatch after it last learned that it still is the owner. */
  readonly ownerLeaseMilliseconds?: number
  /** Time for which an owner may judge that a task did not run after it last learned that it still is the owner. */
  readonly verdictLeaseMilliseconds?: number
  /** Time after which a takeover serves without the agents that have not answered. */
  readonly collectBoundMilliseconds?: number
  /** Time for which an owner must be absent from the live entries before its partitions are claimed. */
  readonly ownerAbsenceMilliseconds?: number
  /** Time for which the live entries must be unchanged before partitions are claimed or moved. */
  readonly settleMilliseconds?: number
  /** Time after which an append without a visible result is repeated. */
  readonly appendRetryMilliseconds?: number
}

/** A partition that this entry hands to its next owner. */
export interface HandoverProgress {
  /** Partitions still owned, or handed over without the next owner's word that it has them. */
  readonly remainingPartitions: number
}

/** Ownership of partitions at one entry. */
export interface Ownership {
  /** Names the entries that live, this one included. */
  setLiveEntries: (entries: readonly EntryIdentity[], now: number) => void
  /** Takes in changes of registers and the offset up to which all are known. Kinds not its own are ignored. */
  registersChanged: (changes: readonly RegisterChange[], position: number, now: number) => void
  /** The log was read to its end by a read that started at the given time. */
  logReadToEnd: (startedAt: number, now: number) => void
  /**
   * An entry answered the heartbeat sent at the given time; `position` is the log offset that it has applied.
   * The registers in the answer have to be taken in before; an answer from further ahead doesn't count for the lease.
   */
  heartbeatAnswered: (entry: EntryIdentity, sentAt: number, position: number, now: number) => void
  /** An entry told the log offset that it has applied. */
  peerPositionReported: (entry: EntryIdentity, position: number, now: number) => void
  /** An agent answered `collect`. */
  collected: (agent: AgentIdentity, message: Collected, now: number) => void
  /** The previous owner of partitions hands them over. */
  handover: (from: EntryIdentity, message: Handover, now: number) => void
  /** The next owner of partitions has taken them over. */
  handoverTaken: (from: EntryIdentity, message: HandoverTaken, now: number) => void
  /** Claims nothing more and moves every partition to the other live entries. */
  stop: (now: number) => HandoverProgress
  /** Claims, collects, repeats and moves what is due. Call it about every 50 milliseconds. */
  tick: (now: number) => void
  partitionState: (partition: number) => PartitionState
  /** Epoch under which work of the partition may be dispatched now, or undefined where it may not. */
  dispatchEpoch: (partition: number, now: number) => number | undefined
  /**
   * Whether this entry may still tell that a task of its partitions did not run. A next owner starts nothing before
   * this has ended, unless it was handed the partition.
   */
  mayDeclareNotRun: (now: number) => boolean
  /** Whether the owner lease holds. */
  mayDispatch: (now: number) => boolean
  /** Time at which the owner lease ends, for `startBefore` of dispatches. */
  leaseEnd: (now: number) => number
  /** Whether the agent's registration was read as joined, so that keyed work may go to it. */
  isJoined: (agent: AgentIdentity) => boolean
  /** Number of partitions that this entry owns. */
  ownedCount: () => number
}
