/** Simulated fleet: the decision code of entries and agents in one thread, with simulated time, network and log. */
import { createInvariants, type EntryIdentity, type ProcessIdentity, type Random } from '@baobabpost/common'
import type { ExecutionOptions } from '@baobabpost/execution'
import { configurationChanges } from './fixtures.js'
import { createRunLog, type RunLog } from './run-log.js'
import { createMemoryNetwork, type MessageOutcome, type MessageEnvelope } from './memory-network.js'
import { createMemoryLog, type MemoryLog } from './memory-log.js'
import {
  type AgentNode, createAgentNode, createEntryNode, type EntryNode, type NodePorts, type SimulatedNode,
  type SimulationSettings
} from './simulated-nodes.js'
import { seededAgent, seededEntry, seededNonce } from './seeded-names.js'
import { createSimulatedUpstream } from './simulated-upstream.js'

/** Time at which every simulation begins, in Unix milliseconds. */
export const SIMULATION_START_MILLISECONDS = 1_750_000_000_000
const TIME_STEP_MILLISECONDS = 10
const TICK_INTERVAL_MILLISECONDS = 50
const MAXIMUM_SHUTDOWN_MILLISECONDS = 20_000

export interface SimulatedFleetOptions {
  readonly random: Random
  readonly settings: SimulationSettings
  readonly entryCount: number
  readonly agentCount: number
  /** Returns the maximum run time of the next request to an upstream. */
  readonly runMilliseconds: () => number
  /** Replaces options of every agent, to weaken its fencing on purpose. */
  readonly agentOverrides?: Partial<ExecutionOptions>
}

export interface SimulatedFleet {
  readonly runLog: RunLog
  readonly log: MemoryLog
  readonly random: Random
  now: () => number
  /** Advances simulated time by 10 ms and processes what is due. */
  advance: () => void
  /** Number of events processed by entries and agents. */
  stepCount: () => number
  entries: () => readonly EntryNode[]
  agents: () => readonly AgentNode[]
  addEntry: () => EntryNode
  addAgent: () => AgentNode
  kill: (node: SimulatedNode) => void
  pause: (node: SimulatedNode, milliseconds: number) => void
  /** Begins a graceful shutdown. */
  beginShutdown: (node: EntryNode | AgentNode) => void
  /** Drops messages in one direction until healed. */
  cut: (from: ProcessIdentity, to: ProcessIdentity) => void
  healCut: (from: ProcessIdentity, to: ProcessIdentity) => void
  healCuts: () => void
  /** Sets the function that returns the outcome of each message; `deliver` by default. */
  setMessageOutcome: (outcomeOf: (envelope: MessageEnvelope) => MessageOutcome) => void
  /** Sets the function called with each message when it is sent. */
  onSend: (observer: (envelope: MessageEnvelope) => void) => void
}

