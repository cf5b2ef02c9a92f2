/** Applies what entries tell of evacuated failure domains. */
import type { EvacuationState } from '@baobabpost/fleet-calls'
import { isEvacuated, startWaitingRuns } from './orders.js'
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'

/**
 * Applies what an entry knows of evacuated failure domains, if that is newer. Waiting runs of a domain that is
 * evacuated go back to their entries at once.
 */
export function applyEvacuations (
  state: RunRegistryState, ports: RunRegistryPorts, evacuations: EvacuationState, source: string, now: number
): void {
  if (evacuations.position >= (state.evacuations.state()?.position ?? 0)) state.evacuationsConfirmedAt = now
  if (!state.evacuations.merge(evacuations)) return
  const returned = isEvacuated(state) ? state.queue.count() + state.reservedRuns.size : 0
  ports.logger.info('evacuations changed', {
    domains: evacuations.domains.join(' '), position: evacuations.position, source, returned
  })
  startWaitingRuns(state, ports, now)
}
