/** Ownership of partitions at one entry: claims, takeover, owner lease, planned moves. */
import type { EntryIdentity } from '@baobabpost/common'
import type { EntryRegistration, SubmissionHandover } from '@baobabpost/messages'
import { createAgentRoster } from './agent-roster.js'
import { createFencingTracker } from './fencing-tracker.js'
import { createHandoverExchange } from './handover-exchange.js'
import { createLeaseQuorum } from './lease-quorum.js'
import { createLongestLeases, KEPT_OWNER_LEASES } from './owner-leases.js'
import type { Ownership, OwnershipOptions, RegisterChange } from './ownership.js'
import { createPartitionMoves } from './partition-moves.js'
import { createPartitionTable, type ReleasedPartition, type PartitionChange, type AcquiredPartition } from './partition-table.js'
import { createTakeovers } from './takeovers.js'

const DEFAULT_COLLECT_TIMEOUT_MILLISECONDS = 3_000
const DEFAULT_OWNER_ABSENCE_MILLISECONDS = 500
const DEFAULT_STABILIZATION_MILLISECONDS = 500
const DEFAULT_APPEND_RETRY_MILLISECONDS = 500

/** A register change with the register's name split into its kind and the name within the kind. */
interface NamedChange {
  readonly kind: string
  readonly name: string
  readonly change: RegisterChange
}

function parseRegisterName (change: RegisterChange): NamedChange {
  const slash = change.register.indexOf('/')
  return { kind: change.register.slice(0, slash), name: change.register.slice(slash + 1), change }
}

/**
 * Creates the ownership of partitions of one entry.
 *
 * @example
 * const ownership = createOwnership({ identity, ports, invariants, startedAt: now, … })
 * ownership.registersChanged(changes, fold.position(), now)
 */
