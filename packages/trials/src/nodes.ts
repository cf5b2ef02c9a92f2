/** Processes of a trial: the real decisions of an entry or an agent behind a clock, an inbox and a pulse. */
import {
  type AgentIdentity, type EntryIdentity, type Invariants, type ProcessIdentity, type Random, silentLogger,
  silentMetrics
} from '@baobabpost/common'
import { createEntryCore, type EntryCore } from '@baobabpost/entry'
import { createExecution, type Execution, type ExecutionOptions } from '@baobabpost/execution'
import type { LinkMessage } from '@baobabpost/messages'
import type { LogBatch, LogStanding } from '@baobabpost/platform-log'
import { TRIAL_POLICY, TRIAL_SERVICE } from './fixtures.js'
import type { Letter } from './mail.js'
import type { MemoryLog } from './memory-log.js'
import { seededNonce } from './seeded-names.js'
import type { TrialUpstream } from './upstream.js'

const RETENTION_MILLISECONDS = 3_600_000
const MAXIMUM_QUEUED_TASKS = 100_000
const MAXIMUM_FLUSHES = 20
const EMPTY_LOG_STATUS: LogStanding = {
  position: 0, end: 0, endReadStartedAt: undefined, behindSince: undefined, pendingAppends: 0
}

/** Bounds that both kinds of process share. */
export interface TrialSettings {
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
}

/** What a process is made from. */
export interface NodePorts {
  readonly settings: TrialSettings
  readonly random: Random
  readonly invariants: Invariants
  /** Difference of the process's clock from the true time. */
  readonly clockOffsetMilliseconds: number
  readonly now: () => number
  readonly send: (envelope: Letter) => void
  /** Sends to the processes that the settings name. */
  readonly sendToSeeds: (from: ProcessIdentity, message: LinkMessage) => void
}

interface NodeState {
  isAlive: boolean
  /** True time until which the process does nothing. */
  pausedUntil: number
  readonly inbox: Letter[]
  /** Callers' operations that came during a pause. */
  readonly pendingOperations: (() => void)[]
}

/** A process of a trial. */
export interface TrialNode extends NodeState {
  readonly identity: ProcessIdentity
  /** Time by the process's own clock. */
  localTime: () => number
  receive: (envelope: Letter) => void
  tick: () => void
  flush: () => void
}

/** An entry of a trial. */
export interface EntryNode extends TrialNode {
  readonly kind: 'entry'
  readonly identity: EntryIdentity
  readonly core: EntryCore
  /** Whether it reaches the log. */
  reachesLog: boolean
  /** True time at which its planned stop began. */
  stoppingSince: number | undefined
  readLog: () => void
  /** Gives the entry an operation of a caller: now, or when it wakes. */
  runWhenAwake: (operation: () => void) => void
}

/** An agent of a trial. */
export interface AgentNode extends TrialNode {
  readonly kind: 'agent'
  readonly identity: AgentIdentity
  readonly execution: Execution
  readonly upstream: TrialUpstream
  isLeaving: boolean
  /** Tells the agent which calls of its upstream ended; gives their number. */
  completeCalls: () => number
}

/** Makes an entry and starts it. */
export function createEntryNode (identity: EntryIdentity, log: MemoryLog, ports: NodePorts): EntryNode {
  const localTime = (): number => ports.now() + ports.clockOffsetMilliseconds
  const pendingReads: { readonly batch: LogBatch, readonly dueAt: number }[] = []
  const core = createEntryCore({
    settings: {
      identity,
      address: `127.0.0.1:${10_000 + ports.random.below(50_000)}`,
      failureDomain: 'dakar-1',
      policy: TRIAL_POLICY,
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
    logStanding: () => EMPTY_LOG_STATUS,
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
      const batch = node.reachesLog ? log.read(core.slices.fold.readFrom(), localTime()) : undefined
      if (batch !== undefined) pendingReads.push({ batch, dueAt: ports.now() + log.delayMilliseconds })
      while (pendingReads[0] !== undefined && pendingReads[0].dueAt <= ports.now()) {
        core.logRead(pendingReads.shift()!.batch, localTime())
      }
    }
  }
  core.start(localTime())
  return node
}

/** Makes an agent. `changes` goes over its options, to break its fence on purpose. */
export function createAgentNode (
  identity: AgentIdentity, upstream: TrialUpstream, ports: NodePorts, optionOverrides: Partial<ExecutionOptions>
): AgentNode {
  const localTime = (): number => ports.now() + ports.clockOffsetMilliseconds
  const execution = createExecution({
    identity,
    address: `127.0.0.1:${10_000 + ports.random.below(50_000)}`,
    service: TRIAL_SERVICE,
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
