/** Contract of the agent's decisions. */
import type { AgentIdentity, EntryIdentity, Invariants, Logger, Metrics } from '@baobabpost/common'
import type { JsonRecord, LinkMessage, Outbox } from '@baobabpost/messages'
import type { StartRule } from './start-rules.js'

/** A task as the upstream is asked to run it. */
export interface TaskRequest {
  readonly submission: string
  readonly index: number
  /** Path of the HTTP request. */
  readonly path: string
  /** Parameters of template and customer; the input goes over them. */
  readonly parameters: JsonRecord
  readonly input: JsonRecord
}

/** How a call of the upstream ended. */
export type TaskResult =
  /** It answered with success. */
  | { readonly kind: 'succeeded', readonly answer: unknown, readonly answerBytes: number }
  /** It answered with anything else. */
  | { readonly kind: 'failed', readonly detail: string }
  /** Proven not to have reached it: no connection came about and nothing was written. */
  | { readonly kind: 'unreached' }
  /** It may have run: the connection ended, or was given up, without a whole answer. */
  | { readonly kind: 'silent' }

/** Port to the upstream. No method calls back before it returns. */
export interface UpstreamPort {
  /** Calls the upstream; the end is told to `Execution.completed` exactly once. */
  startTask: (request: TaskRequest) => void
  /** Gives up a call: closes its connection, then tells `Execution.completed`. */
  abortTask: (submission: string, index: number) => void
  /** Tries to connect, and tells `Execution.upstreamReachable` if the upstream accepts. */
  probe: () => void
}

/** Port to the links, beside the outbox. */
export interface EntryPort {
  /** An entry is reached at this address from now on. */
  setEntry: (identity: EntryIdentity, address: string) => void
  /** An entry is gone; nothing more is sent to it. */
  forgetEntry: (identity: EntryIdentity) => void
  /** Sends to the addresses from the settings, whose identities aren't known. */
  sendToSeeds: (message: LinkMessage) => void
}

/** What an agent is, and its bounds. All times are milliseconds. */
export interface ExecutionOptions {
  readonly identity: AgentIdentity
  /** Address `IP:PORT` at which entries reach this agent. */
  readonly address: string
  readonly service: string
  readonly failureDomain: string
  /** Tasks that the upstream runs at once. */
  readonly slots: number
  /** Connections that the upstream accepts. */
  readonly connections: number
  /** Tasks accepted beyond the slots, until a policy says otherwise; 4 by default. */
  readonly prefetchTasks?: number
  /** Most tasks that wait here, whatever the windows say; 2,000 by default. */
  readonly maximumQueuedTasks?: number
  /** Most bytes of remembered answers; beyond it the oldest that were delivered are dropped. 32 MiB by default. */
  readonly maximumAnswerBytes?: number
  /** How long a task is remembered after its last event; 600,000 by default. */
  readonly keyWindowMilliseconds?: number
  /** How long an acknowledged heartbeat allows starts, from its sending; 3,000 by default. */
  readonly leaseMilliseconds?: number
  /** Time between heartbeats; 500 by default. */
  readonly heartbeatMilliseconds?: number
  /** Time until a report that isn't acknowledged is repeated; it doubles with each repetition. 500 by default. */
  readonly resendMilliseconds?: number
  /** Most by which clocks of processes differ; 2,000 by default. */
  readonly clockSkewMilliseconds?: number
  /** Rules checked before each start; all rules by default. Tests leave some out to show that they are needed. */
  readonly startRules?: readonly StartRule[]
  readonly outbox: Outbox
  readonly upstream: UpstreamPort
  readonly entries: EntryPort
  readonly invariants: Invariants
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Whether an agent takes work. `departed`: the fleet has replaced it, it starts nothing more for good. */
export type ExecutionState = 'active' | 'leaving' | 'departed'

/** Counts of an agent, for operators and tests. */
export interface ExecutionSnapshot {
  readonly state: ExecutionState
  readonly runningTasks: number
  readonly queuedTasks: number
  /** Tasks remembered, in any state. */
  readonly rememberedTasks: number
  /** Starts since the agent began. */
  readonly startedTasks: number
  /** Outcomes that no entry has acknowledged yet. */
  readonly unacknowledgedOutcomes: number
  /** Unix time until which the lease allows starts; 0 before the first acknowledged heartbeat. */
  readonly leaseUntil: number
  readonly configurationPosition: number
  readonly prefetchTasks: number
  /** Unfinished tasks allowed to each entry. */
  readonly windows: ReadonlyMap<EntryIdentity, number>
}

/** The agent's decisions: takes events and the time, acts through the ports. `now` is a Unix time in milliseconds. */
export interface Execution {
  readonly identity: AgentIdentity
  /** Takes a message of a link; messages that aren't for agents are dropped. */
  receive: (from: EntryIdentity, message: LinkMessage, now: number) => void
  /** A call of the upstream ended. */
  handleResult: (submission: string, index: number, result: TaskResult, now: number) => void
  /** The upstream was found to accept connections again. */
  handleUpstreamReachable: (now: number) => void
  /** Does what time brings: heartbeats, repetitions, time-outs, expiry. To be called every 100 ms or less. */
  tick: (now: number) => void
  /** Sends the outcomes of this turn of the loop, one report for each entry. */
  flush: (now: number) => void
  /** Begins a planned stop: nothing new starts, what waits is given back. */
  leave: (now: number) => void
  /** Whether nothing runs, every outcome was acknowledged and, at a planned stop, every entry knows of it. */
  isDrained: () => boolean
  snapshot: () => ExecutionSnapshot
}
