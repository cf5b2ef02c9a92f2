/**
 * An entry's decisions with a log in memory and agents that answer everything at once, in time that the probe sets.
 * What the decisions cost is counted; what the agents and the log cost is not.
 */
import {
  createAgentIdentity, createEntryIdentity, createInvariants, createRandom, PARTITION_COUNT, silentLogger,
  silentMetrics, type AgentIdentity, type EntryIdentity, type ProcessIdentity
} from '@baobabpost/common'
import { createEntryCore, type EntryCore } from '@baobabpost/entry'
import type { Announce, Dispatch, EntryHeartbeat, LinkMessage } from '@baobabpost/messages'
import { microsecondsOf } from './measure.js'
import { createMemoryLog, type MemoryLog } from './memory-log.js'
import { firstWrite, sampleCustomer, sampleTeam, SAMPLE_TEMPLATE } from './sample-values.js'

const STEP_MILLISECONDS = 50
const HEARTBEAT_MILLISECONDS = 500
const READY_STEPS = 400
const SLOTS = 8
const WINDOW_TASKS = 16

/** Size of the fleet that an entry is probed with. */
export interface ProbedFleet {
  readonly agents: number
  readonly customers: number
  /** Other entries, which only send and answer heartbeats; with them the entry owns its share of the partitions. */
  readonly peers: number
}

/** An entry under measurement. */
export interface ProbedEntry {
  readonly core: EntryCore
  /** Microseconds of decisions so far. */
  readonly spent: () => number
  /** Bytes of messages sent so far, by method. */
  readonly sentBytes: () => ReadonlyMap<string, number>
  readonly now: () => number
  /** Runs decisions and counts what they cost. */
  act: (work: (now: number) => void) => void
  /** Lets 50 ms go by; agents answer until nothing is left to answer. */
  step: () => void
}

function announcement (identity: AgentIdentity, place: number, sequence: number): Announce {
  return {
    identity,
    address: `10.1.${place >> 8}.${place & 255}:7101`,
    service: 'lending',
    failureDomain: `domain-${place % 3}`,
    slots: SLOTS,
    connections: 60,
    state: 'active',
    sequence,
    window: WINDOW_TASKS,
    configurationPosition: 0
  }
}

function heartbeat (identity: EntryIdentity, place: number, sequence: number, position: number): EntryHeartbeat {
  return {
    identity,
    address: `10.0.0.${place + 2}:7001`,
    failureDomain: `domain-${place % 3}`,
    state: 'ready',
    sequence,
    position,
    suspectedAgents: [],
    heardAgents: []
  }
}

/** What an agent or another entry answers to a message, if anything. */
function answerOf (message: LinkMessage, sequence: number, position: number): LinkMessage | undefined {
  if (message.method === 'entryHeartbeat') {
    const answer = { sequence: message.parameters.sequence, position, registers: [] }
    return { method: 'entryHeartbeatAnswer', parameters: answer }
  }
  if (message.method === 'collect') {
    const { partitions } = message.parameters
    return { method: 'collected', parameters: { partitions, part: 0, parts: 1, submissions: [] } }
  }
  if (message.method !== 'dispatch') return undefined
  return { method: 'report', parameters: { sequence, submissions: reportAll(message.parameters), window: WINDOW_TASKS } }
}

function reportAll (dispatch: Dispatch): Extract<LinkMessage, { method: 'report' }>['parameters']['submissions'] {
  return dispatch.groups.map(({ header, ownership, tasks }) => ({
    submission: header.submission,
    ...(ownership === undefined ? {} : { ownership }),
    tasks: tasks.map(({ index }) => ({ index, outcome: { status: 'succeeded', answer: { ok: true } }, runMilliseconds: 80 }))
  }))
}

function publishSamples (log: MemoryLog, fleet: ProbedFleet, now: number): void {
  log.append('probe', [firstWrite('template/checkout', SAMPLE_TEMPLATE)], now)
  for (let place = 0; place < fleet.customers; place += 1) {
    const team = sampleTeam(place)
    const customer = sampleCustomer(place)
    log.append('probe', [firstWrite(`team/${team.name}`, team), firstWrite(`customer/${customer.name}`, customer)], now)
  }
}

