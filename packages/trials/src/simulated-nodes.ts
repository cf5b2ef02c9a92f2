/** Simulated processes: the decision code of an entry or an agent with its own clock and a queue for pauses. */
import {
  type AgentIdentity, type EntryIdentity, type Invariants, type ProcessIdentity, type Random, silentLogger,
  silentMetrics
} from '@baobabpost/common'
import { createEntryCore, type EntryCore } from '@baobabpost/entry'
import { createExecution, type Execution, type ExecutionOptions } from '@baobabpost/execution'
import type { LinkMessage } from '@baobabpost/messages'
import type { LogBatch, LogStatus } from '@baobabpost/platform-log'
import { POLICY_NAME, SERVICE_NAME } from './fixtures.js'
import type { MessageEnvelope } from './memory-network.js'
import type { MemoryLog } from './memory-log.js'
import { seededNonce } from './seeded-names.js'
import type { SimulatedUpstream } from './simulated-upstream.js'

const RETENTION_MILLISECONDS = 3_600_000
const MAXIMUM_QUEUED_TASKS = 100_000
const MAXIMUM_FLUSHES = 20
const EMPTY_LOG_STATUS: LogStatus = {
  position: 0, end: 0, endReadStartedAt: undefined, behindSince: undefined, pendingAppends: 0
}

/** Settings that entries and agents share. */
export interface SimulationSettings {
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
}

/** Dependencies of a process. */
export interface NodePorts {
  readonly settings: SimulationSettings
  readonly random: Random
  readonly invariants: Invariants
  /** Difference between the clock of the process and simulated time. */
  readonly clockOffsetMilliseconds: number
  readonly now: () => number
  readonly send: (envelope: MessageEnvelope) => void
  /** Sends to the entries that the settings name as seeds. */
  readonly sendToSeeds: (from: ProcessIdentity, message: LinkMessage) => void
}

interface NodeState {
  isAlive: boolean
  /** Simulated time at which a pause of the process ends. */
  pausedUntil: number
  /** Messages that arrived during a pause. */
  readonly inbox: MessageEnvelope[]
  /** Callers' operations that arrived during a pause. */
  readonly pendingOperations: (() => void)[]
}

export interface SimulatedNode extends NodeState {
  readonly identity: ProcessIdentity
  /** Returns the time by the clock of the process, in Unix milliseconds. */
  localTime: () => number
  receive: (envelope: MessageEnvelope) => void
  tick: () => void
  flush: () => void
}

export interface EntryNode extends SimulatedNode {
  readonly kind: 'entry'
  readonly identity: EntryIdentity
  readonly core: EntryCore
  /** Whether the entry can reach the log. */
  reachesLog: boolean
  /** Simulated time at which its graceful shutdown began. */
  stoppingSince: number | undefined
  readLog: () => void
  /** Runs a caller's operation now, or at the end of a pause. */
  runWhenAwake: (operation: () => void) => void
}

export interface AgentNode extends SimulatedNode {
  readonly kind: 'agent'
  readonly identity: AgentIdentity
  readonly execution: Execution
  readonly upstream: SimulatedUpstream
  isLeaving: boolean
  /** Passes the results of completed upstream requests to the agent, and returns their number. */
  completeCalls: () => number
}

