/**
 * One takeover: the partitions acquired with one log record, and the agents that have to report their records.
 *
 * Earlier owners could only have used agents that were registered before the log record. An agent that has answered
 * rejects dispatches of earlier epochs. The records of an agent that departed are lost, so unknown keys made before its
 * departure may have run there.
 */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import type { Collect, Collected } from '@baobabpost/messages'
import type { DepartedAgent } from './agent-roster.js'
import type { FencingTracker } from './fencing-tracker.js'

const FIRST_RESEND_MILLISECONDS = 200
const MAXIMUM_RESEND_MILLISECONDS = 1_600

/** An agent that has not sent all parts of its answer. */
interface PendingAgent {
  parts: number
  readonly received: Set<number>
  sendAt: number
  resendMilliseconds: number
}

export interface TakeoverOptions {
  readonly epoch: number
  readonly partitions: readonly number[]
  /** Previous owner, if it hands the partitions over itself. */
  readonly handedOverBy: EntryIdentity | undefined
  readonly formerOwner: EntryIdentity | undefined
  readonly joined: readonly AgentIdentity[]
  readonly departed: readonly DepartedAgent[]
  readonly startedAt: number
  readonly collectTimeoutMilliseconds: number
  /** Time for which an owner that has not read the claim may still declare tasks as not run. */
  readonly notRunLeaseMilliseconds: number
  readonly clockSkewMilliseconds: number
  /** Age from which on a departure can't concern any key that is still accepted. */
  readonly departureWindowMilliseconds: number
  readonly fencing: FencingTracker
}

export interface Takeover {
  readonly epoch: number
  readonly handedOverBy: EntryIdentity | undefined
  readonly formerOwner: EntryIdentity | undefined
  /** Partitions of the takeover that this entry still owns. */
  readonly partitions: ReadonlySet<number>
  removePartition: (partition: number) => void
  awaits: (agent: AgentIdentity) => boolean
  /** Records a part of an agent's answer; returns whether the answer is now complete. */
  collected: (agent: AgentIdentity, message: Collected) => boolean
  /** Records an agent's departure; returns whether its answer was still awaited. */
  departed: (departure: DepartedAgent) => boolean
  /** Records that the previous owner handed a partition over, with its own `uncertainBefore` of the partition. */
  setImported: (partition: number, uncertainBefore: number) => void
  isImported: () => boolean
  /** Returns the agents that are due to be asked, and schedules their next resend. */
  takeAgentsToAsk: (now: number) => readonly AgentIdentity[]
  buildCollect: () => Collect
  /** Changes to `serving` if that is possible; returns whether it did. */
  advance: (now: number) => boolean
  phase: () => 'collecting' | 'serving'
  /** Returns the number of agents that have not answered; 0 once the previous owner's handover was imported. */
  unaccountedAgents: () => number
  uncertainBefore: (partition: number) => number
  /** Whether the takeover is serving and waits for no agent and no fencing time. */
  isSettled: () => boolean
}

/**
 * Creates a takeover.
 *
 * @example
 * const takeover = createTakeover({ epoch: 40, partitions: [3, 9], handedOverBy: undefined, … })
 */
