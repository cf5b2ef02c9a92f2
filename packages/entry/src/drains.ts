/** Agents that operators have drained, by name, so that a drain outlives a restart of the agent. */
import type { AgentIdentity } from '@baobabpost/common'
import { registerName } from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'

/**
 * Reads the name out of the identity of an agent.
 *
 * @example
 * agentName('agent-7@0193…' as AgentIdentity) // 'agent-7'
 */
export function agentName (identity: AgentIdentity): string {
  return identity.slice(0, identity.lastIndexOf('@'))
}

/**
 * Tells whether an operator has drained the agent.
 *
 * @example
 * isDrained(fold, agent.identity)
 */
export function isDrained (fold: Pick<RegisterProjection, 'read'>, identity: AgentIdentity): boolean {
  const register = fold.read(registerName('drain', agentName(identity)))
  return register !== undefined && register.value !== null
}
