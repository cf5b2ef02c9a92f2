/** The highest epoch seen for each partition, and the owner of the partition under that epoch. */
import type { EntryIdentity } from '@baobabpost/common'
import type { PartitionEpoch } from '@baobabpost/messages'

/** An epoch compared with the highest one seen before. */
export type EpochStatus = 'stale' | 'current' | 'raised'

/** Highest epoch and owner of each partition. */
export interface PartitionEpochs {
  /** Records an epoch used by an entry; an epoch higher than all before makes that entry the owner. */
  record: (ownership: PartitionEpoch, sender: EntryIdentity) => EpochStatus
  /** Highest epoch seen; 0 if none was seen. */
  highest: (partition: number) => number
  owner: (partition: number) => EntryIdentity | undefined
}

interface Ownership {
  readonly epoch: number
  readonly owner: EntryIdentity
}

/**
 * @example
 * epochs.record({ partition: 7, epoch: 120 }, entry) // 'raised'
 */
export function createPartitionEpochs (): PartitionEpochs {
  const ownerships = new Map<number, Ownership>()
  return {
    record ({ partition, epoch }, sender) {
      const highest = ownerships.get(partition)?.epoch ?? 0
      if (epoch < highest) return 'stale'
      if (epoch === highest) return 'current'
      ownerships.set(partition, { epoch, owner: sender })
      return 'raised'
    },
    highest: partition => ownerships.get(partition)?.epoch ?? 0,
    owner: partition => ownerships.get(partition)?.owner
  }
}
