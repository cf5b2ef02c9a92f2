/** The ownership of partitions at one entry: claims, takeover, owner lease, planned moves. */
import type { EntryIdentity } from '@baobabpost/common'
import type { SubmissionHandover } from '@baobabpost/messages'
import { createAgentRoster } from './agent-roster.js'
import { createFenceClock } from './fencing-tracker.js'
import { createHandoverExchange } from './handover-exchange.js'
import { createLeaseQuorum } from './lease-quorum.js'
import type { Ownership, OwnershipOptions, RegisterChange } from './ownership.js'
import { createPartitionMoves } from './partition-moves.js'
import { createPartitionTable, type GivenPartition, type PartitionStep, type WonPartition } from './partition-table.js'
import { createTakeovers } from './takeovers.js'

const DEFAULT_OWNER_LEASE_MILLISECONDS = 2_000
const DEFAULT_VERDICT_LEASE_MILLISECONDS = 1_000
const DEFAULT_COLLECT_BOUND_MILLISECONDS = 3_000
const DEFAULT_OWNER_ABSENCE_MILLISECONDS = 500
const DEFAULT_SETTLE_MILLISECONDS = 500
const DEFAULT_APPEND_RETRY_MILLISECONDS = 500

/** A change with the two parts of its register's name. */
interface NamedChange {
  readonly kind: string
  readonly name: string
  readonly change: RegisterChange
}

function nameChange (change: RegisterChange): NamedChange {
  const slash = change.register.indexOf('/')
  return { kind: change.register.slice(0, slash), name: change.register.slice(slash + 1), change }
}

/**
 * Makes the ownership of partitions of one entry.
 *
 * @example
 * const ownership = createOwnership({ identity, ports, invariants, startedAt: now, … })
 * ownership.registersChanged(changes, fold.position(), now)
 */
