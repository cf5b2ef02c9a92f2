/** Agents drained by operators. A drain is recorded under the agent's name, so it outlasts a restart of the agent. */
import type { AgentIdentity } from '@baobabpost/common'
import { registerName } from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'

/**
 * Returns the name in the identity of an agent.
 *
 * @example
 * agentName('agent-7@0193…' as AgentIdentity) // 'agent-7'
 */
export function agentName (identity: AgentIdentity): string {
  return identity.slice(0, identity.lastIndexOf('@'))
}

/**
 * Whether an operator has drained the agent.
 *
 * @example
 * isDrained(projection, agent.identity)
 */
export function isDrained (projection: Pick<RegisterProjection, 'read'>, identity: AgentIdentity): boolean {
  const register = projection.read(registerName('drain', agentName(identity)))
  return register !== undefined && register.value !== null
}