/** Creates and starts an entry. */
export function createEntryNode (identity: EntryIdentity, log: MemoryLog, ports: NodePorts): EntryNode {
  const localTime = (): number => ports.now() + ports.clockOffsetMilliseconds
  const pendingReads: { readonly batch: LogBatch, readonly dueAt: number }[] = []
  const core = createEntryCore({
    settings: {
      identity,
      address: `127.0.0.1:${10_000 + ports.random.below(50_000)}`,
      failureDomain: 'dakar-1',
      policy: POLICY_NAME,
      logRetentionMilliseconds: RETENTION_MILLISECONDS,
      maximumQueuedTasks: MAXIMUM_QUEUED_TASKS,
      ...ports.settings
    },
    startedAt: localTime(),
    random: ports.random,
    invariants: ports.invariants,
    logger: silentLogger,
    metrics: silentMetrics,
    send: (to, message) => { ports.send({ from: identity, to, message }) },
    sendToSeeds: message => { ports.sendToSeeds(identity, message) },
    append: changes => {
      const nonce = seededNonce(ports.random, localTime())
      const abandonAt = ports.now() + 5_000
      const isAlive = (): boolean => node.isAlive && node.reachesLog && ports.now() < abandonAt
      log.append({ author: identity, nonce, changes }, ports.now(), isAlive)
      return nonce
    },
    logStatus: () => EMPTY_LOG_STATUS,
    setPeer: () => {},
    forgetPeer: () => {}
  })
  const node: EntryNode = {
    kind: 'entry',
    identity,
    core,
    isAlive: true,
    pausedUntil: 0,
    inbox: [],
    pendingOperations: [],
    reachesLog: true,
    stoppingSince: undefined,
    localTime,
    runWhenAwake (operation) {
      if (node.pausedUntil <= ports.now()) operation()
      else node.pendingOperations.push(operation)
    },
    receive: ({ from, message }) => { core.receive(from, message, localTime()) },
    tick: () => { core.tick(localTime()) },
    flush () {
      for (let flushCount = 0; flushCount < MAXIMUM_FLUSHES; flushCount += 1) {
        if (!core.flush(localTime())) return
      }
    },
    readLog () {
      const batch = node.reachesLog ? log.read(core.components.projection.nextReadOffset(), localTime()) : undefined
      if (batch !== undefined) pendingReads.push({ batch, dueAt: ports.now() + log.delayMilliseconds })
      while (pendingReads[0] !== undefined && pendingReads[0].dueAt <= ports.now()) {
        core.handleLogRead(pendingReads.shift()!.batch, localTime())
      }
    }
  }
  core.start(localTime())
  return node
}

/** Creates an agent. `optionOverrides` replaces options, to weaken its fencing on purpose. */
export function createAgentNode (
  identity: AgentIdentity, upstream: SimulatedUpstream, ports: NodePorts, optionOverrides: Partial<ExecutionOptions>
): AgentNode {
  const localTime = (): number => ports.now() + ports.clockOffsetMilliseconds
  const execution = createExecution({
    identity,
    address: `127.0.0.1:${10_000 + ports.random.below(50_000)}`,
    service: SERVICE_NAME,
    failureDomain: 'dakar-1',
    slots: 4,
    connections: 60,
    invariants: ports.invariants,
    logger: silentLogger,
    metrics: silentMetrics,
    ...ports.settings,
    outbox: {
      send: (to, message) => { ports.send({ from: identity, to, message }) },
      append: () => {}
    },
    upstream: {
      startTask: request => { upstream.startTask(request, ports.now()) },
      abortTask: upstream.abortTask,
      probe: () => { isProbing = true }
    },
    entries: {
      setEntry: () => {},
      forgetEntry: () => {},
      sendToSeeds: message => { ports.sendToSeeds(identity, message) }
    },
    ...optionOverrides
  })
  let isProbing = false
  return {
    kind: 'agent',
    identity,
    execution,
    upstream,
    isAlive: true,
    pausedUntil: 0,
    inbox: [],
    pendingOperations: [],
    isLeaving: false,
    localTime,
    receive: ({ from, message }) => { execution.receive(from as EntryIdentity, message, localTime()) },
    tick () {
      if (isProbing && upstream.requestOutcome !== 'refuse-connection') {
        isProbing = false
        execution.handleUpstreamReachable(localTime())
      }
      execution.tick(localTime())
    },
    flush: () => { execution.flush(localTime()) },
    completeCalls () {
      const calls = upstream.takeCompleted(ports.now())
      for (const { submission, index, result } of calls) execution.handleResult(submission, index, result, localTime())
      return calls.length
    }
  }
}
