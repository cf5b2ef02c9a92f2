/** What the upstream lists: ends, runs that go on, and what must not be there. */
import { LEASE_MARGIN_MILLISECONDS, RUN_LEASE_BOUND_MILLISECONDS } from '@baobabpost/fleet-calls'
import { MAXIMUM_SILENT_LISTINGS, STANDSTILL_MILLISECONDS } from './run-limits.js'
import { endRun, type RunRegistryPorts, type RunBookState } from './run-registry-state.js'
import { ORDER_UNANSWERED, raiseFence, repeatStart, startWaiting, stopRun } from './orders.js'
import type { RunRecord } from './run-record.js'
import type { ListAnswer, ListedCompletion, Listing } from './upstream.js'

/** Forgets an upstream's life: all that ran there has ended with it. */
export function forgetLife (state: RunBookState, ports: RunRegistryPorts, reason: string, now: number): void {
  for (const record of [...state.runs.values()]) {
    if (record.state === 'waiting') endRun(state, ports, record, 'not-started', reason, now)
    else endRun(state, ports, record, 'lost', reason, now)
  }
  state.phase = 'unfenced'
  // Orders to the life before may still arrive, also where the next life has seen no fence.
  state.fence += 1
  state.lastEnd = 0
  state.listedClock = 0
  state.clock.reset()
  state.observations.reset()
  ports.logger.warn('upstream life ended', { reason })
}

function takeEnd (state: RunBookState, ports: RunRegistryPorts, end: ListedCompletion, now: number): void {
  if (end.number <= state.lastEnd) return
  state.lastEnd = end.number
  const record = state.runs.get(end.task)
  if (record === undefined || record.state === 'waiting' || record.upstreamRun !== end.run) return
  const expected = record.order.estimateMilliseconds
  if (end.kind === 'done') state.observations.done(now - record.orderedAt, expected)
  if (end.kind === 'failed') state.observations.failed()
  endRun(state, ports, record, end.kind, end.kind === 'stopped' ? record.stopReason : '', now)
}

/** Ends what is gone without an end: its order was never carried out, or the upstream forgot it. */
function endMissing (
  state: RunBookState, ports: RunRegistryPorts, listed: ReadonlyMap<string, number>, askedAt: number, now: number
): void {
  for (const record of [...state.runs.values()]) {
    if (record.goneFrom === undefined || askedAt < record.goneFrom) continue
    const present = listed.get(record.order.task) === record.upstreamRun
    if (record.state === 'unsure') settleUnsure(state, ports, record, present, now)
    else if (!present) endGone(state, ports, record, now)
  }
}

/** A run is gone without an end. One that was never there is ordered again if only its order was lost. */
function endGone (state: RunBookState, ports: RunRegistryPorts, record: RunRecord, now: number): void {
  if (record.confirmed) return endRun(state, ports, record, 'lost', record.stopReason, now)
  if (record.stopReason !== ORDER_UNANSWERED) {
    return endRun(state, ports, record, 'not-started', record.stopReason, now)
  }
  record.upstreamRun += 1
  repeatStart(state, ports, record, ORDER_UNANSWERED, now)
}

function settleUnsure (
  state: RunBookState, ports: RunRegistryPorts, record: RunRecord, present: boolean, now: number
): void {
  if (!present) return stopRun(state, ports, record, ORDER_UNANSWERED, now)
  record.state = 'running'
  record.confirmed = true
  record.goneFrom = now
}

/** Stops what runs there and is not in the book. */
function stopStrangers (state: RunBookState, ports: RunRegistryPorts, listing: Listing): number {
  let strangers = 0
  for (const { task, run } of listing.running) {
    const record = state.runs.get(task)
    if (record !== undefined && record.state !== 'waiting' && record.upstreamRun === run) continue
    strangers += 1
    ports.logger.warn('stopping a run that is not in the book', { task, run, phase: state.phase })
    ports.stopStranger({ task, run, fencingToken: state.fence, instance: state.life })
  }
  return strangers
}

