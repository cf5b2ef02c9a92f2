/** Raises the fencing token above those that the upstream has seen. */
import { FENCING_TOKEN_STEP, MAXIMUM_FENCING_TOKEN_STEP, MAXIMUM_FORMER_FENCE_LEAD } from './run-limits.js'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'

/** Raises the fencing token after the upstream rejected `usedFencingToken` as too old. */
export function raiseFencingToken (state: RunRegistryState, ports: RunRegistryPorts, usedFencingToken: number): void {
  if (usedFencingToken < state.fencingToken) return
  state.rejectedFence = usedFencingToken
  state.fencingToken = usedFencingToken + state.fencingTokenStep
  state.fencingTokenStep = Math.min(MAXIMUM_FENCING_TOKEN_STEP, 2 * state.fencingTokenStep)
  ports.logger.info('fence raised', { fence: state.fencingToken, reason: 'upstream has seen a higher one' })
}

/**
 * Raises the fencing token above that of an earlier incarnation of the agent, which an entry remembers. It is higher if
 * the time of day has gone back, and an upstream that started again has not seen it.
 */
export function exceedFormerFence (state: RunRegistryState, ports: RunRegistryPorts, formerFence: number): void {
  const { fencingToken } = state
  if (formerFence <= fencingToken || formerFence - fencingToken > MAXIMUM_FORMER_FENCE_LEAD) return
  state.fencingToken = formerFence + FENCING_TOKEN_STEP
  ports.logger.info('fence raised', { fence: state.fencingToken, reason: 'an earlier agent had a higher one' })
  if (state.runs.size === 0) {
    // Orders of the earlier incarnation may have started runs until a listing has the new token.
    state.upstream.phase = 'unfenced'
    state.isCleared = false
  }
  ports.listImmediately()
}
