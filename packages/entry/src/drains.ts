/** Agents drained by operators. A drain is recorded under the agent's name, so it outlasts a restart of the agent. */
import { processName, type AgentIdentity } from '@baobabpost/common'
import { registerName } from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'

/**
 * Whether an operator has drained the agent.
 *
 * @example
 * isDrained(projection, agent.identity)
 */
export function isDrained (projection: Pick<RegisterProjection, 'read'>, identity: AgentIdentity): boolean {
  const register = projection.read(registerName('drain', processName(identity)))
  return register !== undefined && register.value !== null
}

/**
 * Selects the agents that a drain concerns, newest first. After a restart, the former incarnation of an agent counts as
 * usable until its heartbeats are missed; the drain, recorded under the name, holds for both.
 *
 * @param requested - Name or identity of an agent.
 */
export function selectDrained (usable: readonly AgentIdentity[], requested: string): AgentIdentity[] {
  const name = usable.find(identity => identity === requested) === undefined
    ? requested
    : processName(requested as AgentIdentity)
  // An identity ends in a UUID of version 7, which begins with the time of the start.
  return usable.filter(identity => processName(identity) === name).sort().reverse()
}
