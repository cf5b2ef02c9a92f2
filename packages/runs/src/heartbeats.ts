/** Handles the upstream's heartbeats and its deregistration. */
import type { RunBookPorts, RunRegistryState } from './run-book-state.js'
import { forgetInstance } from './listings.js'
import { startWaitingRuns } from './orders.js'
import type { UpstreamLife, UpstreamReport } from './upstream.js'

function isOlderInstance (instance: UpstreamLife, knownInstance: UpstreamLife): boolean {
  return instance.bornAt !== undefined && knownInstance.bornAt !== undefined &&
    instance.bornAt < knownInstance.bornAt
}

function isSameInstance (instance: UpstreamLife, knownInstance: UpstreamLife): boolean {
  return instance.id === knownInstance.id && instance.bornAt === knownInstance.bornAt
}

/** Applies a heartbeat. Heartbeats of an earlier instance, and those that arrive out of order, are ignored. */
export function handleHeartbeat (
  state: RunRegistryState, ports: RunBookPorts, heartbeat: UpstreamReport, now: number
): void {
  const knownInstance = state.instance
  if (knownInstance !== undefined && isOlderInstance(heartbeat.life, knownInstance)) return
  const isKnownInstance = knownInstance !== undefined && isSameInstance(heartbeat.life, knownInstance)
  if (isKnownInstance && state.heartbeat !== undefined && heartbeat.sequence <= state.heartbeat.sequence) return
  if (!isKnownInstance) {
    ports.logger.info('upstream found', { upstream: heartbeat.life.id, bornAt: heartbeat.life.bornAt, service: heartbeat.service, processor: heartbeat.capacity.processor, labels: heartbeat.labels.join(' ') })
    state.instance = heartbeat.life
    if (knownInstance !== undefined) forgetInstance(state, ports, 'another life of the upstream', now)
  }
  const wasDraining = state.heartbeat?.draining ?? false
  state.heartbeat = heartbeat
  state.hasDeparted = false
  if (heartbeat.draining && !wasDraining) ports.logger.info('upstream drains', { upstream: heartbeat.life.id })
  startWaitingRuns(state, ports, now)
}

/** Handles the deregistration of an upstream: its runs are lost. */
export function handleDeparture (state: RunRegistryState, ports: RunBookPorts, id: string, now: number): void {
  if (state.instance?.id !== id || state.hasDeparted) return
  state.hasDeparted = true
  ports.logger.info('upstream left', { upstream: id })
  forgetInstance(state, ports, 'the upstream left', now)
}
