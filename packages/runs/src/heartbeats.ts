/** Handles the upstream's heartbeats and its deregistration. */
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'
import { forgetInstance } from './listings.js'
import { startWaitingRuns } from './orders.js'
import type { UpstreamInstance, UpstreamHeartbeat } from './upstream.js'

function isOlderInstance (instance: UpstreamInstance, knownInstance: UpstreamInstance): boolean {
  return instance.startedAt !== undefined && knownInstance.startedAt !== undefined &&
    instance.startedAt < knownInstance.startedAt
}

function isSameInstance (instance: UpstreamInstance, knownInstance: UpstreamInstance): boolean {
  return instance.id === knownInstance.id && instance.startedAt === knownInstance.startedAt
}

function logSkipped (state: RunRegistryState, ports: RunRegistryPorts, heartbeat: UpstreamHeartbeat): void {
  ports.logger.warn('heartbeat skipped: out of date', {
    upstream: heartbeat.instance.id,
    bornAt: heartbeat.instance.startedAt,
    sequence: heartbeat.sequence,
    knownBornAt: state.instance?.startedAt,
    knownSequence: state.heartbeat?.sequence,
    draining: heartbeat.isDraining
  })
}

/** Applies a heartbeat. Heartbeats of an earlier instance, and those that arrive out of order, are ignored. */
export function handleHeartbeat (
  state: RunRegistryState, ports: RunRegistryPorts, heartbeat: UpstreamHeartbeat, now: number
): void {
  const knownInstance = state.instance
  if (knownInstance !== undefined && isOlderInstance(heartbeat.instance, knownInstance)) {
    return logSkipped(state, ports, heartbeat)
  }
  const isKnownInstance = knownInstance !== undefined && isSameInstance(heartbeat.instance, knownInstance)
  if (isKnownInstance && state.heartbeat !== undefined && heartbeat.sequence <= state.heartbeat.sequence) {
    return logSkipped(state, ports, heartbeat)
  }
  if (!isKnownInstance) {
    ports.logger.info('upstream found', { upstream: heartbeat.instance.id, bornAt: heartbeat.instance.startedAt, service: heartbeat.service, processor: heartbeat.capacity.processor, labels: heartbeat.labels.join(' ') })
    state.instance = heartbeat.instance
    if (knownInstance !== undefined) forgetInstance(state, ports, 'another life of the upstream', now)
  }
  const wasDraining = state.heartbeat?.isDraining ?? false
  state.heartbeat = heartbeat
  state.hasDeparted = false
  if (heartbeat.isDraining && !wasDraining) {
    const { id, startedAt } = heartbeat.instance
    ports.logger.info('upstream drains', { upstream: id, bornAt: startedAt, sequence: heartbeat.sequence })
  }
  startWaitingRuns(state, ports, now)
}

/** Handles the deregistration of an upstream: its runs are lost. */
export function handleDeparture (state: RunRegistryState, ports: RunRegistryPorts, id: string, now: number): void {
  if (state.instance?.id !== id || state.hasDeparted) return
  state.hasDeparted = true
  ports.logger.info('upstream left', { upstream: id })
  forgetInstance(state, ports, 'the upstream left', now)
}
