/**
 * An entry core with an in-memory log, simulated agents that answer every message immediately, and a simulated clock.
 * Measures only the time spent in the entry core, not the time of the simulated agents and log.
 */
import {
  createAgentIdentity, createEntryIdentity, createInvariants, createRandom, PARTITION_COUNT, silentLogger,
  silentMetrics, type AgentIdentity, type EntryIdentity, type ProcessIdentity
} from '@baobabpost/common'
import { createEntryCore, type EntryCore } from '@baobabpost/entry'
import type { Announce, Dispatch, EntryHeartbeat, LinkMessage } from '@baobabpost/messages'
import { measureMicroseconds } from './measure.js'
import { createMemoryLog, type MemoryLog } from './memory-log.js'
import { createFirstWrite, createSampleCustomer, createSampleTeam, SAMPLE_TEMPLATE } from './sample-values.js'

const STEP_MILLISECONDS = 50
const HEARTBEAT_MILLISECONDS = 500
const MAXIMUM_STEPS_UNTIL_READY = 400
const SLOTS_PER_AGENT = 8
const WINDOW_TASKS = 16

/** Size of the simulated fleet around the measured entry. */
export interface ProbedFleet {
  readonly agents: number
  readonly customers: number
  /** Number of other entries, which only send and answer heartbeats but take their share of the partitions. */
  readonly peers: number
}

/** An entry under measurement. */
export interface ProbedEntry {
  readonly core: EntryCore
  /** Returns the total time spent in the entry core, in microseconds. */
  readonly decisionMicroseconds: () => number
  /** Returns the total bytes of messages sent, by method. */
  readonly sentBytes: () => ReadonlyMap<string, number>
  readonly now: () => number
  /** Runs work on the entry core and adds its time to `decisionMicroseconds`. */
  measure: (work: (now: number) => void) => void
  /** Advances the clock by 50 ms and delivers messages and answers until none are left. */
  advance: () => void
}

function createAnnouncement (identity: AgentIdentity, agentNumber: number, sequence: number): Announce {
  return {
    identity,
    address: `10.1.${agentNumber >> 8}.${agentNumber & 255}:7101`,
    service: 'lending',
    failureDomain: `domain-${agentNumber % 3}`,
    slots: SLOTS_PER_AGENT,
    connections: 60,
    state: 'active',
    sequence,
    window: WINDOW_TASKS,
    configurationPosition: 0
  }
}

function createHeartbeat (
  identity: EntryIdentity, peerNumber: number, sequence: number, position: number
): EntryHeartbeat {
  return {
    identity,
    address: `10.0.0.${peerNumber + 2}:7001`,
    failureDomain: `domain-${peerNumber % 3}`,
    state: 'ready',
    sequence,
    position,
    suspectedAgents: [],
    heardAgents: []
  }
}

/** Creates the answer of an agent or another entry to a message; undefined if the message has no answer. */
function createAnswer (message: LinkMessage, sequence: number, position: number): LinkMessage | undefined {
  if (message.method === 'entryHeartbeat') {
    const answer = { sequence: message.parameters.sequence, position, registers: [] }
    return { method: 'entryHeartbeatAnswer', parameters: answer }
  }
  if (message.method === 'collect') {
    const { partitions } = message.parameters
    return { method: 'collected', parameters: { partitions, part: 0, parts: 1, submissions: [] } }
  }
  if (message.method !== 'dispatch') return undefined
  return { method: 'report', parameters: { sequence, submissions: createReports(message.parameters), window: WINDOW_TASKS } }
}

function createReports (dispatch: Dispatch): Extract<LinkMessage, { method: 'report' }>['parameters']['submissions'] {
  return dispatch.groups.map(({ header, ownership, tasks }) => ({
    submission: header.submission,
    ...(ownership === undefined ? {} : { ownership }),
    tasks: tasks.map(({ index }) => ({ index, outcome: { status: 'succeeded', answer: { ok: true } }, runMilliseconds: 80 }))
  }))
}

function publishSamples (log: MemoryLog, fleet: ProbedFleet, now: number): void {
  log.append('probe', [createFirstWrite('template/checkout', SAMPLE_TEMPLATE)], now)
  for (let customerNumber = 0; customerNumber < fleet.customers; customerNumber += 1) {
    const team = createSampleTeam(customerNumber)
    const customer = createSampleCustomer(customerNumber)
    log.append('probe', [createFirstWrite(`team/${team.name}`, team), createFirstWrite(`customer/${customer.name}`, customer)], now)
  }
}

/**
 * Creates an entry and advances the clock until the entry owns its share of the partitions (all of them if it has no
 * peers) and every agent has joined.
 *
 * @throws Error if the entry is not ready within 400 steps of 50 ms.
 */
