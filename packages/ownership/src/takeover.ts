/**
 * One takeover: the partitions won by one record of the log, and the agents that have to tell what they know.
 *
 * The agents that earlier owners could have used are those registered below the record's offset. An agent that
 * answered has fenced the earlier epochs. One that departed took its records along, and what is not known of keys of
 * its time may have run there.
 */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import type { Collect, Collected } from '@baobabpost/messages'
import type { DepartedAgent } from './agent-roster.js'
import type { FenceClock } from './fencing-tracker.js'

const FIRST_REPEAT_MILLISECONDS = 200
const LAST_REPEAT_MILLISECONDS = 1_600

/** An agent that has not answered whole. */
interface PendingAgent {
  parts: number
  readonly received: Set<number>
  sendAt: number
  repeatMilliseconds: number
}

/** What begins a takeover. */
export interface TakeoverOptions {
  readonly epoch: number
  readonly partitions: readonly number[]
  /** Owner that gives the partitions away itself, if it does. */
  readonly handedOverBy: EntryIdentity | undefined
  readonly formerOwner: EntryIdentity | undefined
  readonly joined: readonly AgentIdentity[]
  readonly departed: readonly DepartedAgent[]
  readonly startedAt: number
  readonly collectBoundMilliseconds: number
  /** Time for which an owner that lacks the claim may still judge that a task did not run. */
  readonly verdictLeaseMilliseconds: number
  readonly clockSkewMilliseconds: number
  /** Age from which a departure can't matter to any key that is still accepted. */
  readonly departureWindowMilliseconds: number
  readonly fences: FenceClock
}

/** One takeover. */
export interface Takeover {
  readonly epoch: number
  readonly handedOverBy: EntryIdentity | undefined
  readonly formerOwner: EntryIdentity | undefined
  /** Partitions of the takeover that this entry still owns. */
  readonly partitions: ReadonlySet<number>
  removePartition: (partition: number) => void
  /** Whether the agent's answer is still awaited. */
  awaits: (agent: AgentIdentity) => boolean
  /** Notes an agent's part of an answer; tells whether the agent is now accounted for. */
  collected: (agent: AgentIdentity, message: Collected) => boolean
  /** Notes that an agent is gone; tells whether that changes anything. */
  departed: (departure: DepartedAgent) => boolean
  /** The previous owner told all of a partition; `uncertainBefore` is what it could not tell. */
  imported: (partition: number, uncertainBefore: number) => void
  isImported: () => boolean
  /** Agents to ask now, with the question. */
  due: (now: number) => readonly AgentIdentity[]
  question: () => Collect
  /** Moves on to serving where that is possible; tells whether the state changed. */
  advance: (now: number) => boolean
  phase: () => 'collecting' | 'serving'
  /** Agents that are not accounted for and matter. */
  unaccounted: () => number
  uncertainBefore: (partition: number) => number
  /** Whether nothing remains to be asked or waited for. */
  isSettled: () => boolean
}

/**
 * Begins a takeover.
 *
 * @example
 * const takeover = createTakeover({ epoch: 40, partitions: [3, 9], handedOverBy: undefined, … })
 */
export function createTakeover (options: TakeoverOptions): Takeover {
  const partitions = new Set(options.partitions)
  const pending = new Map<AgentIdentity, PendingAgent>()
  const lost = new Map<AgentIdentity, DepartedAgent>()
  let phase: 'collecting' | 'serving' = 'collecting'
  const imported = new Map<number, number>()
  for (const agent of options.joined) {
    pending.set(agent, {
      parts: 0, received: new Set(), sendAt: options.startedAt, repeatMilliseconds: FIRST_REPEAT_MILLISECONDS
    })
  }
  for (const departure of options.departed) lost.set(departure.identity, departure)

  function uncertainFor (departure: DepartedAgent): number {
    const stopped = departure.changedAt + 2 * options.clockSkewMilliseconds
    if (departure.clean) return stopped
    return Math.max(stopped, options.fences.fencedFrom(departure.offset))
  }

  function uncertainBefore (): number {
    const fenced = options.fences.fencedFrom(options.epoch)
    let latest = pending.size > 0 ? fenced : 0
    for (const departure of lost.values()) {
      latest = Math.max(latest, Math.min(uncertainFor(departure), fencedOrDeparted(departure, fenced)))
    }
    return latest
  }

  // The claim lies behind the departure, so that either fence ends what an earlier owner could do there.
  function fencedOrDeparted (departure: DepartedAgent, fenced: number): number {
    return Math.max(departure.changedAt + 2 * options.clockSkewMilliseconds, fenced)
  }

  function forgetAged (now: number): void {
    for (const [agent, { changedAt }] of lost) {
      if (changedAt < now - options.departureWindowMilliseconds) lost.delete(agent)
    }
  }

  /** Whether the former owner, if it lives, has stopped telling callers that tasks did not run. */
  function isFormerOwnerSilent (now: number): boolean {
    return now >= options.fences.coveredSince(options.epoch) + options.verdictLeaseMilliseconds
  }

  function isAccountedFor (now: number): boolean {
    if (imported.size > 0) return true
    if (options.handedOverBy !== undefined || pending.size > 0) return false
    return uncertainBefore() !== Infinity && isFormerOwnerSilent(now)
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
      lost.set(departure.identity, departure)
      return true
    },
    imported: (partition, uncertain) => { imported.set(partition, uncertain) },
    isImported: () => imported.size > 0,
    due (now) {
      const agents: AgentIdentity[] = []
      for (const [agent, progress] of pending) {
        if (progress.sendAt > now) continue
        progress.sendAt = now + progress.repeatMilliseconds
        progress.repeatMilliseconds = Math.min(LAST_REPEAT_MILLISECONDS, progress.repeatMilliseconds * 2)
        agents.push(agent)
      }
      return agents
    },
    question: () => ({
      partitions: [...partitions].map(partition => ({ partition, epoch: options.epoch }))
    }),
    advance (now) {
      forgetAged(now)
      if (phase === 'serving') return false
      if (!isAccountedFor(now) && now < options.startedAt + options.collectBoundMilliseconds) return false
      phase = 'serving'
      return true
    },
    phase: () => phase,
    unaccounted: () => imported.size === 0 ? pending.size : 0,
    uncertainBefore: partition => imported.get(partition) ?? uncertainBefore(),
    isSettled: () => phase === 'serving' && pending.size === 0 &&
      (imported.size > 0 || uncertainBefore() !== Infinity)
  }
}