export function createTakeover (options: TakeoverOptions): Takeover {
  const partitions = new Set(options.partitions)
  const pending = new Map<AgentIdentity, PendingAgent>()
  const departedAgents = new Map<AgentIdentity, DepartedAgent>()
  let phase: 'collecting' | 'serving' = 'collecting'
  const importedUncertainBefore = new Map<number, number>()
  for (const agent of options.joined) {
    pending.set(agent, {
      parts: 0, received: new Set(), sendAt: options.startedAt, resendMilliseconds: FIRST_RESEND_MILLISECONDS
    })
  }
  for (const departure of options.departed) departedAgents.set(departure.identity, departure)

  function departureUncertainBefore (departure: DepartedAgent): number {
    const stoppedBefore = departure.changedAt + 2 * options.clockSkewMilliseconds
    if (departure.clean) return stoppedBefore
    return Math.max(stoppedBefore, options.fencing.fencedFrom(departure.offset))
  }

  function uncertainBefore (): number {
    const fenced = options.fencing.fencedFrom(options.epoch)
    let latest = pending.size > 0 ? fenced : 0
    for (const departure of departedAgents.values()) {
      latest = Math.max(
        latest, Math.min(departureUncertainBefore(departure), laterOfDepartureAndFence(departure, fenced)))
    }
    return latest
  }

  // The claim comes after the departure in the log, so fencing by either offset stops earlier owners at that agent.
  function laterOfDepartureAndFence (departure: DepartedAgent, fenced: number): number {
    return Math.max(departure.changedAt + 2 * options.clockSkewMilliseconds, fenced)
  }

  function dropAgedDepartures (now: number): void {
    for (const [agent, { changedAt }] of departedAgents) {
      if (changedAt < now - options.departureWindowMilliseconds) departedAgents.delete(agent)
    }
  }

  /** Whether the former owner, if it is alive, can no longer declare tasks as not run. */
  function hasFormerOwnerLeaseExpired (now: number): boolean {
    return now >= options.fencing.coveredSince(options.epoch) + options.notRunLeaseMilliseconds
  }

  /** Whether to serve without a full account. A former owner that is not known to be fenced is not awaited. */
  function isCollectTimeOver (now: number): boolean {
    if (now < options.startedAt + options.collectTimeoutMilliseconds) return false
    return options.fencing.coveredSince(options.epoch) === Infinity || hasFormerOwnerLeaseExpired(now)
  }

  function hasFullAccount (now: number): boolean {
    if (importedUncertainBefore.size > 0) return true
    if (options.handedOverBy !== undefined || pending.size > 0) return false
    return uncertainBefore() !== Infinity && hasFormerOwnerLeaseExpired(now)
  }

  return {
    epoch: options.epoch,
    handedOverBy: options.handedOverBy,
    formerOwner: options.formerOwner,
    partitions,
    removePartition: partition => { partitions.delete(partition) },
    awaits: agent => pending.has(agent),
    collected (agent, message) {
      const progress = pending.get(agent)
      if (progress === undefined) return false
      const covered = new Set(message.partitions.map(({ partition }) => partition))
      for (const partition of partitions) {
        if (!covered.has(partition)) return false
      }
      if (progress.parts !== message.parts) {
        progress.parts = message.parts
        progress.received.clear()
      }
      progress.received.add(message.part)
      if (progress.received.size < message.parts) return false
      pending.delete(agent)
      return true
    },
    departed (departure) {
      if (!pending.delete(departure.identity)) return false
      departedAgents.set(departure.identity, departure)
      return true
    },
    setImported: (partition, uncertain) => { importedUncertainBefore.set(partition, uncertain) },
    isImported: () => importedUncertainBefore.size > 0,
    takeAgentsToAsk (now) {
      const agents: AgentIdentity[] = []
      for (const [agent, progress] of pending) {
        if (progress.sendAt > now) continue
        progress.sendAt = now + progress.resendMilliseconds
        progress.resendMilliseconds = Math.min(MAXIMUM_RESEND_MILLISECONDS, progress.resendMilliseconds * 2)
        agents.push(agent)
      }
      return agents
    },
    buildCollect: () => ({
      partitions: [...partitions].map(partition => ({ partition, epoch: options.epoch }))
    }),
    advance (now) {
      dropAgedDepartures(now)
      if (phase === 'serving') return false
      if (!hasFullAccount(now) && !isCollectTimeOver(now)) return false
      phase = 'serving'
      return true
    },
    phase: () => phase,
    unaccountedAgents: () => importedUncertainBefore.size === 0 ? pending.size : 0,
    uncertainBefore: partition => importedUncertainBefore.get(partition) ?? uncertainBefore(),
    isSettled: () => phase === 'serving' && pending.size === 0 &&
      (importedUncertainBefore.size > 0 || uncertainBefore() !== Infinity)
  }
}
