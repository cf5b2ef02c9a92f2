/** Tracks the other entries by their heartbeats: liveness, state, log positions. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import {
  registerName, type EntryHeartbeat, type EntryHeartbeatAnswer, type EntryRegistration
} from '@baobabpost/messages'
import type { EntryView, MembershipOptions } from './membership.js'
import type { PauseClock } from './pause-clock.js'
import { rankOf } from './rank.js'

const HEARTBEAT_INTERVAL_MILLISECONDS = 500
/** Time without contact after which an entry counts as dead. */
const DEAD_AFTER_MILLISECONDS = 2_500
/** Time without contact after which the registration of a dead entry is removed. */
const REMOVE_AFTER_MILLISECONDS = 20_000
/** Extra delay per rank, so that an entry removes a registration only if those of a lower rank did not. */
const RANK_DELAY_MILLISECONDS = 1_000
const APPEND_RETRY_MILLISECONDS = 1_000
/** Maximum number of registers in one answer to a heartbeat. */
const MAXIMUM_ANSWER_REGISTERS = 5_000
const MAXIMUM_REMEMBERED_HEARTBEATS = 20

interface Peer {
  registration: EntryRegistration | undefined
  address: string
  failureDomain: string
  state: 'ready' | 'stopping'
  position: number
  /** Running time of this process, without its pauses, at the last contact or when it learned of the peer. */
  lastSeenAt: number
  /** Whether a heartbeat or an answer ever arrived from the peer. */
  hasBeenSeen: boolean
  answeredSentAt: number | undefined
  /**
   * Send time (Unix milliseconds) of this entry's newest heartbeat that the peer had answered when the peer's own last
   * heartbeat arrived. That heartbeat takes into account what this entry suspected up to then.
   */
  lastHeartbeatCoversUpTo: number
  /** Agents that the peer suspects. */
  suspectedAgents: readonly AgentIdentity[]
  /** Agents that some entry suspects and the peer still receives heartbeats from. */
  seenAgents: ReadonlySet<AgentIdentity>
  /** Unix time of the last append that removes the peer's registration. */
  removalAppendedAt: number
}

export interface EntryPeersOptions extends MembershipOptions {
  readonly clock: PauseClock
  /** Agents that this entry suspects. */
  readonly suspectedAgents: () => readonly AgentIdentity[]
  /** Returns those of the given agents that sent this entry a heartbeat recently. */
  readonly selectRecentlySeen: (agents: readonly AgentIdentity[]) => readonly AgentIdentity[]
  /** Whether this entry has enough contact with the fleet to treat unresponsive members as gone. */
  readonly mayDeclareDeparted: () => boolean
}

/** Failure detector for the other entries. */
export interface EntryPeers {
  start: (now: number) => void
  handleHeartbeat: (message: EntryHeartbeat, now: number) => void
  handleAnswer: (from: EntryIdentity, message: EntryHeartbeatAnswer) => void
  /** Handles a changed registration of an entry; `null` where it was removed. */
  registrationChanged: (identity: EntryIdentity, registration: EntryRegistration | null) => void
  tick: (now: number) => void
  stop: (now: number) => void
  leave: () => void
  /** Live entries, including this one, sorted by identity. */
  live: () => readonly EntryView[]
  /**
   * Whether no live peer receives heartbeats from an agent. False until each live peer has sent a heartbeat of its own
   * after learning that this entry suspects the agent.
   */
  isUnseenByPeers: (agent: AgentIdentity, suspectedSince: number) => boolean
  /** Whether this entry has contact with a majority of the registered entries, counting itself. */
  hasContactWithMostEntries: () => boolean
  /** Whether this entry has contact with any other entry. */
  hasContactWithPeers: () => boolean
}