/** Creates a fleet whose configuration is on the log. */
export function createSimulatedFleet (options: SimulatedFleetOptions): SimulatedFleet {
  const { random } = options
  const runLog = createRunLog()
  const log = createMemoryLog()
  const entries: EntryNode[] = []
  const agents: AgentNode[] = []
  const cuts = new Set<string>()
  let now = SIMULATION_START_MILLISECONDS
  let stepCount = 0
  let createdCount = 0
  let outcomeOf: (envelope: MessageEnvelope) => MessageOutcome = () => 'deliver'
  let observer: (envelope: MessageEnvelope) => void = () => {}
  const network = createMemoryNetwork({
    random,
    outcomeOf: envelope => outcomeOf(envelope),
    isCut: (from, to) => cuts.has(`${from} ${to}`)
  })

  function send (envelope: MessageEnvelope): void {
    observer(envelope)
    network.send(envelope, now)
  }

  function createPorts (): NodePorts {
    const { clockSkewMilliseconds } = options.settings
    return {
      settings: options.settings,
      random,
      // Keeps the difference between any two clocks within the skew.
      clockOffsetMilliseconds: random.below(clockSkewMilliseconds + 1) - Math.floor(clockSkewMilliseconds / 2),
      now: () => now,
      invariants: createInvariants((name, detail) => { runLog.recordViolation(`invariant ${name}`, detail, now) }),
      send,
      sendToSeeds (from, message) {
        for (const { identity } of entries) {
          if (identity !== from) send({ from, to: identity, message })
        }
      }
    }
  }

  function addEntry (): EntryNode {
    createdCount += 1
    const node = createEntryNode(seededEntry(random, `entry-${createdCount}`, now), log, createPorts())
    entries.push(node)
    return node
  }

  function addAgent (): AgentNode {
    createdCount += 1
    const upstream = createSimulatedUpstream(random, runLog, options.runMilliseconds)
    const identity = seededAgent(random, `agent-${createdCount}`, now)
    const node = createAgentNode(identity, upstream, createPorts(), options.agentOverrides ?? {})
    agents.push(node)
    return node
  }

  function kill (node: SimulatedNode): void {
    node.isAlive = false
    remove(entries, node)
    remove(agents, node)
  }

  function remove (nodes: SimulatedNode[], node: SimulatedNode): void {
    const index = nodes.indexOf(node)
    if (index >= 0) nodes.splice(index, 1)
  }

  function isRunning (node: SimulatedNode): boolean {
    return node.isAlive && node.pausedUntil <= now
  }

  function deliver (): void {
    const nodes = new Map<ProcessIdentity, SimulatedNode>()
    for (const node of [...entries, ...agents]) nodes.set(node.identity, node)
    for (const envelope of network.takeDue(now)) {
      const node = nodes.get(envelope.to)
      if (node === undefined) continue
      if (isRunning(node)) deliverTo(node, envelope)
      else node.inbox.push(envelope)
    }
  }

  function deliverTo (node: SimulatedNode, envelope: MessageEnvelope): void {
    stepCount += 1
    node.receive(envelope)
  }

  function resume (node: SimulatedNode): void {
    for (const operation of node.pendingOperations.splice(0)) operation()
    for (const envelope of node.inbox.splice(0)) deliverTo(node, envelope)
  }

  function runNode (node: EntryNode | AgentNode): void {
    if (!isRunning(node)) return
    if (node.inbox.length > 0 || node.pendingOperations.length > 0) resume(node)
    if (node.kind === 'agent') stepCount += node.completeCalls()
    if (now % TICK_INTERVAL_MILLISECONDS === 0) {
      if (node.kind === 'entry') {
        node.readLog()
        stepCount += 1
      }
      node.tick()
      stepCount += 1
    }
    node.flush()
  }

  function completeShutdowns (): void {
    for (const entry of [...entries]) {
      if (entry.stoppingSince === undefined || !isRunning(entry)) continue
      const isOver = now >= entry.stoppingSince + MAXIMUM_SHUTDOWN_MILLISECONDS
      if (!isOver && !entry.core.isReadyToLeave()) continue
      entry.core.leave(entry.localTime())
      // Leaves time for its last appends and messages to arrive.
      entry.stoppingSince = undefined
      departures.push({ node: entry, at: now + 200 })
    }
    for (const agent of [...agents]) {
      // An agent that learns of its own departure ends its process; the simulated platform starts a new one.
      if (now % TICK_INTERVAL_MILLISECONDS === 0 && agent.execution.snapshot().state === 'departed') kill(agent)
      if (agent.isLeaving && isRunning(agent) && agent.execution.isDrained()) {
        agent.isLeaving = false
        departures.push({ node: agent, at: now + 1_000 })
      }
    }
    for (const { node, at } of departures.splice(0)) {
      if (at <= now) kill(node)
      else departures.push({ node, at })
    }
  }
  const departures: { node: SimulatedNode, at: number }[] = []

  log.append({
    author: 'operator', nonce: seededNonce(random, now), changes: configurationChanges()
  }, now - 1_000, () => true)
  log.tick(now)
  for (let count = 0; count < options.entryCount; count += 1) addEntry()
  for (let count = 0; count < options.agentCount; count += 1) addAgent()

  return {
    runLog,
    log,
    random,
    now: () => now,
    advance () {
      now += TIME_STEP_MILLISECONDS
      log.tick(now)
      deliver()
      for (const node of [...entries, ...agents]) runNode(node)
      completeShutdowns()
    },
    stepCount: () => stepCount,
    entries: () => entries,
    agents: () => agents,
    addEntry,
    addAgent,
    kill,
    pause (node, milliseconds) { node.pausedUntil = now + milliseconds },
    beginShutdown (node) {
      if (node.kind === 'entry') {
        node.stoppingSince ??= now
        node.core.stop(node.localTime())
        return
      }
      node.isLeaving = true
      node.execution.leave(node.localTime())
    },
    cut: (from, to) => { cuts.add(`${from} ${to}`) },
    healCut: (from, to) => { cuts.delete(`${from} ${to}`) },
    healCuts: () => { cuts.clear() },
    setMessageOutcome (next) { outcomeOf = next },
    onSend (next) { observer = next }
  }
}

/** Returns the owner of a partition as known to an entry. */
export function ownerSeenBy (entry: EntryNode, partition: number): EntryIdentity | undefined {
  const state = entry.core.components.ownership.partitionState(partition)
  switch (state.kind) {
    case 'none':
      return undefined
    case 'ours':
      return entry.identity
    case 'elsewhere':
      return state.owner
  }
}
