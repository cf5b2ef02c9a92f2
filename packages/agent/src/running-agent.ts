/** Contract of an agent that runs within a process. */
import type { AgentIdentity, LogLevel } from '@baobabpost/common'
import type { ExecutionSnapshot } from '@baobabpost/execution'

/** Settings of an agent. Addresses are `IP:PORT`; port 0 takes any free port. */
export interface AgentSettings {
  readonly name: string
  readonly listenAddress: string
  /** Address at which entries reach the agent; the listening address where empty. */
  readonly advertisedAddress: string
  readonly failureDomain: string
  readonly service: string
  readonly slots: number
  readonly connections: number
  readonly upstreamAddress: string
  readonly entryAddresses: readonly string[]
  readonly linkKeys: readonly string[]
  readonly logLevel: LogLevel
  /** Address of the statsd collector; none where empty. */
  readonly metricsAddress: string
  readonly keyWindowMilliseconds: number
  readonly leaseMilliseconds: number
  readonly clockSkewMilliseconds: number
  readonly stopTimeoutMilliseconds: number
}

/** An agent that runs. */
export interface RunningAgent {
  /** Identity of this run; a new one after the fleet has replaced the agent. */
  identity: () => AgentIdentity
  /** Address at which entries reach the agent. */
  address: () => string
  snapshot: () => ExecutionSnapshot
  /** Violations of asserted invariants so far. */
  violations: () => number
  /** Planned stop: gives back what waits, finishes what runs, hands over all outcomes, then closes. */
  stop: () => Promise<void>
}

/** Starts an agent; resolves once it listens. */
export type StartAgent = (settings: AgentSettings) => Promise<RunningAgent>
