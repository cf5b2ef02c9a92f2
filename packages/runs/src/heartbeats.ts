/** What the upstream tells of itself: heartbeats, and that it leaves. */
import type { RunRegistryPorts, RunBookState } from './run-registry-state.js'
import { forgetLife } from './listings.js'
import { startWaiting } from './orders.js'
import type { UpstreamInstance, UpstreamHeartbeat } from './upstream.js'

function isOlder (life: UpstreamInstance, known: UpstreamInstance): boolean {
  return life.startedAt !== undefined && known.startedAt !== undefined && life.startedAt < known.startedAt
}

function isSame (life: UpstreamInstance, known: UpstreamInstance): boolean {
  return life.id === known.id && life.startedAt === known.startedAt
}

/** Takes in a heartbeat; one of an earlier life, or overtaken by a later one, changes nothing. */
export function takeReport (state: RunBookState, ports: RunRegistryPorts, report: UpstreamHeartbeat, now: number): void {
  const known = state.life
  if (known !== undefined && isOlder(report.instance, known)) return
  const same = known !== undefined && isSame(report.instance, known)
  if (same && state.report !== undefined && report.sequence <= state.report.sequence) return
  if (!same) {
    ports.logger.info('upstream found', { upstream: report.instance.id, bornAt: report.instance.startedAt, service: report.service, processor: report.capacity.processor, labels: report.labels.join(' ') })
    state.life = report.instance
    if (known !== undefined) forgetLife(state, ports, 'another life of the upstream', now)
  }
  const wasDraining = state.report?.isDraining ?? false
  state.report = report
  state.departed = false
  if (report.isDraining && !wasDraining) ports.logger.info('upstream drains', { upstream: report.instance.id })
  startWaiting(state, ports, now)
}

/** Takes in that an upstream has left for good. */
export function takeDeparture (state: RunBookState, ports: RunRegistryPorts, id: string, now: number): void {
  if (state.life?.id !== id || state.departed) return
  state.departed = true
  ports.logger.info('upstream left', { upstream: id })
  forgetLife(state, ports, 'the upstream left', now)
}
