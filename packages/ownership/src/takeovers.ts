/** Active takeovers of one entry: asks agents for their records, and applies their answers and owners' handovers. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import type { Collected, Handover } from '@baobabpost/messages'
import type { AgentRoster, DepartedAgent } from './agent-roster.js'
import type { FencingTracker } from './fencing-tracker.js'
import type { HandoverExchange, CompleteHandover } from './handover-exchange.js'
import type { LongestLeases } from './owner-leases.js'
import type { OwnershipPorts } from './ownership.js'
import type { PartitionTable, AcquiredPartition } from './partition-table.js'
import { createTakeover, type Takeover } from './takeover.js'

export interface TakeoversOptions {
  readonly ports: OwnershipPorts
  readonly table: PartitionTable
  readonly roster: AgentRoster
  readonly fencing: FencingTracker
  readonly exchange: HandoverExchange
  readonly collectTimeoutMilliseconds: number
  readonly longestLeases: LongestLeases
  readonly clockSkewMilliseconds: number
  /** Time for which a submission key is remembered. */
  readonly keyWindowMilliseconds: number
}

export interface Takeovers {
  /** Begins takeovers of partitions that this entry acquired. */
  begin: (acquired: readonly AcquiredPartition[], now: number) => void
  departed: (departure: DepartedAgent, now: number) => void
  collected: (agent: AgentIdentity, message: Collected, now: number) => void
  handover: (from: EntryIdentity, message: Handover, now: number) => void
  /** Reports the state of all partitions in takeover again, because a fencing time became known. */
  fencingChanged: (now: number) => void
  /** Sends the collects that are due, and starts serving or ends the takeovers that are ready. */
  advance: (now: number) => void
}

/**
 * Creates the takeovers of one entry.
 *
 * @example
 * takeovers.begin([{ partition: 3, epoch: 40, handedOverBy: undefined }], now)
 */
export function createTakeovers (options: TakeoversOptions): Takeovers {
  const { ports, table, exchange } = options
  const active = new Set<Takeover>()

  function notifyPartitions (takeover: Takeover, now: number): void {
    for (const partition of takeover.partitions) ports.partitionChanged(partition, table.state(partition), now)
  }

  function beginTakeover (
    { epoch, handedOverBy, formerOwner }: AcquiredPartition, partitions: number[], now: number
  ): void {
    options.fencing.watch(epoch, now)
    const { keyWindowMilliseconds, clockSkewMilliseconds, longestLeases } = options
    const departureWindowMilliseconds =
      keyWindowMilliseconds + longestLeases.ownerMilliseconds() + 2 * clockSkewMilliseconds
    const takeover = createTakeover({
      epoch,
      partitions,
      handedOverBy,
      formerOwner,
      joined: options.roster.joined(),
      departed: options.roster.departedSince(now - departureWindowMilliseconds),
      startedAt: now,
      collectTimeoutMilliseconds: options.collectTimeoutMilliseconds,
      notRunLeaseMilliseconds: longestLeases.notRunMilliseconds(),
      clockSkewMilliseconds,
      departureWindowMilliseconds,
      fencing: options.fencing
    })
    active.add(takeover)
    for (const partition of partitions) table.setTakeover(partition, takeover)
  }

  function importHandover (takeover: Takeover, handover: CompleteHandover, now: number): void {
    for (const { partition, uncertainBefore } of handover.partitions) {
      if (!takeover.partitions.has(partition)) continue
      const submissions = handover.submissions.filter(submission => submission.partition === partition)
      ports.importPartition(partition, submissions, now)
      takeover.setImported(partition, uncertainBefore)
    }
  }

  function applyHandover (takeover: Takeover, now: number): void {
    const from = takeover.handedOverBy ?? takeover.formerOwner
    if (from === undefined) return
    const handover = exchange.takeComplete(takeover.epoch, from)
    if (handover === undefined) return
    if (takeover.phase() === 'collecting' && !takeover.isImported() && covers(handover, takeover)) {
      importHandover(takeover, handover, now)
    }
    ports.outbox.send(from, { method: 'handoverTaken', parameters: { partitions: handover.partitions } })
  }

  /** Whether the handover includes every partition of the takeover. */
  function covers (handover: CompleteHandover, takeover: Takeover): boolean {
    const coveredPartitions = new Set(handover.partitions.map(({ partition }) => partition))
    for (const partition of takeover.partitions) {
      if (!coveredPartitions.has(partition)) return false
    }
    return true
  }

  function sendCollects (takeover: Takeover, now: number): void {
    const agents = takeover.takeAgentsToAsk(now)
    if (agents.length === 0) return
    const parameters = takeover.buildCollect()
    for (const agent of agents) ports.outbox.send(agent, { method: 'collect', parameters })
  }

  function advanceTakeover (takeover: Takeover, now: number): void {
    if (takeover.partitions.size === 0) {
      active.delete(takeover)
      return
    }
    applyHandover(takeover, now)
    sendCollects(takeover, now)
    if (takeover.advance(now)) notifyPartitions(takeover, now)
    if (!takeover.isSettled()) return
    table.settle(takeover)
    active.delete(takeover)
  }

  function advance (now: number): void {
    for (const takeover of active) advanceTakeover(takeover, now)
  }

  function isAwaited (message: Handover): boolean {
    const epoch = message.partitions[0]?.epoch
    for (const takeover of active) {
      if (takeover.epoch === epoch && takeover.phase() === 'collecting' && !takeover.isImported()) return true
    }
    return false
  }

  return {
    begin (acquired, now) {
      const groups = new Map<string, AcquiredPartition[]>()
      for (const acquiredPartition of acquired) {
        const key = `${acquiredPartition.epoch}/${acquiredPartition.handedOverBy ?? ''}/${acquiredPartition.formerOwner ?? ''}`
        const group = groups.get(key)
        if (group === undefined) groups.set(key, [acquiredPartition])
        else group.push(acquiredPartition)
      }
      for (const group of groups.values()) {
        const [first] = group
        if (first !== undefined) beginTakeover(first, group.map(acquiredPartition => acquiredPartition.partition), now)
      }
    },
    departed (departure, now) {
      if (!departure.clean) options.fencing.watch(departure.offset, now)
      for (const takeover of active) {
        if (takeover.departed(departure)) notifyPartitions(takeover, now)
      }
    },
    collected (agent, message, now) {
      const epochs = new Set(message.partitions.map(({ epoch }) => epoch))
      for (const takeover of active) {
        if (!epochs.has(takeover.epoch) || !takeover.awaits(agent)) continue
        const records = message.submissions.filter(record => takeover.partitions.has(record.partition))
        ports.recordsCollected(agent, records, now)
        if (!takeover.collected(agent, message)) continue
        notifyPartitions(takeover, now)
        advanceTakeover(takeover, now)
      }
    },
    handover (from, message, now) {
      exchange.receivePart(from, message, now)
      const hasReadOwnership = message.partitions.every(({ partition, epoch }) => table.version(partition) >= epoch)
      if (!hasReadOwnership) return
      advance(now)
      // A handover that is no longer awaited was replaced by agents' records, so the previous owner can stop resending.
      if (isAwaited(message)) return
      ports.outbox.send(from, { method: 'handoverTaken', parameters: { partitions: message.partitions } })
    },
    fencingChanged (now) {
      for (const takeover of active) notifyPartitions(takeover, now)
      advance(now)
    },
    advance
  }
}