/** Notes how far each run is, and stops those that stand still. */
function noteProgress (state: RunBookState, ports: RunRegistryPorts, listing: Listing, now: number): void {
  for (const { task, run, percent } of listing.running) {
    const record = state.runs.get(task)
    if (record === undefined || record.upstreamRun !== run || record.state !== 'running') continue
    if (percent > record.percent || record.progressedAt < record.orderedAt) {
      record.percent = Math.max(percent, record.percent)
      record.progressedAt = now
    } else if (now - record.progressedAt > STANDSTILL_MILLISECONDS) {
      state.observations.failed()
      ports.logger.warn('run stands still', { task, run, percent, milliseconds: Math.round(now - record.progressedAt) })
      stopRun(state, ports, record, 'stands still', now)
    }
  }
}

/** Whether a listing is of the life that is known; one of a later life ends the known one. */
function isOfThisLife (state: RunBookState, ports: RunRegistryPorts, listing: Listing, now: number): boolean {
  const bornAt = state.life?.startedAt
  if (listing.startedAt === undefined || bornAt === undefined || listing.startedAt === bornAt) return true
  if (listing.startedAt > bornAt) {
    state.life = { id: state.life?.id ?? '', startedAt: listing.startedAt }
    forgetLife(state, ports, 'the upstream was started again', now)
  }
  return false
}

/** Takes in what an upstream lists that may hold runs of an earlier incarnation of the agent. */
function clearUpstream (state: RunBookState, ports: RunRegistryPorts, listing: Listing): void {
  for (const end of listing.ended) state.lastEnd = Math.max(state.lastEnd, end.number)
  if (stopStrangers(state, ports, listing) > 0) {
    state.phase = 'clearing'
    return
  }
  state.phase = 'serving'
  state.cleared = true
  ports.logger.info('upstream serves', { fence: state.fence })
}

function takeListing (
  state: RunBookState, ports: RunRegistryPorts, listing: Listing, clock: number, askedAt: number, now: number
): void {
  if (!isOfThisLife(state, ports, listing, now)) return
  state.listedAt = now
  // Answers on two connections may overtake each other: what runs counts for its moment, ends are numbered.
  const overtaken = clock < state.listedClock
  state.listedClock = Math.max(clock, state.listedClock)
  if (state.phase !== 'serving') {
    if (!overtaken) clearUpstream(state, ports, listing)
    return
  }
  for (const end of listing.ended) takeEnd(state, ports, end, now)
  if (overtaken) return
  stopStrangers(state, ports, listing)
  noteProgress(state, ports, listing, now)
  endMissing(state, ports, new Map(listing.running.map(({ task, run }) => [task, run])), askedAt, now)
}

/** Takes in the answer to an order to list that was sent at `askedAt`. */
export function takeListAnswer (
  state: RunBookState, ports: RunRegistryPorts, answer: ListAnswer, usedFence: number, askedAt: number, now: number
): void {
  if (answer.outcome === 'fenced') return raiseFence(state, ports, usedFence)
  if (answer.outcome === 'unreachable') {
    if (state.phase !== 'unfenced') forgetLife(state, ports, 'nothing listens at the upstream', now)
    return
  }
  if (answer.listing === undefined) {
    state.silentListings += 1
    if (state.silentListings === MAXIMUM_SILENT_LISTINGS) {
      ports.logger.warn('upstream does not answer', { listings: state.silentListings })
    }
    return endLapsed(state, ports, now)
  }
  state.silentListings = 0
  takeListing(state, ports, answer.listing, answer.clock ?? 0, askedAt, now)
  startWaiting(state, ports, now)
}

/** Ends all runs of an upstream whose lease has surely run out. */
function endLapsed (state: RunBookState, ports: RunRegistryPorts, now: number): void {
  if (state.silentListings < MAXIMUM_SILENT_LISTINGS || state.phase === 'unfenced') return
  if (now - state.renewedAt < RUN_LEASE_BOUND_MILLISECONDS + LEASE_MARGIN_MILLISECONDS) return
  forgetLife(state, ports, 'the run lease ended without an answer', now)
}