export function createProbedEntry (fleet: ProbedFleet): ProbedEntry {
  const log = createMemoryLog()
  const agents = Array.from({ length: fleet.agents }, (_, agentNumber) => createAgentIdentity(`agent-${agentNumber}`))
  const peers = Array.from({ length: fleet.peers }, (_, peerNumber) => createEntryIdentity(`peer-${peerNumber}`))
  const outgoing: Array<{ to: ProcessIdentity, message: LinkMessage }> = []
  const sentBytes = new Map<string, number>()
  let now = Date.now()
  let decisionMicroseconds = 0
  let sequence = 0
  let heartbeatsSentAt = 0
  publishSamples(log, fleet, now)
  for (const [peerNumber, identity] of peers.entries()) {
    const { address, failureDomain } = createHeartbeat(identity, peerNumber, 0, 0)
    log.append(identity, [createFirstWrite(`entry/${identity}`, { identity, address, failureDomain })], now)
  }
  const core = createEntryCore({
    settings: {
      identity: createEntryIdentity('entry-1'),
      address: '10.0.0.1:7001',
      failureDomain: 'domain-0',
      policy: 'default',
      keyWindowMilliseconds: 600_000,
      clockSkewMilliseconds: 2_000,
      logRetentionMilliseconds: 86_400_000,
      maximumQueuedTasks: 1_000_000
    },
    startedAt: now,
    send: (to, message) => { outgoing.push({ to, message }) },
    append: changes => log.append('entry-1', changes, now),
    logStatus: () => ({
      position: log.lastOffset(),
      end: log.lastOffset(),
      endReadStartedAt: now,
      behindSince: undefined,
      pendingAppends: 0
    }),
    sendToSeeds: () => {},
    setPeer: () => {},
    forgetPeer: () => {},
    random: createRandom(1),
    invariants: createInvariants((invariant, detail) => { throw new Error(`${invariant}: ${detail}`) }),
    logger: silentLogger,
    metrics: silentMetrics
  })

  function measure (work: (now: number) => void): void {
    decisionMicroseconds += measureMicroseconds(() => { work(now) })
  }

  function countSentBytes (message: LinkMessage): void {
    sentBytes.set(message.method, (sentBytes.get(message.method) ?? 0) + JSON.stringify(message).length)
  }

  function exchangeMessages (): void {
    for (;;) {
      measure(time => { while (core.flush(time)); })
      const messages = outgoing.splice(0)
      if (messages.length === 0) return
      for (const { to, message } of messages) {
        countSentBytes(message)
        sequence += 1
        const answer = createAnswer(message, sequence, log.lastOffset())
        if (answer !== undefined) measure(time => { core.receive(to, answer, time) })
      }
    }
  }

  function sendHeartbeats (): void {
    heartbeatsSentAt = now
    for (const [agentNumber, identity] of agents.entries()) {
      sequence += 1
      const message: LinkMessage = { method: 'announce', parameters: createAnnouncement(identity, agentNumber, sequence) }
      measure(time => { core.receive(identity, message, time) })
    }
    for (const [peerNumber, identity] of peers.entries()) {
      sequence += 1
      const message: LinkMessage = {
        method: 'entryHeartbeat', parameters: createHeartbeat(identity, peerNumber, sequence, log.lastOffset())
      }
      measure(time => { core.receive(identity, message, time) })
    }
  }

  function advance (): void {
    now += STEP_MILLISECONDS
    const batch = log.read(core.components.projection.nextReadOffset(), now)
    measure(time => { core.handleLogRead(batch, time) })
    if (now - heartbeatsSentAt >= HEARTBEAT_MILLISECONDS) sendHeartbeats()
    measure(time => { core.tick(time) })
    exchangeMessages()
  }

  function isReady (): boolean {
    // Shares differ between entries; half of the mean is below the smallest share.
    const minimumPartitions = fleet.peers === 0 ? PARTITION_COUNT : PARTITION_COUNT / (fleet.peers + 1) / 2
    return core.components.ownership.ownedCount() >= minimumPartitions && core.collectingCount() === 0 &&
      core.joinedAgentCount() === fleet.agents
  }

  measure(time => { core.start(time) })
  for (let steps = 0; steps < MAXIMUM_STEPS_UNTIL_READY && !isReady(); steps += 1) advance()
  if (!isReady()) {
    const owned = core.components.ownership.ownedCount()
    throw new Error(`entry not ready: owns ${owned} partitions, ${core.joinedAgentCount()} of ${fleet.agents} agents joined`)
  }
  for (let steps = 0; steps < 40; steps += 1) advance()
  return {
    core,
    decisionMicroseconds: () => decisionMicroseconds,
    sentBytes: () => sentBytes,
    now: () => now,
    measure,
    advance
  }
}