export function createOwnership (options: OwnershipOptions): Ownership {
  const { identity, ports, invariants, clockSkewMilliseconds } = options
  const { ownerMilliseconds, notRunMilliseconds } = options.leases ?? KEPT_OWNER_LEASES
  const longestLeases = createLongestLeases({ ownerMilliseconds, notRunMilliseconds })
  const quorum = createLeaseQuorum(identity)
  const fencing = createFencingTracker({
    quorum, longestLeaseMilliseconds: longestLeases.ownerMilliseconds, clockSkewMilliseconds
  })
  const roster = createAgentRoster()
  const exchange = createHandoverExchange(ports.outbox)
  const table = createPartitionTable(identity)
  const registeredEntries = new Set<EntryIdentity>()
  let position = 0
  let logReadAt = -Infinity
  let lastTickAt = -Infinity
  const takeovers = createTakeovers({
    ports,
    table,
    roster,
    fencing,
    exchange,
    clockSkewMilliseconds,
    longestLeases,
    keyWindowMilliseconds: options.keyWindowMilliseconds,
    collectTimeoutMilliseconds: options.collectTimeoutMilliseconds ?? DEFAULT_COLLECT_TIMEOUT_MILLISECONDS
  })
  const moves = createPartitionMoves({
    identity,
    startedAt: options.startedAt,
    stabilizationMilliseconds: options.stabilizationMilliseconds ?? DEFAULT_STABILIZATION_MILLISECONDS,
    ownerAbsenceMilliseconds: options.ownerAbsenceMilliseconds ?? DEFAULT_OWNER_ABSENCE_MILLISECONDS,
    appendRetryMilliseconds: options.appendRetryMilliseconds ?? DEFAULT_APPEND_RETRY_MILLISECONDS,
    isRegistered: entry => registeredEntries.has(entry),
    partitionState: table.state,
    versionOf: table.version,
    isFullyKnown: table.isFullyKnown
  })

  function applyEntryChanges (changes: readonly NamedChange[]): void {
    for (const { name, change } of changes) {
      if (change.value === null || change.value === undefined) {
        registeredEntries.delete(name as EntryIdentity)
      } else {
        registeredEntries.add(name as EntryIdentity)
        longestLeases.add((change.value as Partial<EntryRegistration>).leases)
      }
      quorum.setRegistered([...registeredEntries], change.version)
    }
  }

  function applyAgentChanges (changes: readonly NamedChange[], now: number): void {
    for (const { name, change } of changes) {
      const departure = roster.applyRegistration(name, change.version, change.value)
      if (departure !== undefined) takeovers.departed(departure, now)
    }
  }

  function sendHandovers (releasedPartitions: readonly ReleasedPartition[], now: number): void {
    const groups = new Map<string, ReleasedPartition[]>()
    for (const released of releasedPartitions) {
      const key = `${released.epoch}/${released.to}`
      const group = groups.get(key)
      if (group === undefined) groups.set(key, [released])
      else group.push(released)
    }
    for (const group of groups.values()) {
      const submissions: SubmissionHandover[] = []
      for (const { partition } of group) submissions.push(...ports.exportPartition(partition, now))
      const partitions = group.map(({ partition, epoch, uncertainBefore }) => ({ partition, epoch, uncertainBefore }))
      const [first] = group
      if (first !== undefined) exchange.startHandover(first.to, partitions, submissions, now)
    }
  }

  function applyPartitionChanges (changes: readonly NamedChange[], now: number): void {
    const partitionChanges: PartitionChange[] = []
    for (const { name, change } of changes) {
      const partitionChange = table.applyChange(name, change)
      if (partitionChange === undefined) continue
      moves.registerChanged(partitionChange.partition)
      partitionChanges.push(partitionChange)
    }
    sendHandovers(partitionChanges.flatMap(partitionChange => partitionChange.released ?? []), now)
    for (const { partition, wasOwned } of partitionChanges) {
      // Lost and acquired again: its submissions are dropped, because another owner may have served in between.
      if (wasOwned && table.isOwned(partition)) ports.partitionChanged(partition, { kind: 'none' }, now)
    }
    takeovers.begin(partitionChanges.flatMap(partitionChange =>
      isCurrent(partitionChange.acquired) ? partitionChange.acquired : []), now)
    for (const { partition } of partitionChanges) ports.partitionChanged(partition, table.state(partition), now)
  }

  function isCurrent (acquired: AcquiredPartition | undefined): acquired is AcquiredPartition {
    return acquired !== undefined && table.version(acquired.partition) === acquired.epoch
  }

  function updateFencing (now: number): void {
    if (fencing.update(now)) takeovers.fencingChanged(now)
  }

  /** Returns the latest time at which this entry is known to have owned its partitions. */
  function ownershipConfirmedAt (now: number): number {
    return Math.max(logReadAt, quorum.majorityAnsweredAt(now))
  }

  /** Drops what confirmed the ownership if the time of day was set back, which would prolong the lease by as much. */
  function checkTimeOfDay (now: number): void {
    if (now < lastTickAt) {
      logReadAt = -Infinity
      quorum.forgetAnswers()
    }
    lastTickAt = now
  }

  function leaseEnd (now: number): number {
    return ownershipConfirmedAt(now) + ownerMilliseconds
  }

  function appendHandovers (now: number): void {
    for (const writes of moves.handoversDue(now)) ports.outbox.append(writes)
  }

  return {
    setLiveEntries: (entries, now) => { moves.setLiveEntries(entries, now) },
    registersChanged (changes, newPosition, now) {
      // Changes from a peer are unordered. Entries and agents are applied first, so that no claim misses one that was
      // registered before it.
      const named = changes.map(parseRegisterName).sort((left, right) => left.change.version - right.change.version)
      applyEntryChanges(named.filter(({ kind }) => kind === 'entry'))
      applyAgentChanges(named.filter(({ kind }) => kind === 'agent'), now)
      position = Math.max(position, newPosition)
      quorum.recordAppliedPosition(identity, position)
      applyPartitionChanges(named.filter(({ kind }) => kind === 'partition'), now)
      updateFencing(now)
      takeovers.advance(now)
    },
    logReadToEnd (startedAt, now) {
      if (startedAt > now) return
      logReadAt = Math.max(logReadAt, startedAt)
    },
    heartbeatAnswered (entry, sentAt, peerPosition, now) {
      quorum.recordAppliedPosition(entry, peerPosition)
      if (peerPosition <= position && sentAt <= now) quorum.recordAnswer(entry, sentAt)
      updateFencing(now)
    },
    peerPositionReported (entry, peerPosition, now) {
      quorum.recordAppliedPosition(entry, peerPosition)
      updateFencing(now)
    },
    collected: takeovers.collected,
    handover: takeovers.handover,
    handoverTaken: exchange.handoverTaken,
    stop (now) {
      if (!moves.isStopping()) {
        moves.stop()
        appendHandovers(now)
      }
      return { remainingPartitions: table.ownedCount() + exchange.outgoingPartitionCount() }
    },
    tick (now) {
      checkTimeOfDay(now)
      exchange.tick(now)
      updateFencing(now)
      takeovers.advance(now)
      const claims = moves.claimsDue(now)
      if (claims.length > 0) ports.outbox.append(claims)
      appendHandovers(now)
    },
    partitionState: table.state,
    dispatchEpoch: (partition, now) => now < leaseEnd(now) ? table.servingEpoch(partition) : undefined,
    mayDeclareNotRun: now => now < ownershipConfirmedAt(now) + notRunMilliseconds,
    mayDispatch: now => now < leaseEnd(now),
    leaseEnd,
    isJoined: roster.isJoined,
    ownedCount () {
      const owned = table.ownedCount()
      invariants.check(owned >= 0, 'owned-count', () => `${owned} partitions owned, expected at least 0`)
      return owned
    }
  }
}