export function createOwnership (options: OwnershipOptions): Ownership {
  const { identity, ports, invariants, clockSkewMilliseconds } = options
  const ownerLeaseMilliseconds = options.ownerLeaseMilliseconds ?? DEFAULT_OWNER_LEASE_MILLISECONDS
  const verdictLeaseMilliseconds = options.verdictLeaseMilliseconds ?? DEFAULT_VERDICT_LEASE_MILLISECONDS
  const quorum = createLeaseQuorum(identity)
  const fences = createFenceClock({ quorum, ownerLeaseMilliseconds, clockSkewMilliseconds })
  const roster = createAgentRoster()
  const exchange = createHandoverExchange(ports.outbox)
  const table = createPartitionTable(identity)
  const registered = new Set<EntryIdentity>()
  let position = 0
  let logReadAt = -Infinity
  const takeovers = createTakeovers({
    ports,
    table,
    roster,
    fences,
    exchange,
    clockSkewMilliseconds,
    verdictLeaseMilliseconds,
    collectBoundMilliseconds: options.collectBoundMilliseconds ?? DEFAULT_COLLECT_BOUND_MILLISECONDS,
    departureWindowMilliseconds: options.keyWindowMilliseconds + ownerLeaseMilliseconds + 2 * clockSkewMilliseconds
  })
  const moves = createPartitionMoves({
    identity,
    startedAt: options.startedAt,
    settleMilliseconds: options.settleMilliseconds ?? DEFAULT_SETTLE_MILLISECONDS,
    ownerAbsenceMilliseconds: options.ownerAbsenceMilliseconds ?? DEFAULT_OWNER_ABSENCE_MILLISECONDS,
    appendRetryMilliseconds: options.appendRetryMilliseconds ?? DEFAULT_APPEND_RETRY_MILLISECONDS,
    isRegistered: entry => registered.has(entry),
    partitionState: table.state,
    versionOf: table.version,
    isWhole: table.isWhole
  })

  function changeEntries (changes: readonly NamedChange[]): void {
    for (const { name, change } of changes) {
      if (change.value === null || change.value === undefined) registered.delete(name as EntryIdentity)
      else registered.add(name as EntryIdentity)
      quorum.setRegistered([...registered], change.version)
    }
  }

  function changeAgents (changes: readonly NamedChange[], now: number): void {
    for (const { name, change } of changes) {
      const departure = roster.change(name, change.version, change.value)
      if (departure !== undefined) takeovers.departed(departure, now)
    }
  }

  function giveAway (given: readonly GivenPartition[], now: number): void {
    const groups = new Map<string, GivenPartition[]>()
    for (const gift of given) {
      const key = `${gift.epoch}/${gift.to}`
      const group = groups.get(key)
      if (group === undefined) groups.set(key, [gift])
      else group.push(gift)
    }
    for (const group of groups.values()) {
      const submissions: SubmissionHandover[] = []
      for (const { partition } of group) submissions.push(...ports.exportPartition(partition, now))
      const partitions = group.map(({ partition, epoch, uncertainBefore }) => ({ partition, epoch, uncertainBefore }))
      const [first] = group
      if (first !== undefined) exchange.give(first.to, partitions, submissions, now)
    }
  }

  function changePartitions (changes: readonly NamedChange[], now: number): void {
    const steps: PartitionStep[] = []
    for (const { name, change } of changes) {
      const step = table.change(name, change)
      if (step === undefined) continue
      moves.settled(step.partition)
      steps.push(step)
    }
    giveAway(steps.flatMap(step => step.given ?? []), now)
    for (const { partition, wasOurs } of steps) {
      // Lost and won again: what was known is dropped, because another owner may have served in between.
      if (wasOurs && table.isOurs(partition)) ports.partitionChanged(partition, { kind: 'none' }, now)
    }
    takeovers.begin(steps.flatMap(step => isCurrent(step.won) ? step.won : []), now)
    for (const { partition } of steps) ports.partitionChanged(partition, table.state(partition), now)
  }

  function isCurrent (won: WonPartition | undefined): won is WonPartition {
    return won !== undefined && table.version(won.partition) === won.epoch
  }

  function updateFences (now: number): void {
    if (fences.update(now)) takeovers.fenced(now)
  }

  /** Time at which this entry last learned that it is the owner of what it owns. */
  function confirmedAt (now: number): number {
    return Math.max(logReadAt, quorum.majorityAnsweredAt(now))
  }

  function leaseEnd (now: number): number {
    return confirmedAt(now) + ownerLeaseMilliseconds
  }

  function appendHandovers (now: number): void {
    for (const writes of moves.handoversDue(now)) ports.outbox.append(writes)
  }

  return {
    setLiveEntries: (entries, now) => { moves.setLiveEntries(entries, now) },
    registersChanged (changes, newPosition, now) {
      // A delta of a peer comes in no order: agents and entries go first, so that no claim misses one below it.
      const named = changes.map(nameChange).sort((left, right) => left.change.version - right.change.version)
      changeEntries(named.filter(({ kind }) => kind === 'entry'))
      changeAgents(named.filter(({ kind }) => kind === 'agent'), now)
      position = Math.max(position, newPosition)
      quorum.applied(identity, position)
      changePartitions(named.filter(({ kind }) => kind === 'partition'), now)
      updateFences(now)
      takeovers.advance(now)
    },
    logReadToEnd (startedAt) {
      logReadAt = Math.max(logReadAt, startedAt)
    },
    heartbeatAnswered (entry, sentAt, peerPosition, now) {
      quorum.applied(entry, peerPosition)
      if (peerPosition <= position) quorum.answered(entry, sentAt)
      updateFences(now)
    },
    peerPositionReported (entry, peerPosition, now) {
      quorum.applied(entry, peerPosition)
      updateFences(now)
    },
    collected: takeovers.collected,
    handover: takeovers.handover,
    handoverTaken: exchange.taken,
    stop (now) {
      if (!moves.isStopping()) {
        moves.stop()
        appendHandovers(now)
      }
      return { remainingPartitions: table.ownedCount() + exchange.outgoingPartitions() }
    },
    tick (now) {
      exchange.tick(now)
      updateFences(now)
      takeovers.advance(now)
      const claims = moves.claimsDue(now)
      if (claims.length > 0) ports.outbox.append(claims)
      appendHandovers(now)
    },
    partitionState: table.state,
    dispatchEpoch: (partition, now) => now < leaseEnd(now) ? table.servingEpoch(partition) : undefined,
    mayDeclareNotRun: now => now < confirmedAt(now) + verdictLeaseMilliseconds,
    mayDispatch: now => now < leaseEnd(now),
    leaseEnd,
    isJoined: roster.isJoined,
    ownedCount () {
      const owned = table.ownedCount()
      invariants.check(owned >= 0, 'owned-count', () => `${owned} partitions owned`)
      return owned
    }
  }
}
