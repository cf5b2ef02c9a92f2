/** Selects the registers that an agent needs from those that changed since its last heartbeat. */
import { processName } from '@baobabpost/common'
import { registerName, type Announce, type RegisterValue } from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'

/** Maximum number of policies in one answer to a heartbeat. */
const MAXIMUM_ANSWER_POLICIES = 100

export interface AgentConfiguration {
  readonly registers: readonly RegisterValue[]
  /** Position up to which the agent then knows its registers. */
  readonly position: number
}

/**
 * Returns the policies, and the drain of the agent itself, that changed since the position in its heartbeat. The agent
 * refuses a dispatch that was sent before its drain and reaches it later, which no entry can take back.
 */
export function selectAgentConfiguration (
  projection: Pick<RegisterProjection, 'changesSince'>, announce: Pick<Announce, 'identity' | 'configurationPosition'>
): AgentConfiguration {
  const since = announce.configurationPosition
  const policies = projection.changesSince(since, MAXIMUM_ANSWER_POLICIES, 'policy')
  const drain = registerName('drain', processName(announce.identity))
  const drains = projection.changesSince(since, Infinity, 'drain').registers.filter(({ register }) => register === drain)
  return { registers: [...policies.registers, ...drains], position: policies.position }
}
