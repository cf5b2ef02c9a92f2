/** A fleet of real decisions in one thread: time, messages, the log and the upstreams are the trial's. */
import { createInvariants, type EntryIdentity, type ProcessIdentity, type Random } from '@baobabpost/common'
import type { ExecutionOptions } from '@baobabpost/execution'
import { configurationChanges } from './fixtures.js'
import { createRunLog, type RunLog } from './run-log.js'
import { createMemoryNetwork, type MessageOutcome, type MessageEnvelope } from './memory-network.js'
import { createMemoryLog, type MemoryLog } from './memory-log.js'
import {
  type AgentNode, createAgentNode, createEntryNode, type EntryNode, type NodePorts, type SimulatedNode, type SimulationSettings
} from './simulated-nodes.js'
import { seededAgent, seededEntry, seededNonce } from './seeded-names.js'
import { createSimulatedUpstream } from './simulated-upstream.js'

/** Time at which every trial begins. */
export const SIMULATION_START_MILLISECONDS = 1_750_000_000_000
const QUANTUM_MILLISECONDS = 10
const TICK_MILLISECONDS = 50
const PLANNED_STOP_BOUND_MILLISECONDS = 20_000

/** Settings of a fleet. */
export interface SimulatedFleetOptions {
  readonly random: Random
  readonly settings: SimulationSettings
  readonly entryCount: number
  readonly agentCount: number
  /** Longest run time of a task. */
  readonly runMilliseconds: () => number
  /** Changes to the options of every agent, to break its fence on purpose. */
  readonly agentChanges?: Partial<ExecutionOptions>
}

/** A fleet. */
export interface SimulatedFleet {
  readonly ledger: RunLog
  readonly log: MemoryLog
  readonly random: Random
  now: () => number
  /** Lets the next 10 milliseconds pass. */
  advance: () => void
  /** Number of events that the decisions were given. */
  steps: () => number
  entries: () => readonly EntryNode[]
  agents: () => readonly AgentNode[]
  addEntry: () => EntryNode
  addAgent: () => AgentNode
  kill: (node: SimulatedNode) => void
  pause: (node: SimulatedNode, milliseconds: number) => void
  /** Begins a planned stop. */
  stop: (node: EntryNode | AgentNode) => void
  cut: (from: ProcessIdentity, to: ProcessIdentity) => void
  healCut: (from: ProcessIdentity, to: ProcessIdentity) => void
  healCuts: () => void
  /** Decides what happens to each message; `deliver` by default. */
  setFate: (fateOf: (letter: MessageEnvelope) => MessageOutcome) => void
  /** Called with each message as it is sent. */
  onSend: (observer: (letter: MessageEnvelope) => void) => void
}

