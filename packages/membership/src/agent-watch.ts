/** Tracks agents by their heartbeats, as one entry receives them: registration, suspicion, departure. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import {
  NEVER_WRITTEN_VERSION, registerName, type AgentRegistration, type Announce, type Announced, type RegisterWrite
} from '@baobabpost/messages'
import { createAnnounceAnswers } from './announce-answers.js'
import type { AgentView, MembershipEvent, MembershipOptions } from './membership.js'
import type { PauseClock } from './pause-clock.js'
import { rankOf } from './rank.js'

/** Time without a heartbeat after which an agent is suspected and gets no new work. */
const SUSPECT_AFTER_MILLISECONDS = 1_500
/** Time without a heartbeat after which an agent that no entry receives heartbeats from is declared departed. */
const DEPART_AFTER_MILLISECONDS = 5_000
/** Time without a heartbeat after which an agent that announced its shutdown is declared departed. */
const LEAVING_DEPART_AFTER_MILLISECONDS = 1_500
/** Extra delay per rank, so that an entry appends only if those of a lower rank did not. */
const RANK_DELAY_MILLISECONDS = 300
const APPEND_RETRY_MILLISECONDS = 1_000
/** Maximum number of writes in one log record. */
const MAXIMUM_RECORD_WRITES = 100
const REMOVAL_CHECK_INTERVAL_MILLISECONDS = 1_000

interface WatchedAgent {
  announce: Announce
  /** Running time of this process, without its pauses, at the last heartbeat. */
  lastSeenAt: number
  /** Running time of this process at the first heartbeat. */
  firstSeenAt: number
  /** State in the last event about this agent. */
  reportedState: 'nothing' | 'usable' | 'suspected' | 'leaving'
  /** Fingerprint of the last `agent-usable` event, to skip events that change nothing. */
  reportedView: string
  registrationAppendedAt: number
}

export interface AgentWatchOptions extends MembershipOptions {
  readonly clock: PauseClock
  readonly liveEntries: () => readonly EntryIdentity[]
  /**
   * Whether no live peer receives heartbeats from an agent. False until each live peer has sent a heartbeat of its own
   * after learning that this entry suspects the agent.
   */
  readonly isUnseenByPeers: (agent: AgentIdentity, suspectedSince: number) => boolean
  /** Whether this entry receives heartbeats or answers from a majority of the registered entries. */
  readonly hasContactWithMostEntries: () => boolean
  /** Whether this entry receives heartbeats or answers from any other entry. */
  readonly hasContactWithPeers: () => boolean
  readonly entryAddresses: () => Announced['entries']
}

/** Failure detector for agents; its methods return the events to pass on. */
export interface AgentWatch {
  handleAnnounce: (announce: Announce) => readonly MembershipEvent[]
  /** Handles a changed registration; `null` where it was removed. */
  registrationChanged: (identity: AgentIdentity, registration: AgentRegistration | null) => readonly MembershipEvent[]
  /** Tells agents at once of changed registers that forbid them to start anything, or allow it again. */
  prohibitionsChanged: (registers: ReadonlySet<string>) => void
  tick: (now: number) => readonly MembershipEvent[]
  usable: () => readonly AgentView[]
  suspected: () => readonly AgentIdentity[]
  /** Returns those of the given agents whose last heartbeat is recent enough that they are not suspected. */
  selectRecentlySeen: (agents: readonly AgentIdentity[]) => readonly AgentIdentity[]
  registrations: () => readonly AgentRegistration[]
  /** Whether this entry has enough contact with the fleet to treat unresponsive members as gone. */
  mayDeclareDeparted: () => boolean
}

