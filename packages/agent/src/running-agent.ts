/** Interface of an agent that runs within a process. */
import type { AgentIdentity } from '@baobabpost/common'
import type { ExecutionSnapshot } from '@baobabpost/execution'
import type { LinkStatistics } from '@baobabpost/link'

export interface RunningAgent {
  /** Identity of the current run; changes after the fleet has replaced the agent. */
  identity: () => AgentIdentity
  /** Address `IP:PORT` at which entries reach the agent. */
  address: () => string
  snapshot: () => ExecutionSnapshot
  /** Statistics of the link of the current run. */
  linkStatistics: () => LinkStatistics
  /** Number of invariant violations so far. */
  violations: () => number
  /** Shuts down gracefully: refuses queued tasks, finishes running ones, reports all outcomes, then closes. */
  stop: () => Promise<void>
}
