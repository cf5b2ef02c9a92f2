/** Agents by their registrations: which may hold keyed work, and which took their records along. */
import type { AgentIdentity } from '@baobabpost/common'
import { AgentRegistration } from '@baobabpost/messages'
import { Result, Schema } from 'effect'

/** An agent that departed. */
export interface DepartedAgent {
  readonly identity: AgentIdentity
  /** Offset of the record that says so. */
  readonly offset: number
  /** Unix time of the departure. */
  readonly changedAt: number
  /** Whether the agent itself said that it stopped. */
  readonly clean: boolean
}

/** Registrations of agents. */
export interface AgentRoster {
  /** Takes in a registration; gives the departure if the agent departed by it. */
  change: (name: string, version: number, value: unknown) => DepartedAgent | undefined
  joined: () => readonly AgentIdentity[]
  isJoined: (agent: AgentIdentity) => boolean
  /** Agents whose departure is not before the given time. */
  departedSince: (time: number) => readonly DepartedAgent[]
}

const decodeRegistration = Schema.decodeUnknownResult(AgentRegistration)

/**
 * Makes an empty roster.
 *
 * @example
 * roster.change('agent-1@…', 12, { state: 'joined', … })
 */
export function createAgentRoster (): AgentRoster {
  const joined = new Set<AgentIdentity>()
  const departed = new Map<AgentIdentity, DepartedAgent>()

  return {
    change (name, version, value) {
      const decoded = decodeRegistration(value)
      if (Result.isFailure(decoded)) {
        // A removed registration; membership removes it only once its records are past the key window.
        joined.delete(name as AgentIdentity)
        departed.delete(name as AgentIdentity)
        return undefined
      }
      const { identity, state, changedAt, clean } = decoded.success
      if (state === 'joined') {
        joined.add(identity)
        return undefined
      }
      joined.delete(identity)
      const departure = { identity, offset: version, changedAt, clean }
      departed.set(identity, departure)
      return departure
    },
    joined: () => [...joined],
    isJoined: agent => joined.has(agent),
    departedSince: time => [...departed.values()].filter(agent => agent.changedAt >= time)
  }
}