export function createAgentWatch (options: AgentWatchOptions): AgentWatch {
  const { clock, projection, outbox, identity } = options
  const agents = new Map<AgentIdentity, WatchedAgent>()
  /** Running time of this process at which it learned of each joined registration. */
  const knownSince = new Map<AgentIdentity, number>()
  /** Unix time of the last append that declares an agent departed or removes its registration. */
  const departureAppendedAt = new Map<AgentIdentity, number>()
  /** Unix time at which each agent became suspected. */
  const suspectedSince = new Map<AgentIdentity, number>()
  const answers = createAnnounceAnswers({ ...options, standingOf: announce => statusOf(announce.identity) })
  let pendingWrites: RegisterWrite[] = []
  let nextRemovalCheckAt = 0

  function registrationOf (agent: AgentIdentity): AgentRegistration | undefined {
    const register = projection.read(registerName('agent', agent))
    return register === undefined || register.value === null ? undefined : register.value as AgentRegistration
  }

  function statusOf (agent: AgentIdentity): Announced['standing'] {
    return registrationOf(agent)?.state ?? 'pending'
  }

  function viewOf ({ announce }: WatchedAgent): AgentView {
    const { service, failureDomain, slots, connections, window, configurationPosition } = announce
    return {
      identity: announce.identity,
      address: announce.address,
      service,
      failureDomain,
      slots,
      connections,
      window,
      configurationPosition,
      registeredVersion: projection.read(registerName('agent', announce.identity))?.version ?? NEVER_WRITTEN_VERSION
    }
  }

  /** Reports an agent as usable, unless the last event about it said the same. */
  function reportUsable (agent: WatchedAgent): readonly MembershipEvent[] {
    const view = viewOf(agent)
    const joined = statusOf(view.identity) === 'joined'
    const reportKey = JSON.stringify([view.slots, view.window, view.registeredVersion, joined])
    if (agent.reportedState === 'usable' && agent.reportedView === reportKey) return []
    agent.reportedState = 'usable'
    agent.reportedView = reportKey
    return [{ kind: 'agent-usable', agent: view, joined }]
  }

  function isMyTurn (agent: AgentIdentity, sinceMilliseconds: number): boolean {
    return sinceMilliseconds >= rankOf(agent, identity, options.liveEntries()) * RANK_DELAY_MILLISECONDS
  }

  /** Appends the writes collected in a tick, in as few records as possible. */
  function appendWrites (): void {
    for (let start = 0; start < pendingWrites.length; start += MAXIMUM_RECORD_WRITES) {
      outbox.append(pendingWrites.slice(start, start + MAXIMUM_RECORD_WRITES))
    }
    pendingWrites = []
  }

  function registerAgent (agent: WatchedAgent, now: number): void {
    const { identity: agentIdentity, address, service, failureDomain } = agent.announce
    if (agent.announce.state === 'leaving' || statusOf(agentIdentity) !== 'pending') return
    if (!isMyTurn(agentIdentity, clock.runningMilliseconds() - agent.firstSeenAt)) return
    if (now - agent.registrationAppendedAt < APPEND_RETRY_MILLISECONDS) return
    agent.registrationAppendedAt = now
    const value: AgentRegistration = {
      identity: agentIdentity, address, service, failureDomain, state: 'joined', changedAt: now, clean: false
    }
    pendingWrites.push({ kind: 'write', register: registerName('agent', agentIdentity), replaces: NEVER_WRITTEN_VERSION, value })
  }

  /** Whether a recent departure or removal append may still reach the log; if not, records that one is made now. */
  function isDepartureAppendPending (agent: AgentIdentity, now: number): boolean {
    const last = departureAppendedAt.get(agent) ?? -Infinity
    if (now - last < APPEND_RETRY_MILLISECONDS) return true
    departureAppendedAt.set(agent, now)
    return false
  }

  function appendDeparture (agent: AgentIdentity, clean: boolean, now: number): void {
    const register = projection.read(registerName('agent', agent))
    const registration = registrationOf(agent)
    if (register === undefined || registration?.state !== 'joined' || isDepartureAppendPending(agent, now)) return
    const value: AgentRegistration = { ...registration, state: 'departed', changedAt: now, clean }
    pendingWrites.push({ kind: 'write', register: register.register, replaces: register.version, value })
  }

  /**
   * Whether missing heartbeats indicate a fault of the sender rather than of this entry's own network: this entry has
   * contact with some other process, and with most entries or most agents. The smaller side of a network partition, or
   * an isolated entry, must not declare the rest departed.
   */
  function mayDeclareDeparted (): boolean {
    const joined = projection.list('agent').filter(({ value }) => (value as AgentRegistration).state === 'joined')
    const suspectedRegistrations = joined.filter(({ value }) =>
      suspectedSince.has((value as AgentRegistration).identity))
    const hasContactWithAgents = suspectedRegistrations.length < joined.length
    if (options.hasContactWithMostEntries()) return hasContactWithAgents || options.hasContactWithPeers()
    return hasContactWithAgents && 2 * suspectedRegistrations.length < joined.length
  }

  function checkAgent (agentIdentity: AgentIdentity, agent: WatchedAgent, now: number): MembershipEvent[] {
    const silentMilliseconds = clock.runningMilliseconds() - agent.lastSeenAt
    if (silentMilliseconds < SUSPECT_AFTER_MILLISECONDS) {
      registerAgent(agent, now)
      return []
    }
    const events: MembershipEvent[] = []
    if (agent.reportedState === 'usable') {
      agent.reportedState = 'suspected'
      events.push({ kind: 'agent-suspected', agent: agentIdentity })
    }
    checkDeparture(agentIdentity, silentMilliseconds, agent.announce.state === 'leaving', now)
    if (silentMilliseconds >= DEPART_AFTER_MILLISECONDS && statusOf(agentIdentity) === 'pending') forget(agentIdentity)
    return events
  }

  function forget (agent: AgentIdentity): void {
    agents.delete(agent)
    suspectedSince.delete(agent)
  }

  function checkDeparture (agent: AgentIdentity, silentMilliseconds: number, isLeaving: boolean, now: number): void {
    const suspectedAt = suspectedSince.get(agent) ?? now
    suspectedSince.set(agent, suspectedAt)
    const limitMilliseconds = isLeaving ? LEAVING_DEPART_AFTER_MILLISECONDS : DEPART_AFTER_MILLISECONDS
    if (silentMilliseconds < limitMilliseconds || !isMyTurn(agent, silentMilliseconds - limitMilliseconds)) return
    if (!options.isUnseenByPeers(agent, suspectedAt) || !mayDeclareDeparted()) return
    appendDeparture(agent, isLeaving, now)
  }

  /** Checks registered agents that never sent this entry a heartbeat, such as those that stopped before it started. */
  function checkNeverSeen (now: number): void {
    for (const [agent, since] of knownSince) {
      const silentMilliseconds = clock.runningMilliseconds() - since
      if (
        silentMilliseconds >= SUSPECT_AFTER_MILLISECONDS && !agents.has(agent)
      ) checkDeparture(agent, silentMilliseconds, false, now)
    }
  }

  /** Removes registrations of departed agents once every submission key from their time has expired. */
  function removeExpiredRegistrations (now: number): void {
    if (now < nextRemovalCheckAt) return
    nextRemovalCheckAt = now + REMOVAL_CHECK_INTERVAL_MILLISECONDS
    const retentionMilliseconds = 2 * options.keyWindowMilliseconds
    for (const register of projection.list('agent')) {
      const { identity: agent, state, changedAt } = register.value as AgentRegistration
      if (state !== 'departed' || now - changedAt < retentionMilliseconds) continue
      if (!isMyTurn(agent, now - changedAt - retentionMilliseconds) || isDepartureAppendPending(agent, now)) continue
      pendingWrites.push({ kind: 'write', register: register.register, replaces: register.version, value: null })
    }
  }

  return {
    prohibitionsChanged (changed) {
      answers.tellProhibitions(changed, [...agents.values()].map(({ announce }) => announce))
    },
    handleAnnounce (announce) {
      let agent = agents.get(announce.identity)
      if (agent === undefined) {
        const running = clock.runningMilliseconds()
        agent = {
          announce,
          lastSeenAt: running,
          firstSeenAt: running,
          reportedState: 'nothing',
          reportedView: '',
          registrationAppendedAt: -Infinity
        }
        agents.set(announce.identity, agent)
      }
      if (announce.sequence >= agent.announce.sequence) agent.announce = announce
      agent.lastSeenAt = clock.runningMilliseconds()
      suspectedSince.delete(announce.identity)
      answers.answer(announce)
      if (statusOf(announce.identity) === 'departed') return []
      if (agent.announce.state === 'active') return reportUsable(agent)
      if (agent.reportedState === 'leaving') return []
      agent.reportedState = 'leaving'
      return [{ kind: 'agent-leaving', agent: announce.identity }]
    },

    registrationChanged (agentIdentity, registration) {
      if (registration === null) {
        knownSince.delete(agentIdentity)
        departureAppendedAt.delete(agentIdentity)
        suspectedSince.delete(agentIdentity)
        return []
      }
      if (registration.state === 'departed') {
        const wasKnown = agents.has(agentIdentity) || knownSince.has(agentIdentity)
        forget(agentIdentity)
        knownSince.delete(agentIdentity)
        if (!wasKnown) return []
        const { changedAt, clean } = registration
        return [{ kind: 'agent-departed', agent: agentIdentity, changedAt, clean }]
      }
      if (!knownSince.has(agentIdentity)) knownSince.set(agentIdentity, clock.runningMilliseconds())
      const agent = agents.get(agentIdentity)
      return agent?.reportedState === 'usable' ? reportUsable(agent) : []
    },

    tick (now) {
      const events: MembershipEvent[] = []
      for (const [agentIdentity, agent] of agents) events.push(...checkAgent(agentIdentity, agent, now))
      checkNeverSeen(now)
      removeExpiredRegistrations(now)
      appendWrites()
      return events
    },

    usable: () => [...agents.values()].filter(agent => agent.reportedState === 'usable').map(viewOf),
    suspected: () => [...suspectedSince.keys()],
    selectRecentlySeen: candidates => candidates.filter(agent => {
      const lastSeenAt = agents.get(agent)?.lastSeenAt
      return lastSeenAt !== undefined && clock.runningMilliseconds() - lastSeenAt < SUSPECT_AFTER_MILLISECONDS
    }),
    registrations: () => projection.list('agent').map(register => register.value as AgentRegistration),
    mayDeclareDeparted
  }
}