/** Makes a fleet with its configuration on the log. */
export function createSimulatedFleet (options: SimulatedFleetOptions): SimulatedFleet {
  const { random } = options
  const ledger = createRunLog()
  const log = createMemoryLog()
  const entries: EntryNode[] = []
  const agents: AgentNode[] = []
  const cuts = new Set<string>()
  let now = SIMULATION_START_MILLISECONDS
  let steps = 0
  let made = 0
  let fateOf: (letter: MessageEnvelope) => MessageOutcome = () => 'deliver'
  let observer: (letter: MessageEnvelope) => void = () => {}
  const mail = createMemoryNetwork({
    random,
    fateOf: letter => fateOf(letter),
    isCut: (from, to) => cuts.has(`${from} ${to}`)
  })

  function send (letter: MessageEnvelope): void {
    observer(letter)
    mail.send(letter, now)
  }

  function createPorts (): NodePorts {
    const { clockSkewMilliseconds } = options.settings
    return {
      settings: options.settings,
      random,
      // Two clocks differ by at most the skew.
      clockOffsetMilliseconds: random.below(clockSkewMilliseconds + 1) - Math.floor(clockSkewMilliseconds / 2),
      now: () => now,
      invariants: createInvariants((name, detail) => { ledger.violate(`invariant ${name}`, detail, now) }),
      send,
      sendToSeeds (from, message) {
        for (const { identity } of entries) {
          if (identity !== from) send({ from, to: identity, message })
        }
      }
    }
  }

  function addEntry (): EntryNode {
    made += 1
    const node = createEntryNode(seededEntry(random, `entry-${made}`, now), log, createPorts())
    entries.push(node)
    return node
  }

  function addAgent (): AgentNode {
    made += 1
    const upstream = createSimulatedUpstream(random, ledger, options.runMilliseconds)
    const identity = seededAgent(random, `agent-${made}`, now)
    const node = createAgentNode(identity, upstream, createPorts(), options.agentChanges ?? {})
    agents.push(node)
    return node
  }

  function kill (node: SimulatedNode): void {
    node.isAlive = false
    remove(entries, node)
    remove(agents, node)
  }

  function remove (nodes: SimulatedNode[], node: SimulatedNode): void {
    const place = nodes.indexOf(node)
    if (place >= 0) nodes.splice(place, 1)
  }

  function isRunning (node: SimulatedNode): boolean {
    return node.isAlive && node.pausedUntil <= now
  }

  function deliver (): void {
    const nodes = new Map<ProcessIdentity, SimulatedNode>()
    for (const node of [...entries, ...agents]) nodes.set(node.identity, node)
    for (const letter of mail.takeDue(now)) {
      const node = nodes.get(letter.to)
      if (node === undefined) continue
      if (isRunning(node)) give(node, letter)
      else node.inbox.push(letter)
    }
  }

  function give (node: SimulatedNode, letter: MessageEnvelope): void {
    steps += 1
    node.receive(letter)
  }

  function wake (node: SimulatedNode): void {
    for (const operation of node.backlog.splice(0)) operation()
    for (const letter of node.inbox.splice(0)) give(node, letter)
  }

  function pulse (node: EntryNode | AgentNode): void {
    if (!isRunning(node)) return
    if (node.inbox.length > 0 || node.backlog.length > 0) wake(node)
    if (node.kind === 'agent') steps += node.completeCalls()
    if (now % TICK_MILLISECONDS === 0) {
      if (node.kind === 'entry') {
        node.readLog()
        steps += 1
      }
      node.tick()
      steps += 1
    }
    node.flush()
  }

  function endStops (): void {
    for (const entry of [...entries]) {
      if (entry.stoppingSince === undefined || !isRunning(entry)) continue
      const isOver = now >= entry.stoppingSince + PLANNED_STOP_BOUND_MILLISECONDS
      if (!isOver && !entry.core.isReadyToLeave()) continue
      entry.core.leave(entry.localTime())
      // Its last appends and messages are on their way.
      entry.stoppingSince = undefined
      leaving.push({ node: entry, at: now + 200 })
    }
    for (const agent of [...agents]) {
      // An agent that learns that the fleet has replaced it ends; its platform starts another.
      if (now % TICK_MILLISECONDS === 0 && agent.execution.snapshot().state === 'departed') kill(agent)
      if (agent.isLeaving && isRunning(agent) && agent.execution.isDrained()) {
        agent.isLeaving = false
        leaving.push({ node: agent, at: now + 1_000 })
      }
    }
    for (const { node, at } of leaving.splice(0)) {
      if (at <= now) kill(node)
      else leaving.push({ node, at })
    }
  }
  const leaving: { node: SimulatedNode, at: number }[] = []

  log.append({
    author: 'operator', nonce: seededNonce(random, now), changes: configurationChanges()
  }, now - 1_000, () => true)
  log.tick(now)
  for (let count = 0; count < options.entryCount; count += 1) addEntry()
  for (let count = 0; count < options.agentCount; count += 1) addAgent()

  return {
    ledger,
    log,
    random,
    now: () => now,
    advance () {
      now += QUANTUM_MILLISECONDS
      log.tick(now)
      deliver()
      for (const node of [...entries, ...agents]) pulse(node)
      endStops()
    },
    steps: () => steps,
    entries: () => entries,
    agents: () => agents,
    addEntry,
    addAgent,
    kill,
    pause (node, milliseconds) { node.pausedUntil = now + milliseconds },
    stop (node) {
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
    setFate (next) { fateOf = next },
    onSend (next) { observer = next }
  }
}

/** Names the owner that an entry sees for a partition. */
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
