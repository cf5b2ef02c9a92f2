/** What the upstream tells of itself: heartbeats, and that it leaves. */
import type { RunBookPorts, RunBookState } from './run-book-state.js'
import { forgetLife } from './listings.js'
import { startWaiting } from './orders.js'
import type { UpstreamLife, UpstreamReport } from './upstream.js'

function isOlder (life: UpstreamLife, known: UpstreamLife): boolean {
  return life.bornAt !== undefined && known.bornAt !== undefined && life.bornAt < known.bornAt
}

function isSame (life: UpstreamLife, known: UpstreamLife): boolean {
  return life.id === known.id && life.bornAt === known.bornAt
}

/** Takes in a heartbeat; one of an earlier life, or overtaken by a later one, changes nothing. */
export function takeReport (state: RunBookState, ports: RunBookPorts, report: UpstreamReport, now: number): void {
  const known = state.life
  if (known !== undefined && isOlder(report.life, known)) return
  const same = known !== undefined && isSame(report.life, known)
  if (same && state.report !== undefined && report.sequence <= state.report.sequence) return
  if (!same) {
    ports.logger.info('upstream found', { upstream: report.life.id, bornAt: report.life.bornAt, service: report.service, processor: report.capacity.processor, labels: report.labels.join(' ') })
    state.life = report.life
    if (known !== undefined) forgetLife(state, ports, 'another life of the upstream', now)
  }
  const wasDraining = state.report?.draining ?? false
  state.report = report
  state.departed = false
  if (report.draining && !wasDraining) ports.logger.info('upstream drains', { upstream: report.life.id })
  startWaiting(state, ports, now)
}

/** Takes in that an upstream has left for good. */
export function takeDeparture (state: RunBookState, ports: RunBookPorts, id: string, now: number): void {
  if (state.life?.id !== id || state.departed) return
  state.departed = true
  ports.logger.info('upstream left', { upstream: id })
  forgetLife(state, ports, 'the upstream left', now)
}
