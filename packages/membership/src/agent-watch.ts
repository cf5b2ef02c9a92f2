/** The agents as one entry hears them: registration, suspicion, departure. */
import type { AgentIdentity, EntryIdentity } from '@baobabpost/common'
import {
  NEVER_WRITTEN_VERSION, registerName, type AgentRegistration, type Announce, type Announced, type RegisterWrite
} from '@baobabpost/messages'
import type { AgentView, MembershipEvent, MembershipOptions } from './membership.js'
import type { PauseClock } from './pause-clock.js'
import { rankOf } from './rank.js'

/** Silence after which an agent gets no new work. */
const SUSPECTED_MILLISECONDS = 1_500
/** Silence after which an agent that nobody hears counts as gone for good. */
const DEPARTED_MILLISECONDS = 5_000
/** Silence after which an agent that said it leaves counts as gone. */
const LEFT_MILLISECONDS = 1_500
/** Time by which each further entry waits for the one before it to do the same. */
const RANK_MILLISECONDS = 300
const APPEND_RETRY_MILLISECONDS = 1_000
/** Most registers of one answer to a heartbeat. */
const MAXIMUM_REGISTERS = 100
/** Most writes of one record. */
const MAXIMUM_WRITES = 100
const REMOVAL_CHECK_MILLISECONDS = 1_000

interface WatchedAgent {
  announce: Announce
  /** Running time at which it was heard last. */
  heardAt: number
  /** Running time at which it was heard first. */
  firstHeardAt: number
  told: 'nothing' | 'usable' | 'suspected' | 'leaving'
  /** What was told of it last, to tell only what changed. */
  toldView: string
  appendedAt: number
}

/** What the watch over agents needs. */
export interface AgentWatchOptions extends MembershipOptions {
  readonly clock: PauseClock
  readonly liveEntries: () => readonly EntryIdentity[]
  /** Whether every live peer had the chance to say that it hears an agent suspected since then, and none does. */
  readonly isUnheardElsewhere: (agent: AgentIdentity, suspectedSince: number) => boolean
  /** Whether this entry hears a majority of the registered entries. */
  readonly hearsMostEntries: () => boolean
  /** Whether this entry hears any other entry. */
  readonly hearsPeers: () => boolean
  readonly entryAddresses: () => Announced['entries']
}

/** The agents. */
export interface AgentWatch {
  announce: (announce: Announce) => readonly MembershipEvent[]
  /** Takes in that a registration changed; `null` where it was removed. */
  registered: (identity: AgentIdentity, registration: AgentRegistration | null) => readonly MembershipEvent[]
  tick: (now: number) => readonly MembershipEvent[]
  usable: () => readonly AgentView[]
  suspected: () => readonly AgentIdentity[]
  /** Of the given agents those that were heard lately. */
  heardOf: (agents: readonly AgentIdentity[]) => readonly AgentIdentity[]
  registrations: () => readonly AgentRegistration[]
  /** Whether silence of others says something about them. */
  mayJudge: () => boolean
}

