/** Orders to the upstream: starts when there is room, stops, and orders whose answer was lost. */
import { fitsInto, RUN_LEASE_MILLISECONDS } from '@baobabpost/fleet-calls'
import { FENCE_STEP, LISTING_AGE_MILLISECONDS, MAXIMUM_RUN_NUMBER_ATTEMPTS } from './run-limits.js'
import { bookRun, endRun, freeRoom, type RunRegistryPorts, type RunBookState } from './run-registry-state.js'
import type { RunRecord } from './run-record.js'
import type { OrderAnswer } from './upstream.js'

/** Why a run is stopped whose order got no answer: the run is still wanted. */
export const ORDER_UNANSWERED = 'order unanswered'

/** Tells whether new runs may be accepted and started. */
export function isAccepting (state: RunBookState, now: number): boolean {
  if (state.leaving || state.departed || state.phase !== 'serving') return false
  if (state.report === undefined || state.report.isDraining) return false
  return now - state.listedAt <= LISTING_AGE_MILLISECONDS
}

/** Time on the upstream's clock up to which runs may go on without a further renewal. */
export function leaseUntil (state: RunBookState, now: number): number | undefined {
  const clock = state.clock.at(now)
  return clock === undefined ? undefined : clock + RUN_LEASE_MILLISECONDS
}

/** Sends the order to start a booked run. */
export function sendStart (state: RunBookState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  record.state = 'ordered'
  record.goneFrom = undefined
  ports.sendStart(record, {
    task: record.order.task,
    run: record.upstreamRun,
    specification: record.specification,
    fencingToken: state.fence,
    leaseUntil: leaseUntil(state, now),
    instance: state.life
  })
}

/** Starts what waits and has room, and gives up what has waited too long. */
export function startWaiting (state: RunBookState, ports: RunRegistryPorts, now: number): void {
  const accepting = isAccepting(state, now)
  for (const record of [...state.queue.inOrder()]) {
    if (!accepting) {
      endRun(state, ports, record, 'not-started', 'not-accepting', now)
    } else if (fitsInto(record.order.size, freeRoom(state))) {
      bookRun(state, record)
      ports.logger.info('run ordered', {
        task: record.order.task,
        run: record.order.run,
        entry: record.session.entry,
        waited: Math.round(now - record.acceptedAt),
        free: freeRoom(state).processor
      })
      record.orderedAt = now
      sendStart(state, ports, record, now)
    } else if (now > record.patientUntil) {
      endRun(state, ports, record, 'not-started', 'no-room', now)
    }
  }
}

/** Has a run stopped, or takes back its order; asking again does no harm. */
export function stopRun (
  state: RunBookState, ports: RunRegistryPorts, record: RunRecord, reason: string, now: number
): void {
  if (record.state === 'waiting') return endRun(state, ports, record, 'not-started', reason, now)
  if (record.state === 'stopping') {
    record.stopReason = reason
    return
  }
  record.state = 'stopping'
  record.stopReason = reason
  record.goneFrom = undefined
  sendStop(state, ports, record)
}

function sendStop (state: RunBookState, ports: RunRegistryPorts, record: RunRecord): void {
  ports.sendStop(record, { task: record.order.task, run: record.upstreamRun, fencingToken: state.fence, instance: state.life })
}

/** Raises the fence after the upstream said that it has seen a higher one. */
export function raiseFence (state: RunBookState, ports: RunRegistryPorts, usedFence: number): void {
  if (usedFence < state.fence) return
  state.fence = usedFence + FENCE_STEP
  ports.logger.info('fence raised', { fence: state.fence, reason: 'upstream has seen a higher one' })
}

/** The order is under way or may be; nothing is known to have gone wrong with the run. */
function takeUnanswered (ports: RunRegistryPorts, record: RunRecord, now: number): void {
  ports.logger.warn('start got no answer', { task: record.order.task, run: record.upstreamRun })
  if (record.state === 'stopping') return
  record.state = 'unsure'
  record.goneFrom = now
  ports.look()
}

/** Sends an order that was surely not carried out again, where that can help and its entry still wants it. */
export function repeatStart (
  state: RunBookState, ports: RunRegistryPorts, record: RunRecord, refusal: string, now: number
): void {
  record.runNumberAttempts += 1
  if (record.state === 'stopping' && record.stopReason !== ORDER_UNANSWERED) {
    return endRun(state, ports, record, 'not-started', record.stopReason, now)
  }
  const hopeless = record.runNumberAttempts > MAXIMUM_RUN_NUMBER_ATTEMPTS || now > record.session.leaseUntil
  if (hopeless) return endRun(state, ports, record, 'not-started', refusal, now)
  record.orderedAt = now
  sendStart(state, ports, record, now)
}

/** Takes in the answer to an order to start. */
export function takeStartAnswer (
  state: RunBookState, ports: RunRegistryPorts, record: RunRecord, answer: OrderAnswer, usedFence: number, now: number
): void {
  if (state.runs.get(record.order.task) !== record) return
  switch (answer.outcome) {
    case 'taken':
      record.confirmed = true
      if (record.state === 'stopping') return
      record.state = 'running'
      record.goneFrom = now
      return
    case 'unanswered':
      return takeUnanswered(ports, record, now)
    case 'fenced':
      raiseFence(state, ports, usedFence)
      return repeatStart(state, ports, record, answer.outcome, now)
    case 'old-run':
      record.upstreamRun += 1
      return repeatStart(state, ports, record, answer.outcome, now)
    case 'late':
      return repeatStart(state, ports, record, answer.outcome, now)
    case 'no-room':
    case 'unhealthy':
    case 'invalid':
    case 'other-life':
    case 'unreachable':
      state.observations.failed()
      endRun(state, ports, record, 'not-started', answer.outcome, now)
  }
}

/** Takes in the answer to an order to stop. */
export function takeStopAnswer (
  state: RunBookState, ports: RunRegistryPorts, record: RunRecord, answer: OrderAnswer, usedFence: number, now: number
): void {
  if (state.runs.get(record.order.task) !== record) return
  switch (answer.outcome) {
    case 'other-life':
    case 'unreachable':
      return endRun(state, ports, record, 'lost', answer.outcome, now)
    case 'unanswered':
      return sendStop(state, ports, record)
    case 'fenced':
      raiseFence(state, ports, usedFence)
      return sendStop(state, ports, record)
    case 'taken':
    case 'old-run':
    case 'late':
    case 'no-room':
    case 'unhealthy':
    case 'invalid':
      record.goneFrom = now
      ports.look()
  }
}
