/** Entries and agents on an in-memory log, with injected time and links that can be cut in one direction. */
import { createInvariants, type AgentIdentity, type EntryIdentity, type ProcessIdentity } from '@baobabpost/common'
import type { Announced, LinkMessage, LogEntry } from '@baobabpost/messages'
import { createMembership, type Membership, type MembershipEvent } from '@baobabpost/membership'
import { createRegisterProjection, type RegisterProjection } from '@baobabpost/platform-log'

export const KEY_WINDOW_MILLISECONDS = 600_000
const TICK_INTERVAL_MILLISECONDS = 50
const AGENT_HEARTBEAT_INTERVAL_MILLISECONDS = 500
const START_UNIX_MILLISECONDS = 1_700_000_000_000

export interface EntryFixture {
  readonly identity: EntryIdentity
  readonly projection: RegisterProjection
  readonly membership: Membership
  readonly events: MembershipEvent[]
  isPaused: boolean
  isDead: boolean
  /** Whether the entry can read from and append to the log. */
  isLogReachable: boolean
}

export interface AgentFixture {
  readonly identity: AgentIdentity
  state: 'active' | 'leaving'
  /** Whether the agent sends no heartbeats. */
  isUnresponsive: boolean
  lastAnswer: Announced | undefined
}

export interface Fleet {
  readonly log: LogEntry[]
  readonly entries: EntryFixture[]
  readonly agents: AgentFixture[]
  readonly now: () => number
  readonly addEntry: () => EntryFixture
  readonly addAgent: () => AgentFixture
  /** Cuts or restores the link from one process to another, in that direction only. */
  readonly setCut: (from: ProcessIdentity, to: ProcessIdentity, isCut?: boolean) => void
  readonly run: (milliseconds: number) => void
  /** Bytes of all messages sent so far. */
  readonly sentBytes: () => number
}

function identityOf (name: string, number: number): string {
  return `${name}-${number}@01930000-0000-7000-8000-${String(number).padStart(12, '0')}`
}

export function createFleet (entryCount: number, agentCount: number): Fleet {
  const log: LogEntry[] = []
  const entries: EntryFixture[] = []
  const agents: AgentFixture[] = []
  const cuts = new Set<string>()
  const queue: Array<{ from: ProcessIdentity, to: ProcessIdentity, message: LinkMessage }> = []
  let now = START_UNIX_MILLISECONDS
  let sequence = 0
  let sentByteCount = 0

  function send (from: ProcessIdentity, to: ProcessIdentity, message: LinkMessage): void {
    sentByteCount += JSON.stringify(message).length
    if (!cuts.has(`${from} ${to}`)) queue.push({ from, to, message })
  }

  function addEntry (): EntryFixture {
    const identity = identityOf('entry', entries.length + 1) as EntryIdentity
    const projection = createRegisterProjection({
      retentionMilliseconds: 3_600_000,
      invariants: createInvariants((name, detail) => { throw new Error(`${name}: ${detail}`) }),
      onBadRecord: record => { throw new Error(record.fault) },
      onOutcomes: () => {}
    })
    const membership = createMembership({
      identity,
      address: `10.0.0.${entries.length + 1}:1`,
      failureDomain: 'a',
      ownerLeases: { ownerMilliseconds: 2_000, notRunMilliseconds: 1_000 },
      startedAt: now,
      keyWindowMilliseconds: KEY_WINDOW_MILLISECONDS,
      projection,
      outbox: {
        send: (to, message) => { send(identity, to, message) },
        append (changes) {
          if (!entry.isLogReachable) return
          log.push({ offset: log.length + 1, record: { author: identity, nonce: `nonce-${log.length}`, changes } })
        }
      },
      sendToSeeds (message) {
        for (const other of entries) if (other.identity !== identity) send(identity, other.identity, message)
      }
    })
    const entry: EntryFixture = {
      identity, projection, membership, events: [], isPaused: false, isDead: false, isLogReachable: true
    }
    entries.push(entry)
    entry.events.push(...membership.start(now))
    return entry
  }

  function addAgent (): AgentFixture {
    const agent: AgentFixture = {
      identity: identityOf('agent', agents.length + 1) as AgentIdentity, state: 'active', isUnresponsive: false, lastAnswer: undefined
    }
    agents.push(agent)
    return agent
  }

  function handleMessage (entry: EntryFixture, from: ProcessIdentity, message: LinkMessage): void {
    const { projection, membership, events } = entry
    if (message.method === 'announce') events.push(...membership.handleAnnounce(message.parameters, now))
    if (message.method === 'entryHeartbeat') events.push(...membership.handleEntryHeartbeat(message.parameters, now))
    if (message.method !== 'entryHeartbeatAnswer') return
    events.push(...membership.registersChanged(projection.adopt(message.parameters), now))
    events.push(...membership.handleEntryHeartbeatAnswer(from as EntryIdentity, message.parameters, now))
  }

  function deliverMessages (): void {
    for (const { from, to, message } of queue.splice(0)) {
      const entry = entries.find(({ identity }) => identity === to)
      if (entry !== undefined && !entry.isDead && !entry.isPaused) handleMessage(entry, from, message)
      const agent = agents.find(({ identity }) => identity === to)
      if (agent !== undefined && message.method === 'announced') agent.lastAnswer = message.parameters
    }
  }

  function announceAll (): void {
    sequence += 1
    for (const { identity, state, isUnresponsive } of agents) {
      if (isUnresponsive) continue
      const message: LinkMessage = {
        method: 'announce',
        parameters: {
          identity,
          address: '10.0.1.1:1',
          service: 'lending',
          failureDomain: 'a',
          slots: 8,
          connections: 60,
          state,
          sequence,
          window: 4,
          configurationPosition: 0
        }
      }
      for (const entry of entries) send(identity, entry.identity, message)
    }
  }

  function step (): void {
    now += TICK_INTERVAL_MILLISECONDS
    if ((now - START_UNIX_MILLISECONDS) % AGENT_HEARTBEAT_INTERVAL_MILLISECONDS === 0) announceAll()
    for (const entry of entries) {
      if (entry.isDead || entry.isPaused) continue
      if (entry.isLogReachable) {
        const from = entry.projection.nextReadOffset()
        const nextOffset = log.length + 1
        const batch = {
          entries: log.slice(from - 1), firstOffset: 1, nextOffset, readStartedAt: now, hasReachedEnd: true
        }
        entry.events.push(...entry.membership.registersChanged(entry.projection.apply(batch, now), now))
      }
      entry.events.push(...entry.membership.tick(now))
    }
    deliverMessages()
  }

  for (let count = 0; count < entryCount; count += 1) addEntry()
  for (let count = 0; count < agentCount; count += 1) addAgent()
  return {
    log,
    entries,
    agents,
    now: () => now,
    addEntry,
    addAgent,
    setCut (from, to, isCut = true) {
      if (isCut) cuts.add(`${from} ${to}`)
      else cuts.delete(`${from} ${to}`)
    },
    run (milliseconds) {
      for (const end = now + milliseconds; now < end;) step()
    },
    sentBytes: () => sentByteCount
  }
}
