/** Processes of a trial: the real decisions of an entry or an agent behind a clock, an inbox and a pulse. */
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
const MAXIMUM_TURNS = 20
const NO_STANDING: LogStatus = {
  position: 0, end: 0, endReadStartedAt: undefined, behindSince: undefined, pendingAppends: 0
}

/** Bounds that both kinds of process share. */
export interface SimulationSettings {
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
}

/** What a process is made from. */
export interface NodePorts {
  readonly settings: SimulationSettings
  readonly random: Random
  readonly invariants: Invariants
  /** Difference of the process's clock from the true time. */
  readonly clockOffsetMilliseconds: number
  readonly now: () => number
  readonly send: (letter: MessageEnvelope) => void
  /** Sends to the processes that the settings name. */
  readonly sendToSeeds: (from: ProcessIdentity, message: LinkMessage) => void
}

interface NodeState {
  isAlive: boolean
  /** True time until which the process does nothing. */
  pausedUntil: number
  readonly inbox: MessageEnvelope[]
  /** Callers' operations that came during a pause. */
  readonly backlog: (() => void)[]
}

/** A process of a trial. */
export interface SimulatedNode extends NodeState {
  readonly identity: ProcessIdentity
  /** Time by the process's own clock. */
  localTime: () => number
  receive: (letter: MessageEnvelope) => void
  tick: () => void
  flush: () => void
}

/** An entry of a trial. */
export interface EntryNode extends SimulatedNode {
  readonly kind: 'entry'
  readonly identity: EntryIdentity
  readonly core: EntryCore
  /** Whether it reaches the log. */
  reachesLog: boolean
  /** True time at which its planned stop began. */
  stoppingSince: number | undefined
  readLog: () => void
  /** Gives the entry an operation of a caller: now, or when it wakes. */
  accept: (operation: () => void) => void
}

/** An agent of a trial. */
export interface AgentNode extends SimulatedNode {
  readonly kind: 'agent'
  readonly identity: AgentIdentity
  readonly execution: Execution
  readonly upstream: SimulatedUpstream
  isLeaving: boolean
  /** Tells the agent which calls of its upstream ended; gives their number. */
  completeCalls: () => number
}

/** Makes an entry and starts it. */
export function createEntryNode (identity: EntryIdentity, log: MemoryLog, ports: NodePorts): EntryNode {
  const localTime = (): number => ports.now() + ports.clockOffsetMilliseconds
  const slowReads: { readonly batch: LogBatch, readonly dueAt: number }[] = []
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
      const giveUpAt = ports.now() + 5_000
      const isAlive = (): boolean => node.isAlive && node.reachesLog && ports.now() < giveUpAt
      log.append({ author: identity, nonce, changes }, ports.now(), isAlive)
      return nonce
    },
    logStatus: () => NO_STANDING,
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
    backlog: [],
    reachesLog: true,
    stoppingSince: undefined,
    localTime,
    accept (operation) {
      if (node.pausedUntil <= ports.now()) operation()
      else node.backlog.push(operation)
    },
    receive: ({ from, message }) => { core.receive(from, message, localTime()) },
    tick: () => { core.tick(localTime()) },
    flush () {
      for (let turn = 0; turn < MAXIMUM_TURNS; turn += 1) {
        if (!core.flush(localTime())) return
      }
    },
    readLog () {
      const batch = node.reachesLog ? log.read(core.components.projection.nextReadOffset(), localTime()) : undefined
      if (batch !== undefined) slowReads.push({ batch, dueAt: ports.now() + log.delayMilliseconds })
      while (slowReads[0] !== undefined && slowReads[0].dueAt <= ports.now()) {
        core.handleLogRead(slowReads.shift()!.batch, localTime())
      }
    }
  }
  core.start(localTime())
  return node
}

/** Makes an agent. `changes` goes over its options, to break its fence on purpose. */
export function createAgentNode (
  identity: AgentIdentity, upstream: SimulatedUpstream, ports: NodePorts, changes: Partial<ExecutionOptions>
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
      probe: () => { probing = true }
    },
    entries: {
      setEntry: () => {},
      forgetEntry: () => {},
      sendToSeeds: message => { ports.sendToSeeds(identity, message) }
    },
    ...changes
  })
  let probing = false
  return {
    kind: 'agent',
    identity,
    execution,
    upstream,
    isAlive: true,
    pausedUntil: 0,
    inbox: [],
    backlog: [],
    isLeaving: false,
    localTime,
    receive: ({ from, message }) => { execution.receive(from as EntryIdentity, message, localTime()) },
    tick () {
      if (probing && upstream.fate !== 'refuse-connection') {
        probing = false
        execution.handleUpstreamReachable(localTime())
      }
      execution.tick(localTime())
    },
    flush: () => { execution.flush(localTime()) },
    completeCalls () {
      const ended = upstream.takeEnded(ports.now())
      for (const { submission, index, result } of ended) execution.handleResult(submission, index, result, localTime())
      return ended.length
    }
  }
}