export function createEntryPeers (options: EntryPeersOptions): EntryPeers {
  const { identity, clock, projection, outbox } = options
  const ownRegister = registerName('entry', identity)
  const peers = new Map<EntryIdentity, Peer>()
  const heartbeatSentAt = new Map<number, number>()
  let ownState: 'ready' | 'stopping' = 'ready'
  let sequence = 0
  let nextHeartbeatAt = 0
  let nextRegistrationAt = 0
  let isLeaving = false

  function ownRegistration (): EntryRegistration {
    return { identity, address: options.address, failureDomain: options.failureDomain }
  }

  function registerSelf (now: number): void {
    if (isLeaving || now < nextRegistrationAt || projection.read(ownRegister) !== undefined) return
    nextRegistrationAt = now + APPEND_RETRY_MILLISECONDS
    outbox.append([{ kind: 'write', register: ownRegister, replaces: 0, value: { ...ownRegistration(), leases: options.ownerLeases } }])
  }

  function findOrCreatePeer (peer: EntryIdentity, address: string, failureDomain: string): Peer {
    const known = peers.get(peer)
    if (known !== undefined) return known
    const created: Peer = {
      registration: undefined,
      address,
      failureDomain,
      state: 'ready',
      position: 0,
      lastSeenAt: clock.runningMilliseconds(),
      hasBeenSeen: false,
      answeredSentAt: undefined,
      lastHeartbeatCoversUpTo: -Infinity,
      suspectedAgents: [],
      seenAgents: new Set(),
      removalAppendedAt: 0
    }
    peers.set(peer, created)
    return created
  }

  function isLive (peer: Peer): boolean {
    return peer.registration !== undefined && clock.runningMilliseconds() - peer.lastSeenAt < DEAD_AFTER_MILLISECONDS
  }

  function agentsSuspectedByPeers (): AgentIdentity[] {
    const suspectedAgents = new Set<AgentIdentity>()
    for (const peer of peers.values()) {
      for (const agent of peer.suspectedAgents) suspectedAgents.add(agent)
    }
    return [...suspectedAgents]
  }

  function sendHeartbeats (now: number): void {
    sequence += 1
    heartbeatSentAt.set(sequence, now)
    heartbeatSentAt.delete(sequence - MAXIMUM_REMEMBERED_HEARTBEATS)
    const message = {
      method: 'entryHeartbeat',
      parameters: {
        ...ownRegistration(),
        state: ownState,
        sequence,
        position: projection.position(),
        suspectedAgents: options.suspectedAgents(),
        heardAgents: options.selectRecentlySeen(agentsSuspectedByPeers())
      }
    } as const
    for (const peer of peers.keys()) outbox.send(peer, message)
    if (peers.size === 0) options.sendToSeeds(message)
  }

  /** Removes registrations of entries without contact for `REMOVE_AFTER_MILLISECONDS` plus this entry's rank delay. */
  function removeDeadRegistrations (now: number): void {
    const liveIdentities = live().map(entry => entry.identity)
    for (const [peerIdentity, peer] of peers) {
      if (peer.registration === undefined) {
        if (clock.runningMilliseconds() - peer.lastSeenAt >= REMOVE_AFTER_MILLISECONDS) peers.delete(peerIdentity)
        continue
      }
      const register = registerName('entry', peerIdentity)
      const silentMilliseconds = clock.runningMilliseconds() - peer.lastSeenAt
      const limitMilliseconds =
        REMOVE_AFTER_MILLISECONDS + rankOf(register, identity, liveIdentities) * RANK_DELAY_MILLISECONDS
      if (
        silentMilliseconds < limitMilliseconds || now - peer.removalAppendedAt < APPEND_RETRY_MILLISECONDS ||
        !options.mayDeclareDeparted()
      ) continue
      peer.removalAppendedAt = now
      const replaces = projection.read(register)?.version
      if (replaces !== undefined) outbox.append([{ kind: 'write', register, replaces, value: null }])
    }
  }

  /** Whether a registration belongs to an entry that stopped before this one started. */
  function isStaleRegistration (peer: Peer): boolean {
    return !peer.hasBeenSeen && clock.runningMilliseconds() - peer.lastSeenAt >= REMOVE_AFTER_MILLISECONDS
  }

  function hasContactWithMostEntries (): boolean {
    let registered = 1
    let seenCount = 1
    for (const peer of peers.values()) {
      if (peer.registration === undefined || isStaleRegistration(peer)) continue
      registered += 1
      if (isLive(peer) && peer.hasBeenSeen) seenCount += 1
    }
    return 2 * seenCount > registered
  }

  function hasContactWithPeers (): boolean {
    for (const peer of peers.values()) {
      if (isLive(peer) && peer.hasBeenSeen) return true
    }
    return false
  }

  function live (): readonly EntryView[] {
    const views: EntryView[] = []
    if (projection.read(ownRegister) !== undefined) {
      views.push({ ...ownRegistration(), state: ownState, position: projection.position(), answeredSentAt: undefined })
    }
    for (const [peerIdentity, peer] of peers) {
      if (!isLive(peer)) continue
      const { address, failureDomain, position, answeredSentAt } = peer
      views.push({ identity: peerIdentity, address, failureDomain, state: peer.state, position, answeredSentAt })
    }
    return views.sort((left, right) => left.identity < right.identity ? -1 : 1)
  }

  return {
    start (now) {
      nextRegistrationAt = now
      registerSelf(now)
      sendHeartbeats(now)
      nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MILLISECONDS
    },

    handleHeartbeat (message, now) {
      if (message.identity === identity) return
      const isNew = !peers.has(message.identity)
      const peer = findOrCreatePeer(message.identity, message.address, message.failureDomain)
      peer.lastHeartbeatCoversUpTo = peer.answeredSentAt ?? -Infinity
      peer.lastSeenAt = clock.runningMilliseconds()
      peer.hasBeenSeen = true
      peer.state = message.state
      peer.position = Math.max(peer.position, message.position)
      peer.suspectedAgents = message.suspectedAgents
      peer.seenAgents = new Set(message.heardAgents)
      const delta = projection.changesSince(message.position, MAXIMUM_ANSWER_REGISTERS)
      // Sequence 0 keeps the receiver from counting an incomplete answer as contact: a register that was left out
      // could say that the receiver lost a partition.
      const isComplete = delta.position >= projection.position()
      outbox.send(message.identity, {
        method: 'entryHeartbeatAnswer',
        parameters: {
          sequence: isComplete ? message.sequence : 0, position: delta.position, registers: delta.registers
        }
      })
      if (isNew) sendHeartbeats(now)
    },

    handleAnswer (from, message) {
      const peer = peers.get(from)
      const sentAt = heartbeatSentAt.get(message.sequence)
      if (peer === undefined || sentAt === undefined) return
      peer.lastSeenAt = clock.runningMilliseconds()
      peer.hasBeenSeen = true
      peer.position = Math.max(peer.position, message.position)
      peer.answeredSentAt = Math.max(sentAt, peer.answeredSentAt ?? sentAt)
    },

    registrationChanged (entry, registration) {
      if (entry === identity) return
      if (registration === null) {
        peers.delete(entry)
        return
      }
      const peer = findOrCreatePeer(entry, registration.address, registration.failureDomain)
      peer.registration = registration
      peer.address = registration.address
    },

    tick (now) {
      registerSelf(now)
      if (now < nextHeartbeatAt) return
      nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MILLISECONDS
      sendHeartbeats(now)
      removeDeadRegistrations(now)
    },

    stop (now) {
      ownState = 'stopping'
      sendHeartbeats(now)
    },

    leave () {
      isLeaving = true
      const replaces = projection.read(ownRegister)?.version
      if (replaces !== undefined) {
        outbox.append([{ kind: 'write', register: ownRegister, replaces, value: null }])
      }
    },

    live,

    isUnseenByPeers (agent, suspectedSince) {
      for (const peer of peers.values()) {
        if (!isLive(peer)) continue
        if (peer.lastHeartbeatCoversUpTo <= suspectedSince || peer.seenAgents.has(agent)) return false
      }
      return true
    },

    hasContactWithMostEntries,
    hasContactWithPeers
  }
}
