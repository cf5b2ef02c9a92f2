/** The highest epoch seen for each partition, and who owns the partition under it. */
import type { EntryIdentity } from '@baobabpost/common'
import type { PartitionEpoch } from '@baobabpost/messages'

/** How an epoch compares with the highest one seen. */
export type EpochStanding = 'stale' | 'current' | 'raised'

/** Highest epoch by partition. */
export interface PartitionEpochs {
  /** Notes an epoch used by an entry; a higher one than before makes that entry the owner. */
  note: (ownership: PartitionEpoch, sender: EntryIdentity) => EpochStanding
  /** Highest epoch seen; 0 for none. */
  highest: (partition: number) => number
  owner: (partition: number) => EntryIdentity | undefined
}

interface Ownership {
  readonly epoch: number
  readonly owner: EntryIdentity
}

/**
 * Makes the record of epochs of an agent.
 *
 * @example
 * epochs.note({ partition: 7, epoch: 120 }, entry) // 'raised'
 */
export function createPartitionEpochs (): PartitionEpochs {
  const ownerships = new Map<number, Ownership>()
  return {
    note ({ partition, epoch }, sender) {
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
