/** The partitions as their registers say, and what each change means for this entry. */
import { type EntryIdentity, PARTITION_COUNT } from '@baobabpost/common'
import { NEVER_WRITTEN, PartitionOwner } from '@baobabpost/messages'
import { Result, Schema } from 'effect'
import type { PartitionState, RegisterChange } from './ownership.js'
import type { Takeover } from './takeover.js'

interface PartitionView {
  owner: EntryIdentity | undefined
  version: number
  /** Takeover that is not settled. */
  takeover: Takeover | undefined
  /** Whether it was won and its takeover has not begun yet: nothing is known of it. */
  isTakeoverDue: boolean
  /** What a settled takeover left. */
  uncertainBefore: number
}

/** A partition that this entry knew whole when it lost it. */
export interface GivenPartition {
  readonly partition: number
  readonly to: EntryIdentity
  readonly epoch: number
  readonly uncertainBefore: number
}

/** A partition that this entry won from an earlier owner. */
export interface WonPartition {
  readonly partition: number
  readonly epoch: number
  /** Owner that handed it over itself. */
  readonly handedOverBy: EntryIdentity | undefined
  /** Owner just before; if it lives, it tells what it knows once it reads that it lost the partition. */
  readonly formerOwner: EntryIdentity | undefined
}

/** What one change of a register means. */
export interface PartitionStep {
  readonly partition: number
  /** Whether this entry owned it until now. */
  readonly wasOurs: boolean
  readonly given: GivenPartition | undefined
  readonly won: WonPartition | undefined
}

/** The partitions of one entry. */
export interface PartitionTable {
  /** Takes in a change; undefined where it is old or no partition. */
  change: (name: string, change: RegisterChange) => PartitionStep | undefined
  state: (partition: number) => PartitionState
  version: (partition: number) => number
  isOurs: (partition: number) => boolean
  /** Whether all is known of a partition of ours. */
  isWhole: (partition: number) => boolean
  /** Epoch of a partition of ours that is serving. */
  servingEpoch: (partition: number) => number | undefined
  setTakeover: (partition: number, takeover: Takeover) => void
  /** Ends a takeover: what remains uncertain is kept with its partitions. */
  settle: (takeover: Takeover) => void
  ownedCount: () => number
}

const decodeOwner = Schema.decodeUnknownResult(PartitionOwner)

/**
 * Makes the partitions of one entry, none of them known yet.
 *
 * @example
 * const table = createPartitionTable(identity)
 */
export function createPartitionTable (identity: EntryIdentity): PartitionTable {
  let owned = 0
  const views: PartitionView[] = Array.from({ length: PARTITION_COUNT }, () => ({
    owner: undefined, version: NEVER_WRITTEN, takeover: undefined, isTakeoverDue: false, uncertainBefore: 0
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
      unaccounted: takeover?.unaccounted() ?? 0,
      uncertainBefore: takeover?.uncertainBefore(partition) ?? view.uncertainBefore
    }
  }

  function isWhole (partition: number): boolean {
    const view = views[partition]
    if (view?.owner !== identity || view.isTakeoverDue) return false
    const { takeover } = view
    if (takeover === undefined) return true
    return takeover.phase() === 'serving' && takeover.unaccounted() === 0 &&
      takeover.uncertainBefore(partition) !== Infinity
  }

  function givenBy (partition: number, value: PartitionOwner | undefined, epoch: number): GivenPartition | undefined {
    if (value === undefined || value.owner === identity || !isWhole(partition)) return undefined
    const current = state(partition)
    const uncertainBefore = current.kind === 'ours' ? current.uncertainBefore : 0
    return { partition, to: value.owner, epoch, uncertainBefore }
  }

  function leave (partition: number, view: PartitionView): void {
    if (view.owner !== identity) return
    owned -= 1
    view.takeover?.removePartition(partition)
    view.takeover = undefined
    view.isTakeoverDue = false
    view.uncertainBefore = 0
  }

  return {
    change (name, { version, value, previousVersion }) {
      const partition = Number(name)
      const view = views[partition]
      if (view === undefined || version <= view.version) return undefined
      const decoded = decodeOwner(value)
      const next = Result.isSuccess(decoded) ? decoded.success : undefined
      const wasOurs = view.owner === identity
      const given = givenBy(partition, next, version)
      const formerOwner = view.owner
      const neverOwned = previousVersion === NEVER_WRITTEN && view.version === NEVER_WRITTEN
      leave(partition, view)
      view.owner = next?.owner
      view.version = version
      if (next?.owner !== identity) return { partition, wasOurs, given, won: undefined }
      owned += 1
      if (neverOwned && next.handedOverBy === undefined) return { partition, wasOurs, given, won: undefined }
      view.isTakeoverDue = true
      const handedOverBy = next.handedOverBy === identity ? undefined : next.handedOverBy
      return { partition, wasOurs, given, won: { partition, epoch: version, handedOverBy, formerOwner } }
    },
    state,
    version: partition => views[partition]?.version ?? NEVER_WRITTEN,
    isOurs: partition => views[partition]?.owner === identity,
    isWhole,
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
    ownedCount: () => owned
  }
}
