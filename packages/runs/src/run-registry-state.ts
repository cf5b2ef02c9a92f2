/** State of an agent's run book, and the few changes of it that every part shares. */
import type { EventLogger } from '@baobabpost/common'
import { addSizes, EMPTY_SIZE, subtractSizes, type RunOutcome, type Size } from '@baobabpost/fleet-calls'
import { addReport, type EntrySession } from './entry-session.js'
import { createObservations, type Observations } from './observations.js'
import { createRunQueue, type RunQueue } from './run-queue.js'
import { isBooked, type RunRecord } from './run-record.js'
import { createUpstreamClock, type UpstreamClock } from './upstream-clock.js'
import { TOMBSTONE_MILLISECONDS } from './run-limits.js'
import type { StartOrder, StopOrder, UpstreamInstance, UpstreamHeartbeat } from './upstream.js'

/** What the run book has others do. */
export interface RunRegistryPorts {
  /** Sends an order to start; its answer comes back as `startAnswered`. */
  sendStart: (record: RunRecord, order: StartOrder) => void
  /** Sends an order to stop; its answer comes back as `stopAnswered`. */
  sendStop: (record: RunRecord, order: StopOrder) => void
  /** Sends an order to stop a run that is not in the book; nobody waits for its answer. */
  stopStranger: (order: StopOrder) => void
  /** Asks the upstream for a listing at once. */
  look: () => void
  /** Answers the waiting watch of an entry; of all entries without one. */
  wake: (session?: EntrySession) => void
  readonly logger: EventLogger
}

/**
 * How far the agent is with the present life of its upstream.
 *
 * - `unfenced`: orders of an earlier run of the agent may still be carried out;
 * - `clearing`: the fence holds, and what an earlier run of the agent started is being stopped;
 * - `serving`: everything that runs there is in the book.
 */
export type UpstreamPhase = 'unfenced' | 'clearing' | 'serving'

/** State of a run book. */
export interface RunBookState {
  readonly incarnation: string
  /** Runs by task name. */
  readonly runs: Map<string, RunRecord>
  readonly queue: RunQueue
  /** Newest session of each entry, by name. */
  readonly sessions: Map<string, EntrySession>
  readonly clock: UpstreamClock
  readonly observations: Observations
  /** Tasks and runs that must not start any more, with the agent time up to which this is remembered. */
  readonly tombstones: Map<string, number>
  booked: Size
  report: UpstreamHeartbeat | undefined
  life: UpstreamInstance | undefined
  phase: UpstreamPhase
  /** Whether the upstream served in this incarnation of the agent. */
  cleared: boolean
  fence: number
  /** Number of the last end that was taken in. */
  lastEnd: number
  /** Agent time of the last listing; 0 before. */
  listedAt: number
  /** Upstream's clock in that listing. */
  listedClock: number
  silentListings: number
  /** Agent time at which a lease was last asked for. */
  renewedAt: number
  departed: boolean
  /** Whether the agent is being stopped. */
  leaving: boolean
  profileVersion: number
  /** Digest of the profile that `profileVersion` stands for. */
  profileDigest: string
}

/**
 * Makes the state of an agent that has just started.
 *
 * @param fence - First fence; one that the upstream has seen a higher one than is raised later.
 */
export function createRunBookState (incarnation: string, fence: number): RunBookState {
  return {
    incarnation,
    runs: new Map(),
    queue: createRunQueue(),
    sessions: new Map(),
    clock: createUpstreamClock(),
    observations: createObservations(),
    tombstones: new Map(),
    booked: EMPTY_SIZE,
    report: undefined,
    life: undefined,
    phase: 'unfenced',
    cleared: false,
    fence,
    lastEnd: 0,
    listedAt: 0,
    listedClock: 0,
    silentListings: 0,
    renewedAt: 0,
    departed: false,
    leaving: false,
    profileVersion: 1,
    profileDigest: ''
  }
}

function tombstoneKey (session: EntrySession, task: string, run: number): string {
  return `${session.entry} ${session.incarnation} ${task} ${run}`
}

/** Keeps an entry's order from being taken again: a copy of it may still be under way. */
export function buryOrder (
  state: RunBookState, session: EntrySession, task: string, run: number, now: number
): void {
  const key = tombstoneKey(session, task, run)
  state.tombstones.delete(key)
  state.tombstones.set(key, now + TOMBSTONE_MILLISECONDS)
}

/** Whether an entry's order was refused, or has ended, before. */
export function isBuried (state: RunBookState, session: EntrySession, task: string, run: number): boolean {
  return state.tombstones.has(tombstoneKey(session, task, run))
}

/** What the upstream has left. */
export function freeRoom (state: RunBookState): Size {
  return subtractSizes(state.report?.capacity ?? EMPTY_SIZE, state.booked)
}

/** Books the room of a run that is about to be ordered. */
export function bookRun (state: RunBookState, record: RunRecord): void {
  state.queue.remove(record)
  record.state = 'ordered'
  state.booked = addSizes(state.booked, record.order.size)
}

/** Removes a run from the book and reports its end to its entry. */
export function endRun (
  state: RunBookState, ports: RunRegistryPorts, record: RunRecord, outcome: RunOutcome, reason: string, now: number
): void {
  if (state.runs.get(record.order.task) !== record) return
  state.runs.delete(record.order.task)
  if (isBooked(record)) state.booked = subtractSizes(state.booked, record.order.size)
  else state.queue.remove(record)
  buryOrder(state, record.session, record.order.task, record.order.run, now)
  const milliseconds = record.orderedAt === 0 ? 0 : now - record.orderedAt
  const told = record.superseded ? 'superseded' : outcome
  record.group.open -= 1
  // A job goes on when all its tasks here are done; any other end needs a decision at once.
  const pressing = told !== 'done' || record.group.open === 0
  addReport(
    record.session, { task: record.order.task, run: record.order.run, outcome: told, reason, milliseconds }, pressing)
  ports.logger.info('run ended', {
    task: record.order.task,
    run: record.order.run,
    entry: record.session.entry,
    outcome,
    reason,
    milliseconds: Math.round(milliseconds)
  })
  if (pressing) ports.wake(record.session)
}
