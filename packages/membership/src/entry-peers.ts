/** The other entries as one entry hears them: heartbeats, liveness, positions. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import {
  registerName, type EntryHeartbeat, type EntryHeartbeatAnswer, type EntryRegistration
} from '@baobabpost/messages'
import type { EntryView, MembershipOptions } from './membership.js'
import type { PauseClock } from './pause-clock.js'
import { rankOf } from './rank.js'

const HEARTBEAT_MILLISECONDS = 500
/** Silence after which an entry counts as dead. */
const DEAD_MILLISECONDS = 2_500
/** Silence after which the registration of a dead entry is removed. */
const REMOVE_MILLISECONDS = 20_000
const RANK_MILLISECONDS = 1_000
const APPEND_RETRY_MILLISECONDS = 1_000
/** Most registers of one answer. */
const MAXIMUM_REGISTERS = 5_000
const REMEMBERED_HEARTBEATS = 20

interface Peer {
  registration: EntryRegistration | undefined
  address: string
  failureDomain: string
  state: 'ready' | 'stopping'
  position: number
  /** Running time at which it was heard last, or at which this entry learned of it. */
  heardAt: number
  /** Whether it was ever heard. */
  wasHeard: boolean
  answeredSentAt: number | undefined
  /** When this entry sent the last heartbeat that the peer took in before its own last one, Unix milliseconds. */
  consultedUpTo: number
  /** Agents that it suspects. */
  suspectedAgents: readonly AgentIdentity[]
  heardAgents: ReadonlySet<AgentIdentity>
  /** Unix time of the last append that should remove it. */
  removedAt: number
}

/** What the view of the other entries needs. */
export interface EntryPeersOptions extends MembershipOptions {
  readonly clock: PauseClock
  /** Agents that this entry suspects, and of the given ones those that it hears. */
  readonly suspectedAgents: () => readonly AgentIdentity[]
  readonly heardOf: (agents: readonly AgentIdentity[]) => readonly AgentIdentity[]
  /** Whether silence of others says something about them. */
  readonly mayJudge: () => boolean
}

/** The other entries. */
export interface EntryPeers {
  start: (now: number) => void
  heartbeat: (message: EntryHeartbeat, now: number) => void
  answer: (from: EntryIdentity, message: EntryHeartbeatAnswer) => void
  /** Takes in that the registration of an entry changed; `null` where it was removed. */
  registered: (identity: EntryIdentity, registration: EntryRegistration | null) => void
  tick: (now: number) => void
  stop: (now: number) => void
  leave: () => void
  /** Live entries with this one, sorted by identity. */
  live: () => readonly EntryView[]
  /** Whether every live peer had the chance to say that it hears an agent suspected since then, and none does. */
  isUnheardElsewhere: (agent: AgentIdentity, suspectedSince: number) => boolean
  /** Whether this entry hears a majority of the registered entries, itself counted. */
  hearsMostEntries: () => boolean
  /** Whether this entry hears any other entry. */
  hearsPeers: () => boolean
}

