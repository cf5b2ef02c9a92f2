/** Contract of an agent that runs within a process. */
import type { AgentIdentity } from '@baobabpost/common'
import type { ExecutionSnapshot } from '@baobabpost/execution'
import type { LinkStatistics } from '@baobabpost/link'

/** An agent that runs. */
export interface RunningAgent {
  /** Identity of this run; a new one after the fleet has replaced the agent. */
  identity: () => AgentIdentity
  /** Address at which entries reach the agent. */
  address: () => string
  snapshot: () => ExecutionSnapshot
  /** What this run of the agent sent over its link. */
  linkStatistics: () => LinkStatistics
  /** Violations of asserted invariants so far. */
  violations: () => number
  /** Planned stop: gives back what waits, finishes what runs, hands over all outcomes, then closes. */
  stop: () => Promise<void>
}
