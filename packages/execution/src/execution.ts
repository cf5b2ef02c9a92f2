/** Interface of the agent's execution logic: its ports, options and events. */
import type { AgentIdentity, EntryIdentity, Invariants, Logger, Metrics } from '@baobabpost/common'
import type { JsonRecord, LinkMessage, Outbox } from '@baobabpost/messages'
import type { StartRule } from './start-rules.js'

/** A task that is to be run by the upstream. */
export interface TaskRequest {
  readonly submission: string
  readonly index: number
  /** Path of the HTTP request. */
  readonly path: string
  /** Parameters of template and customer; keys of `input` override them. */
  readonly parameters: JsonRecord
  readonly input: JsonRecord
}

/** Result of a call to the upstream. */
export type TaskResult =
  /** The upstream answered with success. */
  | { readonly kind: 'succeeded', readonly answer: unknown, readonly answerBytes: number }
  /** The upstream answered with an error or an invalid answer, or the request could not be made. */
  | { readonly kind: 'failed', readonly detail: string }
  /** The call never reached the upstream: no connection was established and nothing was written. */
  | { readonly kind: 'unreached' }
  /** The task may have run: the connection ended or was aborted before the complete answer arrived. */
  | { readonly kind: 'silent' }

/** Port to the upstream. No method may call back into `Execution` before it returns. */
export interface UpstreamPort {
  /** Calls the upstream; passes the result to `Execution.handleResult` exactly once. */
  startTask: (request: TaskRequest) => void
  /** Aborts a call: closes its connection, then passes the result to `Execution.handleResult`. */
  abortTask: (submission: string, index: number) => void
  /** Tries to connect, and calls `Execution.handleUpstreamReachable` if the upstream accepts the connection. */
  probe: () => void
}

/** Port to the links to entries; ordinary messages are sent through the outbox. */
export interface EntryPort {
  /** Sets the address at which an entry is reached from now on. */
  setEntry: (identity: EntryIdentity, address: string) => void
  /** Removes an entry that is gone; nothing more is sent to it. */
  forgetEntry: (identity: EntryIdentity) => void
  /** Sends a message to the entry addresses of the settings, whose identities are not known. */
  sendToSeeds: (message: LinkMessage) => void
}

/** Identity, limits and ports of an agent. Durations are in milliseconds. */
export interface ExecutionOptions {
  readonly identity: AgentIdentity
  /** Address `IP:PORT` at which entries reach this agent. */
  readonly address: string
  readonly service: string
  readonly failureDomain: string
  /** Number of tasks that the upstream runs concurrently. */
  readonly slots: number
  /** Number of connections that the upstream accepts. */
  readonly connections: number
  /** Tasks accepted beyond the number of slots while no policy sets another value; 4 by default. */
  readonly prefetchTasks?: number
  /** Maximum number of queued tasks, regardless of the windows; 2,000 by default. */
  readonly maximumQueuedTasks?: number
  /** Maximum bytes of stored answers; above it the oldest acknowledged answers are dropped. 32 MiB by default. */
  readonly maximumAnswerBytes?: number
  /** Time for which a task is remembered after its last event; 600,000 by default. */
  readonly keyWindowMilliseconds?: number
  /** Time for which an acknowledged heartbeat allows starts, counted from its sending; 3,000 by default. */
  readonly leaseMilliseconds?: number
  /** Time between heartbeats; 500 by default. */
  readonly heartbeatMilliseconds?: number
  /** Time after which an unacknowledged report is sent again; doubles with each repetition. 500 by default. */
  readonly resendMilliseconds?: number
  /** Maximum difference between the clocks of two processes; 2,000 by default. */
  readonly clockSkewMilliseconds?: number
  /** Rules checked before each start; all rules by default. Tests omit single rules to show that each is needed. */
  readonly startRules?: readonly StartRule[]
  readonly outbox: Outbox
  readonly upstream: UpstreamPort
  readonly entries: EntryPort
  readonly invariants: Invariants
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Whether an agent accepts work. `departed`: the fleet has replaced the agent, which never starts a task again. */
export type ExecutionState = 'active' | 'leaving' | 'departed'

/** State and counts of an agent, for operators and tests. */
export interface ExecutionSnapshot {
  readonly state: ExecutionState
  readonly runningTasks: number
  readonly queuedTasks: number
  /** Remembered tasks, in any state. */
  readonly rememberedTasks: number
  /** Tasks started since the agent was created. */
  readonly startedTasks: number
  /** Outcomes that no entry has acknowledged yet. */
  readonly unacknowledgedOutcomes: number
  /** Unix time until which the lease allows starts; 0 before the first acknowledged heartbeat and after departure. */
  readonly leaseUntil: number
  readonly configurationPosition: number
  readonly prefetchTasks: number
  /** Maximum number of unfinished tasks of each entry, as last sent to it. */
  readonly windows: ReadonlyMap<EntryIdentity, number>
}

/** The agent's execution logic: handles events and acts through the ports. `now` is a Unix time in milliseconds. */
export interface Execution {
  readonly identity: AgentIdentity
  /** Handles a message from a link; drops messages that are not for agents. */
  receive: (from: EntryIdentity, message: LinkMessage, now: number) => void
  /** Handles the result of a call to the upstream. */
  handleResult: (submission: string, index: number, result: TaskResult, now: number) => void
  /** Handles the discovery that the upstream accepts connections again. */
  handleUpstreamReachable: (now: number) => void
  /** Runs what is due: heartbeats, resends, time-outs, expiry. Must be called at least every 100 ms. */
  tick: (now: number) => void
  /** Sends the outcomes of this turn of the event loop in as few reports for each entry as their size limit allows. */
  flush: (now: number) => void
  /** Begins a graceful shutdown: no new task starts, and queued tasks are refused. */
  leave: (now: number) => void
  /** Whether no task is unfinished, every outcome is settled and, in a graceful shutdown, every entry knows of it. */
  isDrained: () => boolean
  snapshot: () => ExecutionSnapshot
}
