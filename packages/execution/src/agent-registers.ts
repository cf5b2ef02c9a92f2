/** The registers that an agent uses, received from entries. Older versions are ignored. */
import { processName, type AgentIdentity } from '@baobabpost/common'
import { Policy, registerName, type RegisterValue } from '@baobabpost/messages'
import { Result, Schema } from 'effect'

export interface AgentRegisters {
  /** Applies registers, and records the log position up to which the agent is then current. */
  apply: (registers: readonly RegisterValue[], position: number) => void
  position: () => number
  prefetchTasks: () => number
  /** Slots kept free of jobs for each urgent task that runs on average. */
  urgentReserve: () => number
  /** Whether an operator has drained this agent. */
  isDrained: () => boolean
}

const DEFAULT_URGENT_RESERVE = 1
const POLICY_PREFIX = 'policy/'
const DEFAULT_POLICY = 'default'
const decodePolicy = Schema.decodeUnknownResult(Policy)

interface KnownPolicy {
  readonly version: number
  readonly prefetchTasks: number | undefined
  readonly urgentReserve: number | undefined
}

/**
 * Creates the registers of an agent. The policy of the agent's service takes precedence over the policy `default`.
 *
 * @param fallbackPrefetchTasks - Used while no policy sets `prefetchTasks`.
 */
export function createAgentRegisters (
  identity: AgentIdentity, service: string, fallbackPrefetchTasks: number
): AgentRegisters {
  const drainName = registerName('drain', processName(identity))
  let drain = { version: 0, isDrained: false }
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

  return {
    apply (registers, newPosition) {
      for (const register of registers) {
        if (register.register.startsWith(POLICY_PREFIX)) applyPolicy(register)
        if (register.register === drainName && register.version > drain.version) {
          drain = { version: register.version, isDrained: register.value !== null }
        }
      }
      position = Math.max(position, newPosition)
    },
    position: () => position,
    isDrained: () => drain.isDrained,
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