/** Makes the view of the other entries. */
export function createEntryPeers (options: EntryPeersOptions): EntryPeers {
  const { identity, clock, projection: projection, outbox } = options
  const ownRegister = registerName('entry', identity)
  const peers = new Map<EntryIdentity, Peer>()
  const sentAt = new Map<number, number>()
  let ownState: 'ready' | 'stopping' = 'ready'
  let sequence = 0
  let nextHeartbeatAt = 0
  let registerAt = 0
  let leaving = false

  function ownRegistration (): EntryRegistration {
    return { identity, address: options.address, failureDomain: options.failureDomain }
  }

  function register (now: number): void {
    if (leaving || now < registerAt || projection.read(ownRegister) !== undefined) return
    registerAt = now + APPEND_RETRY_MILLISECONDS
    outbox.append([{ kind: 'write', register: ownRegister, replaces: 0, value: ownRegistration() }])
  }

  function peerOf (peer: EntryIdentity, address: string, failureDomain: string): Peer {
    const known = peers.get(peer)
    if (known !== undefined) return known
    const created: Peer = {
      registration: undefined,
      address,
      failureDomain,
      state: 'ready',
      position: 0,
      heardAt: clock.running(),
      wasHeard: false,
      answeredSentAt: undefined,
      consultedUpTo: -Infinity,
      suspectedAgents: [],
      heardAgents: new Set(),
      removedAt: 0
    }
    peers.set(peer, created)
    return created
  }

  function isLive (peer: Peer): boolean {
    return peer.registration !== undefined && clock.running() - peer.heardAt < DEAD_MILLISECONDS
  }

  function askedAgents (): AgentIdentity[] {
    const asked = new Set<AgentIdentity>()
    for (const peer of peers.values()) {
      for (const agent of peer.suspectedAgents) asked.add(agent)
    }
    return [...asked]
  }

  function sendHeartbeats (now: number): void {
    sequence += 1
    sentAt.set(sequence, now)
    sentAt.delete(sequence - REMEMBERED_HEARTBEATS)
    const message = {
      method: 'entryHeartbeat',
      parameters: {
        ...ownRegistration(),
        state: ownState,
        sequence,
        position: projection.position(),
        suspectedAgents: options.suspectedAgents(),
        heardAgents: options.heardOf(askedAgents())
      }
    } as const
    for (const peer of peers.keys()) outbox.send(peer, message)
    if (peers.size === 0) options.sendToSeeds(message)
  }

  /** Removes the registrations of entries that have been dead for long, the first by rank first. */
  function removeDead (now: number): void {
    const living = live().map(entry => entry.identity)
    for (const [peer, state] of peers) {
      if (state.registration === undefined) {
        if (clock.running() - state.heardAt >= REMOVE_MILLISECONDS) peers.delete(peer)
        continue
      }
      const register = registerName('entry', peer)
      const silent = clock.running() - state.heardAt
      const due = REMOVE_MILLISECONDS + rankOf(register, identity, living) * RANK_MILLISECONDS
      if (silent < due || now - state.removedAt < APPEND_RETRY_MILLISECONDS || !options.mayJudge()) continue
      state.removedAt = now
      const replaces = projection.read(register)?.version
      if (replaces !== undefined) outbox.append([{ kind: 'write', register, replaces, value: null }])
    }
  }

  /** Whether a registration is left over from an entry that ended before this one began to listen. */
  function isLeftOver (peer: Peer): boolean {
    return !peer.wasHeard && clock.running() - peer.heardAt >= REMOVE_MILLISECONDS
  }

  function hearsMostEntries (): boolean {
    let registered = 1
    let heard = 1
    for (const peer of peers.values()) {
      if (peer.registration === undefined || isLeftOver(peer)) continue
      registered += 1
      if (isLive(peer) && peer.wasHeard) heard += 1
    }
    return 2 * heard > registered
  }

  function hearsPeers (): boolean {
    for (const peer of peers.values()) {
      if (isLive(peer) && peer.wasHeard) return true
    }
    return false
  }

  function live (): readonly EntryView[] {
    const views: EntryView[] = []
    if (projection.read(ownRegister) !== undefined) {
      views.push({ ...ownRegistration(), state: ownState, position: projection.position(), answeredSentAt: undefined })
    }
    for (const [peer, state] of peers) {
      if (!isLive(state)) continue
      const { address, failureDomain, position, answeredSentAt } = state
      views.push({ identity: peer, address, failureDomain, state: state.state, position, answeredSentAt })
    }
    return views.sort((left, right) => left.identity < right.identity ? -1 : 1)
  }

  return {
    start (now) {
      registerAt = now
      register(now)
      sendHeartbeats(now)
      nextHeartbeatAt = now + HEARTBEAT_MILLISECONDS
    },

    heartbeat (message, now) {
      if (message.identity === identity) return
      const isNew = !peers.has(message.identity)
      const peer = peerOf(message.identity, message.address, message.failureDomain)
      peer.consultedUpTo = peer.answeredSentAt ?? -Infinity
      peer.heardAt = clock.running()
      peer.wasHeard = true
      peer.state = message.state
      peer.position = Math.max(peer.position, message.position)
      peer.suspectedAgents = message.suspectedAgents
      peer.heardAgents = new Set(message.heardAgents)
      const delta = projection.changesSince(message.position, MAXIMUM_REGISTERS)
      // An answer that leaves registers out must not count as heard: the asker could miss that it lost a partition.
      const isWhole = delta.position >= projection.position()
      outbox.send(message.identity, {
        method: 'entryHeartbeatAnswer',
        parameters: {
          sequence: isWhole ? message.sequence : 0, position: delta.position, registers: delta.registers
        }
      })
      if (isNew) sendHeartbeats(now)
    },

    answer (from, message) {
      const peer = peers.get(from)
      const sent = sentAt.get(message.sequence)
      if (peer === undefined || sent === undefined) return
      peer.heardAt = clock.running()
      peer.wasHeard = true
      peer.position = Math.max(peer.position, message.position)
      peer.answeredSentAt = Math.max(sent, peer.answeredSentAt ?? sent)
    },

    registered (entry, registration) {
      if (entry === identity) return
      if (registration === null) {
        peers.delete(entry)
        return
      }
      const peer = peerOf(entry, registration.address, registration.failureDomain)
      peer.registration = registration
      peer.address = registration.address
    },

    tick (now) {
      register(now)
      if (now < nextHeartbeatAt) return
      nextHeartbeatAt = now + HEARTBEAT_MILLISECONDS
      sendHeartbeats(now)
      removeDead(now)
    },

    stop (now) {
      ownState = 'stopping'
      sendHeartbeats(now)
    },

    leave () {
      leaving = true
      const replaces = projection.read(ownRegister)?.version
      if (replaces !== undefined) {
        outbox.append([{ kind: 'write', register: ownRegister, replaces, value: null }])
      }
    },

    live,

    isUnheardElsewhere (agent, suspectedSince) {
      for (const peer of peers.values()) {
        if (!isLive(peer)) continue
        if (peer.consultedUpTo <= suspectedSince || peer.heardAgents.has(agent)) return false
      }
      return true
    },

    hearsMostEntries,
    hearsPeers
  }
}
