/** The registers that an agent uses, received from entries. Older versions are ignored. */
import type { AgentIdentity } from '@baobabpost/common'
import { agentRegisterNames, Policy, registerName, type RegisterValue } from '@baobabpost/messages'
import { Result, Schema } from 'effect'

export interface AgentRegisters {
  /**
   * Applies registers, and records the log position up to which the agent is then current.
   *
   * @returns whether the agent was drained or its failure domain evacuated, or either was taken back.
   */
  apply: (registers: readonly RegisterValue[], position: number) => boolean
  position: () => number
  prefetchTasks: () => number
  /** Whether an operator has drained this agent. */
  isDrained: () => boolean
  /** Whether the failure domain of this agent is evacuated. */
  isEvacuated: () => boolean
  /** Slots kept free of jobs for each urgent task that runs on average. */
  urgentReserve: () => number
}

const DEFAULT_URGENT_RESERVE = 1
const POLICY_PREFIX = 'policy/'
const DEFAULT_POLICY = 'default'
const decodePolicy = Schema.decodeUnknownResult(Policy)

/** What registers are read for. */
export interface RegisteredAgent {
  readonly identity: AgentIdentity
  readonly service: string
  readonly failureDomain: string
}

interface KnownPolicy {
  readonly version: number
  readonly prefetchTasks: number | undefined
  readonly urgentReserve: number | undefined
}

/**
 * Creates the registers of an agent. The policy of the agent's service takes precedence over the policy `default`.
 *
 * @param agent - The agent, whose drain and the evacuation of whose failure domain count.
 * @param fallbackPrefetchTasks - Used while no policy sets `prefetchTasks`.
 */
export function createAgentRegisters (agent: RegisteredAgent, fallbackPrefetchTasks: number): AgentRegisters {
  const { service } = agent
  const names = agentRegisterNames(agent.identity, agent.failureDomain)
  /** Newest version of each register that forbids starts, and whether it has a value. */
  const prohibitions = new Map<string, { readonly version: number, readonly isInForce: boolean }>()
  const policies = new Map<string, KnownPolicy>()
  const policyNames = [registerName('policy', service), registerName('policy', DEFAULT_POLICY)]
  let position = 0

  function applyPolicy ({ register, version, value }: RegisterValue): void {
    const known = policies.get(register)
    if (known !== undefined && known.version >= version) return
    if (value === null) {
      policies.set(register, { version, prefetchTasks: undefined, urgentReserve: undefined })
      return
    }
    const decoded = decodePolicy(value)
    // A policy that does not decode leaves the previous one in force.
    const prefetchTasks = Result.isSuccess(decoded) ? decoded.success.prefetchTasks : known?.prefetchTasks
    const urgentReserve = Result.isSuccess(decoded) ? decoded.success.urgentReserve : known?.urgentReserve
    policies.set(register, { version, prefetchTasks, urgentReserve })
  }

  function isInForce (register: string): boolean {
    return prohibitions.get(register)?.isInForce === true
  }

  function applyProhibition ({ register, version, value }: RegisterValue): boolean {
    const known = prohibitions.get(register)
    if (known !== undefined && known.version >= version) return false
    prohibitions.set(register, { version, isInForce: value !== null })
    return (known?.isInForce === true) !== (value !== null)
  }

  return {
    apply (registers, newPosition) {
      let hasChanged = false
      for (const register of registers) {
        const isProhibition = register.register === names.drain || register.register === names.evacuation
        if (isProhibition && applyProhibition(register)) hasChanged = true
        if (register.register.startsWith(POLICY_PREFIX)) applyPolicy(register)
      }
      position = Math.max(position, newPosition)
      return hasChanged
    },
    isDrained: () => isInForce(names.drain),
    isEvacuated: () => isInForce(names.evacuation),
    position: () => position,
    prefetchTasks () {
      for (const name of policyNames) {
        const prefetchTasks = policies.get(name)?.prefetchTasks
        if (prefetchTasks !== undefined) return prefetchTasks
      }
      return fallbackPrefetchTasks
    },
    urgentReserve () {
      for (const name of policyNames) {
        const urgentReserve = policies.get(name)?.urgentReserve
        if (urgentReserve !== undefined) return urgentReserve
      }
      return DEFAULT_URGENT_RESERVE
    }
  }
}
