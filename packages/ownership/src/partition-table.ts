/** Partitions as their registers define them, and the effect of each register change on this entry. */
import { type EntryIdentity, PARTITION_COUNT } from '@baobabpost/common'
import { NEVER_WRITTEN_VERSION, PartitionOwner } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import type { PartitionState, RegisterChange } from './ownership.js'
import type { Takeover } from './takeover.js'

interface PartitionView {
  owner: EntryIdentity | undefined
  version: number
  /** Takeover that is still active. */
  takeover: Takeover | undefined
  /** Whether this entry acquired the partition and its takeover has not begun, so that no submission is known. */
  isTakeoverDue: boolean
  /** Value at the end of the last takeover. */
  uncertainBefore: number
}

/** A partition that another entry now owns, of which this entry knew all submissions when it lost it. */
export interface ReleasedPartition {
  readonly partition: number
  readonly to: EntryIdentity
  readonly epoch: number
  readonly uncertainBefore: number
}

/** A partition that this entry acquired from an earlier owner. */
export interface AcquiredPartition {
  readonly partition: number
  readonly epoch: number
  /** Previous owner, if it handed the partition over itself. */
  readonly handedOverBy: EntryIdentity | undefined
  /** Previous owner; if it is alive, it sends a handover once it reads that it lost the partition. */
  readonly formerOwner: EntryIdentity | undefined
}

/** Effect of one register change on a partition. */
export interface PartitionChange {
  readonly partition: number
  /** Whether this entry owned the partition before the change. */
  readonly wasOwned: boolean
  readonly released: ReleasedPartition | undefined
  readonly acquired: AcquiredPartition | undefined
}

export interface PartitionTable {
  /** Applies a register change; returns undefined if it is outdated or its name is no partition. */
  applyChange: (name: string, change: RegisterChange) => PartitionChange | undefined
  state: (partition: number) => PartitionState
  version: (partition: number) => number
  isOwned: (partition: number) => boolean
  /** Whether this entry owns the partition and knows all its submissions. */
  isFullyKnown: (partition: number) => boolean
  /** Returns the epoch of an owned partition that is serving, or undefined. */
  servingEpoch: (partition: number) => number | undefined
  setTakeover: (partition: number, takeover: Takeover) => void
  /** Ends a takeover and keeps its `uncertainBefore` for each of its partitions. */
  settle: (takeover: Takeover) => void
  ownedCount: () => number
}

const decodeOwner = Schema.decodeUnknownResult(PartitionOwner)

/**
 * Creates the partition table of one entry, in which no partition has an owner yet.
 *
 * @example
 * const table = createPartitionTable(identity)
 */
export function createPartitionTable (identity: EntryIdentity): PartitionTable {
  let ownedPartitions = 0
  const views: PartitionView[] = Array.from({ length: PARTITION_COUNT }, () => ({
    owner: undefined, version: NEVER_WRITTEN_VERSION, takeover: undefined, isTakeoverDue: false, uncertainBefore: 0
  }))

  function state (partition: number): PartitionState {
    const view = views[partition]
    if (view?.owner === undefined) return { kind: 'none' }
    const { owner, version: epoch, takeover } = view
    if (owner !== identity) return { kind: 'elsewhere', owner, epoch }
    if (view.isTakeoverDue) {
      return { kind: 'ours', epoch, phase: 'collecting', unaccounted: 0, uncertainBefore: Infinity }
    }
    return {
      kind: 'ours',
      epoch,
      phase: takeover?.phase() ?? 'serving',
      unaccounted: takeover?.unaccountedAgents() ?? 0,
      uncertainBefore: takeover?.uncertainBefore(partition) ?? view.uncertainBefore
    }
  }

  function isFullyKnown (partition: number): boolean {
    const view = views[partition]
    if (view?.owner !== identity || view.isTakeoverDue) return false
    const { takeover } = view
    if (takeover === undefined) return true
    return takeover.phase() === 'serving' && takeover.unaccountedAgents() === 0 &&
      takeover.uncertainBefore(partition) !== Infinity
  }

  function releasedBy (
    partition: number, value: PartitionOwner | undefined, epoch: number
  ): ReleasedPartition | undefined {
    if (value === undefined || value.owner === identity || !isFullyKnown(partition)) return undefined
    const current = state(partition)
    const uncertainBefore = current.kind === 'ours' ? current.uncertainBefore : 0
    return { partition, to: value.owner, epoch, uncertainBefore }
  }

  function clearOwnership (partition: number, view: PartitionView): void {
    if (view.owner !== identity) return
    ownedPartitions -= 1
    view.takeover?.removePartition(partition)
    view.takeover = undefined
    view.isTakeoverDue = false
    view.uncertainBefore = 0
  }

  return {
    applyChange (name, { version, value, previousVersion }) {
      const partition = Number(name)
      const view = views[partition]
      if (view === undefined || version <= view.version) return undefined
      const decoded = decodeOwner(value)
      const next = Result.isSuccess(decoded) ? decoded.success : undefined
      const wasOwned = view.owner === identity
      const released = releasedBy(partition, next, version)
      const formerOwner = view.owner
      const neverOwned = previousVersion === NEVER_WRITTEN_VERSION && view.version === NEVER_WRITTEN_VERSION
      clearOwnership(partition, view)
      view.owner = next?.owner
      view.version = version
      if (next?.owner !== identity) return { partition, wasOwned, released, acquired: undefined }
      ownedPartitions += 1
      if (neverOwned && next.handedOverBy === undefined) return { partition, wasOwned, released, acquired: undefined }
      view.isTakeoverDue = true
      const handedOverBy = next.handedOverBy === identity ? undefined : next.handedOverBy
      return { partition, wasOwned, released, acquired: { partition, epoch: version, handedOverBy, formerOwner } }
    },
    state,
    version: partition => views[partition]?.version ?? NEVER_WRITTEN_VERSION,
    isOwned: partition => views[partition]?.owner === identity,
    isFullyKnown,
    servingEpoch (partition) {
      const view = views[partition]
      if (view?.owner !== identity || view.isTakeoverDue || view.takeover?.phase() === 'collecting') return undefined
      return view.version
    },
    setTakeover (partition, takeover) {
      const view = views[partition]
      if (view === undefined) return
      view.takeover = takeover
      view.isTakeoverDue = false
    },
    settle (takeover) {
      for (const partition of takeover.partitions) {
        const view = views[partition]
        if (view?.takeover !== takeover) continue
        view.uncertainBefore = takeover.uncertainBefore(partition)
        view.takeover = undefined
      }
    },
    ownedCount: () => ownedPartitions
  }
}