/** Makes the watch over agents. */
export function createAgentWatch (options: AgentWatchOptions): AgentWatch {
  const { clock, projection: projection, outbox, identity } = options
  const agents = new Map<AgentIdentity, WatchedAgent>()
  /** Registrations whose silence counts from the time at which this entry learned of them. */
  const learnedAt = new Map<AgentIdentity, number>()
  /** Unix time of the last append that should say that an agent departed, or remove it. */
  const endedAt = new Map<AgentIdentity, number>()
  /** Unix time since which an agent is silent for so long that it is suspected. */
  const suspectedSince = new Map<AgentIdentity, number>()
  let writes: RegisterWrite[] = []
  let nextRemovalAt = 0

  function registrationOf (agent: AgentIdentity): AgentRegistration | undefined {
    const register = projection.read(registerName('agent', agent))
    return register === undefined || register.value === null ? undefined : register.value as AgentRegistration
  }

  function standingOf (agent: AgentIdentity): Announced['standing'] {
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

  /** Tells that an agent is usable, if that or what is told of it changed. */
  function tellUsable (agent: WatchedAgent): readonly MembershipEvent[] {
    const view = viewOf(agent)
    const joined = standingOf(view.identity) === 'joined'
    const shown = JSON.stringify([view.slots, view.window, view.registeredVersion, joined])
    if (agent.told === 'usable' && agent.toldView === shown) return []
    agent.told = 'usable'
    agent.toldView = shown
    return [{ kind: 'agent-usable', agent: view, joined }]
  }

  function isMyTurn (agent: AgentIdentity, sinceMilliseconds: number): boolean {
    return sinceMilliseconds >= rankOf(agent, identity, options.liveEntries()) * RANK_MILLISECONDS
  }

  /** Appends what came together in a tick, in few records. */
  function appendWrites (): void {
    for (let start = 0; start < writes.length; start += MAXIMUM_WRITES) {
      outbox.append(writes.slice(start, start + MAXIMUM_WRITES))
    }
    writes = []
  }

  function registerAgent (agent: WatchedAgent, now: number): void {
    const { identity: agentIdentity, address, service, failureDomain } = agent.announce
    if (agent.announce.state === 'leaving' || standingOf(agentIdentity) !== 'pending') return
    if (!isMyTurn(agentIdentity, clock.running() - agent.firstHeardAt)) return
    if (now - agent.appendedAt < APPEND_RETRY_MILLISECONDS) return
    agent.appendedAt = now
    const value: AgentRegistration = {
      identity: agentIdentity, address, service, failureDomain, state: 'joined', changedAt: now, clean: false
    }
    writes.push({ kind: 'write', register: registerName('agent', agentIdentity), replaces: NEVER_WRITTEN_VERSION, value })
  }

  /** Whether an append that ends the agent may still show on the log; notes a new one where not. */
  function isEnding (agent: AgentIdentity, now: number): boolean {
    const last = endedAt.get(agent) ?? -Infinity
    if (now - last < APPEND_RETRY_MILLISECONDS) return true
    endedAt.set(agent, now)
    return false
  }

  function depart (agent: AgentIdentity, clean: boolean, now: number): void {
    const register = projection.read(registerName('agent', agent))
    const registration = registrationOf(agent)
    if (register === undefined || registration?.state !== 'joined' || isEnding(agent, now)) return
    const value: AgentRegistration = { ...registration, state: 'departed', changedAt: now, clean }
    writes.push({ kind: 'write', register: register.register, replaces: register.version, value })
  }

  /**
   * Whether silence says something about others rather than about this entry: it hears someone, and most entries or
   * most agents. The smaller side of a partition, or an entry that hears nobody, must not declare the rest departed.
   */
  function mayJudge (): boolean {
    const joined = projection.list('agent').filter(({ value }) => (value as AgentRegistration).state === 'joined')
    const silent = joined.filter(({ value }) => suspectedSince.has((value as AgentRegistration).identity))
    const hearsAgents = silent.length < joined.length
    if (options.hearsMostEntries()) return hearsAgents || options.hearsPeers()
    return hearsAgents && 2 * silent.length < joined.length
  }

  function answerAnnounce (announce: Announce): void {
    const delta = projection.changesSince(announce.configurationPosition, MAXIMUM_REGISTERS, 'policy')
    outbox.send(announce.identity, {
      method: 'announced',
      parameters: {
        sequence: announce.sequence,
        standing: standingOf(announce.identity),
        entries: options.entryAddresses(),
        registers: delta.registers,
        configurationPosition: delta.position
      }
    })
  }

  function judge (agentIdentity: AgentIdentity, agent: WatchedAgent, now: number): MembershipEvent[] {
    const silent = clock.running() - agent.heardAt
    if (silent < SUSPECTED_MILLISECONDS) {
      registerAgent(agent, now)
      return []
    }
    const events: MembershipEvent[] = []
    if (agent.told === 'usable') {
      agent.told = 'suspected'
      events.push({ kind: 'agent-suspected', agent: agentIdentity })
    }
    judgeSilence(agentIdentity, silent, agent.announce.state === 'leaving', now)
    if (silent >= DEPARTED_MILLISECONDS && standingOf(agentIdentity) === 'pending') forget(agentIdentity)
    return events
  }

  function forget (agent: AgentIdentity): void {
    agents.delete(agent)
    suspectedSince.delete(agent)
  }

  function judgeSilence (agent: AgentIdentity, silent: number, isLeaving: boolean, now: number): void {
    const since = suspectedSince.get(agent) ?? now
    suspectedSince.set(agent, since)
    const bound = isLeaving ? LEFT_MILLISECONDS : DEPARTED_MILLISECONDS
    if (silent < bound || !isMyTurn(agent, silent - bound)) return
    if (!options.isUnheardElsewhere(agent, since) || !mayJudge()) return
    depart(agent, isLeaving, now)
  }

  /** Registrations of agents that never announced themselves here, such as those of before this entry started. */
  function judgeUnheard (now: number): void {
    for (const [agent, learned] of learnedAt) {
      const silent = clock.running() - learned
      if (silent >= SUSPECTED_MILLISECONDS && !agents.has(agent)) judgeSilence(agent, silent, false, now)
    }
  }

  /** Registrations of departed agents are of no use once every key of their time has expired. */
  function removeOld (now: number): void {
    if (now < nextRemovalAt) return
    nextRemovalAt = now + REMOVAL_CHECK_MILLISECONDS
    const age = 2 * options.keyWindowMilliseconds
    for (const register of projection.list('agent')) {
      const { identity: agent, state, changedAt } = register.value as AgentRegistration
      if (state !== 'departed' || now - changedAt < age) continue
      if (!isMyTurn(agent, now - changedAt - age) || isEnding(agent, now)) continue
      writes.push({ kind: 'write', register: register.register, replaces: register.version, value: null })
    }
  }

  return {
    announce (announce) {
      let agent = agents.get(announce.identity)
      if (agent === undefined) {
        const running = clock.running()
        agent = {
          announce, heardAt: running, firstHeardAt: running, told: 'nothing', toldView: '', appendedAt: -Infinity
        }
        agents.set(announce.identity, agent)
      }
      if (announce.sequence >= agent.announce.sequence) agent.announce = announce
      agent.heardAt = clock.running()
      suspectedSince.delete(announce.identity)
      answerAnnounce(announce)
      if (standingOf(announce.identity) === 'departed') return []
      if (agent.announce.state === 'active') return tellUsable(agent)
      if (agent.told === 'leaving') return []
      agent.told = 'leaving'
      return [{ kind: 'agent-leaving', agent: announce.identity }]
    },

    registered (agentIdentity, registration) {
      if (registration === null) {
        learnedAt.delete(agentIdentity)
        endedAt.delete(agentIdentity)
        suspectedSince.delete(agentIdentity)
        return []
      }
      if (registration.state === 'departed') {
        const wasKnown = agents.has(agentIdentity) || learnedAt.has(agentIdentity)
        forget(agentIdentity)
        learnedAt.delete(agentIdentity)
        if (!wasKnown) return []
        const { changedAt, clean } = registration
        return [{ kind: 'agent-departed', agent: agentIdentity, changedAt, clean }]
      }
      if (!learnedAt.has(agentIdentity)) learnedAt.set(agentIdentity, clock.running())
      const agent = agents.get(agentIdentity)
      return agent?.told === 'usable' ? tellUsable(agent) : []
    },

    tick (now) {
      const events: MembershipEvent[] = []
      for (const [agentIdentity, agent] of agents) events.push(...judge(agentIdentity, agent, now))
      judgeUnheard(now)
      removeOld(now)
      appendWrites()
      return events
    },

    usable: () => [...agents.values()].filter(agent => agent.told === 'usable').map(viewOf),
    suspected: () => [...suspectedSince.keys()],
    heardOf: asked => asked.filter(agent => {
      const heardAt = agents.get(agent)?.heardAt
      return heardAt !== undefined && clock.running() - heardAt < SUSPECTED_MILLISECONDS
    }),
    registrations: () => projection.list('agent').map(register => register.value as AgentRegistration),
    mayJudge
  }
}
