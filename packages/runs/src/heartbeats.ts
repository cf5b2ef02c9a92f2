/** Handles the upstream's heartbeats and its deregistration. */
import type { RunRegistryPorts, RunRegistryState } from './run-registry-state.js'
import { beginInstance } from './upstream-instance.js'
import { startWaitingRuns } from './orders.js'
import type { UpstreamInstance, UpstreamHeartbeat } from './upstream.js'
import type { UpstreamState } from './upstream-state.js'
import { MAXIMUM_OVERTAKING_HEARTBEATS } from './run-limits.js'

/** Whether a heartbeat is from an earlier instance than the known one, as far as its start time tells. */
function isOlderInstance (instance: UpstreamInstance, upstream: UpstreamState): boolean {
  const { instance: knownInstance, predecessor } = upstream
  if (instance.id === predecessor?.id && instance.startedAt === predecessor.startedAt) return true
  if (knownInstance === undefined) return false
  return instance.startedAt !== undefined && knownInstance.startedAt !== undefined &&
    instance.startedAt < knownInstance.startedAt
}

/** Whether two identities name one instance; a listing names an instance without its id. */
function isSameInstance (instance: UpstreamInstance, knownInstance: UpstreamInstance): boolean {
  return (instance.id === knownInstance.id || knownInstance.id === '') && instance.startedAt === knownInstance.startedAt
}

/**
 * Whether a later heartbeat of the instance came before this one. A number that is further behind than a heartbeat is
 * ever delayed shows that the last one was wrong.
 */
function isOvertaken ({ sequence }: UpstreamHeartbeat, { heartbeat }: UpstreamState): boolean {
  if (heartbeat === undefined || sequence > heartbeat.sequence) return false
  return heartbeat.sequence - sequence <= MAXIMUM_OVERTAKING_HEARTBEATS
}

function logSkipped (state: RunRegistryState, ports: RunRegistryPorts, heartbeat: UpstreamHeartbeat): void {
  ports.logger.warn('heartbeat skipped: out of date', {
    upstream: heartbeat.instance.id,
    bornAt: heartbeat.instance.startedAt,
    sequence: heartbeat.sequence,
    knownBornAt: state.upstream.instance?.startedAt,
    knownSequence: state.upstream.heartbeat?.sequence,
    draining: heartbeat.isDraining
  })
}

/** Makes the instance of a heartbeat the known one. */
function findInstance (
  state: RunRegistryState, ports: RunRegistryPorts, heartbeat: UpstreamHeartbeat, now: number
): void {
  const { instance: knownInstance } = state.upstream
  const { instance, service, capacity, labels } = heartbeat
  if (knownInstance === undefined) state.upstream.instanceKnownSince = now
  if (knownInstance === undefined || isSameInstance(instance, knownInstance)) state.upstream.instance = instance
  else beginInstance(state, ports, instance, 'another life of the upstream', now)
  if (state.upstream.heartbeat !== undefined) return
  ports.logger.info('upstream found', {
    upstream: instance.id, bornAt: instance.startedAt, service, processor: capacity.processor, labels: labels.join(' ')
  })
}

/** Applies what a heartbeat says of how long the upstream remains cold, and tells entries if it has become colder. */
function recordWarmth (
  state: RunRegistryState, ports: RunRegistryPorts, heartbeat: UpstreamHeartbeat, now: number
): void {
  const { coldRemainingMilliseconds, instance } = heartbeat
  if (!state.upstream.slowStart.recordReport(coldRemainingMilliseconds, now)) return
  ports.logger.info('upstream is cold', { upstream: instance.id, bornAt: instance.startedAt, remaining: coldRemainingMilliseconds })
  ports.wake()
}

/**
 * Applies a heartbeat. One of an earlier instance is ignored; of one that a later heartbeat overtook, only that the
 * upstream leaves is used.
 *
 * @returns whether all that the heartbeat says is taken into account, so that it may be acknowledged.
 */
export function handleHeartbeat (
  state: RunRegistryState, ports: RunRegistryPorts, heartbeat: UpstreamHeartbeat, now: number
): boolean {
  if (isOlderInstance(heartbeat.instance, state.upstream)) {
    logSkipped(state, ports, heartbeat)
    // A listing tells whether the time of day was set back before the instance started.
    ports.listImmediately()
    return false
  }
  findInstance(state, ports, heartbeat, now)
  const { upstream } = state
  if (heartbeat.isDraining && !upstream.isLeaving) {
    upstream.isLeaving = true
    const { id, startedAt } = heartbeat.instance
    ports.logger.info('upstream drains', { upstream: id, bornAt: startedAt, sequence: heartbeat.sequence })
  }
  if (!isOvertaken(heartbeat, upstream)) {
    upstream.heartbeat = heartbeat
    upstream.hasDeparted = false
    recordWarmth(state, ports, heartbeat, now)
  } else {
    logSkipped(state, ports, heartbeat)
  }
  startWaitingRuns(state, ports, now)
  return true
}

/**
 * Handles the deregistration of an upstream: nothing starts there until a later heartbeat. A deregistration doesn't say
 * of which instance it is, and a late one of an earlier instance may arrive under the same id. So the runs end by what
 * listings show, or when nothing listens at the upstream.
 */
export function handleDeparture (state: RunRegistryState, ports: RunRegistryPorts, id: string, now: number): void {
  if (state.upstream.instance?.id !== id || state.upstream.hasDeparted) return
  ports.logger.info('upstream left', { upstream: id })
  state.upstream.hasDeparted = true
  startWaitingRuns(state, ports, now)
  ports.listImmediately()
}
