/** Agents by their registrations: joined ones may get tasks of submissions; the records of departed ones are lost. */
import type { AgentIdentity } from '@baobabpost/common'
import { AgentRegistration } from '@baobabpost/messages'
import { Result, Schema } from 'effect'

/** An agent that departed. */
export interface DepartedAgent {
  readonly identity: AgentIdentity
  /** Offset of the log record with the departure. */
  readonly offset: number
  /** Unix time of the departure. */
  readonly changedAt: number
  /** Whether the agent shut down gracefully and registered its departure itself. */
  readonly clean: boolean
}

export interface AgentRoster {
  /** Applies a change of a registration; returns the departure if the agent departed with it. */
  applyRegistration: (name: string, version: number, value: unknown) => DepartedAgent | undefined
  joined: () => readonly AgentIdentity[]
  isJoined: (agent: AgentIdentity) => boolean
  /** Returns the agents that departed at or after the given time. */
  departedSince: (time: number) => readonly DepartedAgent[]
}

const decodeRegistration = Schema.decodeUnknownResult(AgentRegistration)

/**
 * Creates an empty roster.
 *
 * @example
 * roster.applyRegistration('agent-1@…', 12, { state: 'joined', … })
 */
export function createAgentRoster (): AgentRoster {
  const joined = new Set<AgentIdentity>()
  const departed = new Map<AgentIdentity, DepartedAgent>()

  return {
    applyRegistration (name, version, value) {
      const decoded = decodeRegistration(value)
      if (Result.isFailure(decoded)) {
        // The registration was removed: membership does that only after the agent's records are past the key window.
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