/**
 * Makes an entry that is ready: it owns its share of the partitions, all without peers, and may use every agent.
 *
 * @throws Error if it does not get ready.
 */
export function createProbedEntry (fleet: ProbedFleet): ProbedEntry {
  const log = createMemoryLog()
  const agents = Array.from({ length: fleet.agents }, (_, place) => createAgentIdentity(`agent-${place}`))
  const peers = Array.from({ length: fleet.peers }, (_, place) => createEntryIdentity(`peer-${place}`))
  const outgoing: Array<{ to: ProcessIdentity, message: LinkMessage }> = []
  const sentBytes = new Map<string, number>()
  let now = Date.now()
  let microseconds = 0
  let sequence = 0
  let announcedAt = 0
  publishSamples(log, fleet, now)
  for (const [place, identity] of peers.entries()) {
    const { address, failureDomain } = heartbeat(identity, place, 0, 0)
    log.append(identity, [firstWrite(`entry/${identity}`, { identity, address, failureDomain })], now)
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
      position: log.end(), end: log.end(), endReadStartedAt: now, behindSince: undefined, pendingAppends: 0
    }),
    sendToSeeds: () => {},
    setPeer: () => {},
    forgetPeer: () => {},
    random: createRandom(1),
    invariants: createInvariants((invariant, detail) => { throw new Error(`${invariant}: ${detail}`) }),
    logger: silentLogger,
    metrics: silentMetrics
  })

  function act (work: (now: number) => void): void {
    microseconds += microsecondsOf(() => { work(now) })
  }

  function noteSent (message: LinkMessage): void {
    sentBytes.set(message.method, (sentBytes.get(message.method) ?? 0) + JSON.stringify(message).length)
  }

  function settle (): void {
    for (;;) {
      act(time => { while (core.flush(time)); })
      const messages = outgoing.splice(0)
      if (messages.length === 0) return
      for (const { to, message } of messages) {
        noteSent(message)
        sequence += 1
        const answer = answerOf(message, sequence, log.end())
        if (answer !== undefined) act(time => { core.receive(to, answer, time) })
      }
    }
  }

  function announce (): void {
    announcedAt = now
    for (const [place, identity] of agents.entries()) {
      sequence += 1
      const message: LinkMessage = { method: 'announce', parameters: announcement(identity, place, sequence) }
      act(time => { core.receive(identity, message, time) })
    }
    for (const [place, identity] of peers.entries()) {
      sequence += 1
      const message: LinkMessage = {
        method: 'entryHeartbeat', parameters: heartbeat(identity, place, sequence, log.end())
      }
      act(time => { core.receive(identity, message, time) })
    }
  }

  function step (): void {
    now += STEP_MILLISECONDS
    const batch = log.read(core.components.projection.nextReadOffset(), now)
    act(time => { core.handleLogRead(batch, time) })
    if (now - announcedAt >= HEARTBEAT_MILLISECONDS) announce()
    act(time => { core.tick(time) })
    settle()
  }

  function isReady (): boolean {
    // The shares of the entries differ; half of the mean is surely less than the least.
    const least = fleet.peers === 0 ? PARTITION_COUNT : PARTITION_COUNT / (fleet.peers + 1) / 2
    return core.components.ownership.ownedCount() >= least && core.collectingCount() === 0 &&
      core.joinedAgentCount() === fleet.agents
  }

  act(time => { core.start(time) })
  for (let steps = 0; steps < READY_STEPS && !isReady(); steps += 1) step()
  if (!isReady()) {
    const owned = core.components.ownership.ownedCount()
    throw new Error(`not ready: ${owned} partitions, ${core.joinedAgentCount()} of ${fleet.agents} agents`)
  }
  for (let steps = 0; steps < 40; steps += 1) step()
  return { core, spent: () => microseconds, sentBytes: () => sentBytes, now: () => now, act, step }
}
