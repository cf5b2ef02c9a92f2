/** All takeovers of one entry that are not settled: asks agents, takes in what they and earlier owners tell. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import type { Collected, Handover } from '@baobabpost/messages'
import type { AgentRoster, DepartedAgent } from './agent-roster.js'
import type { FenceClock } from './fencing-tracker.js'
import type { HandoverExchange, WholeHandover } from './handover-exchange.js'
import type { OwnershipPorts } from './ownership.js'
import type { PartitionTable, WonPartition } from './partition-table.js'
import { createTakeover, type Takeover } from './takeover.js'

/** What the takeovers work with. */
export interface TakeoversOptions {
  readonly ports: OwnershipPorts
  readonly table: PartitionTable
  readonly roster: AgentRoster
  readonly fences: FenceClock
  readonly exchange: HandoverExchange
  readonly collectBoundMilliseconds: number
  readonly verdictLeaseMilliseconds: number
  readonly clockSkewMilliseconds: number
  /** Age from which a departure can't matter to any key that is still accepted. */
  readonly departureWindowMilliseconds: number
}

/** The takeovers of one entry. */
export interface Takeovers {
  /** Begins the takeovers of partitions that were won. */
  begin: (won: readonly WonPartition[], now: number) => void
  departed: (departure: DepartedAgent, now: number) => void
  collected: (agent: AgentIdentity, message: Collected, now: number) => void
  handover: (from: EntryIdentity, message: Handover, now: number) => void
  /** Tells the states anew because a fence time became known. */
  fenced: (now: number) => void
  /** Asks, repeats and moves on. */
  advance: (now: number) => void
}

/**
 * Makes the takeovers of one entry.
 *
 * @example
 * takeovers.begin([{ partition: 3, epoch: 40, handedOverBy: undefined }], now)
 */
export function createTakeovers (options: TakeoversOptions): Takeovers {
  const { ports, table, exchange } = options
  const active = new Set<Takeover>()

  function tell (takeover: Takeover, now: number): void {
    for (const partition of takeover.partitions) ports.partitionChanged(partition, table.state(partition), now)
  }

  function beginOne ({ epoch, handedOverBy, formerOwner }: WonPartition, partitions: number[], now: number): void {
    options.fences.watch(epoch, now)
    const takeover = createTakeover({
      epoch,
      partitions,
      handedOverBy,
      formerOwner,
      joined: options.roster.joined(),
      departed: options.roster.departedSince(now - options.departureWindowMilliseconds),
      startedAt: now,
      collectBoundMilliseconds: options.collectBoundMilliseconds,
      verdictLeaseMilliseconds: options.verdictLeaseMilliseconds,
      clockSkewMilliseconds: options.clockSkewMilliseconds,
      departureWindowMilliseconds: options.departureWindowMilliseconds,
      fences: options.fences
    })
    active.add(takeover)
    for (const partition of partitions) table.setTakeover(partition, takeover)
  }

  function importWhole (takeover: Takeover, whole: WholeHandover, now: number): void {
    for (const { partition, uncertainBefore } of whole.partitions) {
      if (!takeover.partitions.has(partition)) continue
      const submissions = whole.submissions.filter(submission => submission.partition === partition)
      ports.importPartition(partition, submissions, now)
      takeover.imported(partition, uncertainBefore)
    }
  }

  function takeHandover (takeover: Takeover, now: number): void {
    const from = takeover.handedOverBy ?? takeover.formerOwner
    if (from === undefined) return
    const whole = exchange.takeWhole(takeover.epoch, from)
    if (whole === undefined) return
    if (takeover.phase() === 'collecting' && !takeover.isImported() && covers(whole, takeover)) {
      importWhole(takeover, whole, now)
    }
    ports.outbox.send(from, { method: 'handoverTaken', parameters: { partitions: whole.partitions } })
  }

  /** Whether the former owner knew every partition of the takeover whole. */
  function covers (whole: WholeHandover, takeover: Takeover): boolean {
    const handed = new Set(whole.partitions.map(({ partition }) => partition))
    for (const partition of takeover.partitions) {
      if (!handed.has(partition)) return false
    }
    return true
  }

  function ask (takeover: Takeover, now: number): void {
    const agents = takeover.due(now)
    if (agents.length === 0) return
    const parameters = takeover.question()
    for (const agent of agents) ports.outbox.send(agent, { method: 'collect', parameters })
  }

  function advanceOne (takeover: Takeover, now: number): void {
    if (takeover.partitions.size === 0) {
      active.delete(takeover)
      return
    }
    takeHandover(takeover, now)
    ask(takeover, now)
    if (takeover.advance(now)) tell(takeover, now)
    if (!takeover.isSettled()) return
    table.settle(takeover)
    active.delete(takeover)
  }

  function advance (now: number): void {
    for (const takeover of active) advanceOne(takeover, now)
  }

  function isAwaited (message: Handover): boolean {
    const epoch = message.partitions[0]?.epoch
    for (const takeover of active) {
      if (takeover.epoch === epoch && takeover.phase() === 'collecting' && !takeover.isImported()) return true
    }
    return false
  }

  return {
    begin (won, now) {
      const groups = new Map<string, WonPartition[]>()
      for (const win of won) {
        const key = `${win.epoch}/${win.handedOverBy ?? ''}/${win.formerOwner ?? ''}`
        const group = groups.get(key)
        if (group === undefined) groups.set(key, [win])
        else group.push(win)
      }
      for (const group of groups.values()) {
        const [first] = group
        if (first !== undefined) beginOne(first, group.map(win => win.partition), now)
      }
    },
    departed (departure, now) {
      if (!departure.clean) options.fences.watch(departure.offset, now)
      for (const takeover of active) {
        if (takeover.departed(departure)) tell(takeover, now)
      }
    },
    collected (agent, message, now) {
      const epochs = new Set(message.partitions.map(({ epoch }) => epoch))
      for (const takeover of active) {
        if (!epochs.has(takeover.epoch) || !takeover.awaits(agent)) continue
        const records = message.submissions.filter(record => takeover.partitions.has(record.partition))
        ports.recordsCollected(agent, records, now)
        if (!takeover.collected(agent, message)) continue
        tell(takeover, now)
        advanceOne(takeover, now)
      }
    },
    handover (from, message, now) {
      exchange.receive(from, message, now)
      const isRead = message.partitions.every(({ partition, epoch }) => table.version(partition) >= epoch)
      if (!isRead) return
      advance(now)
      // What is not awaited any more was settled by collecting; the previous owner need not repeat it.
      if (isAwaited(message)) return
      ports.outbox.send(from, { method: 'handoverTaken', parameters: { partitions: message.partitions } })
    },
    fenced (now) {
      for (const takeover of active) tell(takeover, now)
      advance(now)
    },
    advance
  }
}
