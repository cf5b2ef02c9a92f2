/** The agent's decisions about the runs at its upstream; reads no clock and opens no socket. */
import type { Start, StartAnswer, Stop, StopAnswer, Watch, WatchAnswer } from '@baobabpost/fleet-calls'
import { answerStart, answerStop, answerWatch, beginWatch, describeProfile, stopRunsOf } from './entry-calls.js'
import { hasUrgentReport, type EntrySession } from './entry-session.js'
import { takeDeparture, takeReport } from './heartbeats.js'
import { takeListAnswer } from './listings.js'
import { leaseUntil, startWaiting, takeStartAnswer, takeStopAnswer } from './orders.js'
import { createRunBookState, type RunRegistryPorts } from './run-registry-state.js'
import { IDLE_LIST_WAIT_MILLISECONDS, LIST_WAIT_MILLISECONDS, MAXIMUM_SILENT_LISTINGS } from './run-limits.js'
import type { RunRecord } from './run-record.js'
import type { ListAnswer, ListOrder, OrderAnswer, UpstreamHeartbeat } from './upstream.js'

/** An agent's decisions. All times are of the agent's steady clock, in milliseconds. */
export interface RunRegistry {
  answerStart: (start: Start, now: number) => StartAnswer
  answerStop: (stop: Stop, now: number) => StopAnswer
  beginWatch: (watch: Watch, now: number) => EntrySession
  /** Whether there is something to tell the entry at once. */
  hasNews: (session: EntrySession, watch: Watch) => boolean
  answerWatch: (session: EntrySession, watch: Watch, now: number) => WatchAnswer
  startAnswered: (record: RunRecord, answer: OrderAnswer, usedFence: number, now: number) => void
  stopAnswered: (record: RunRecord, answer: OrderAnswer, usedFence: number, now: number) => void
  /** The next order to list; notes that the lease is asked for. */
  nextListing: (waitMilliseconds: number, now: number) => ListOrder
  listAnswered: (answer: ListAnswer, usedFence: number, askedAt: number, now: number) => void
  reportArrived: (report: UpstreamHeartbeat, now: number) => void
  departed: (id: string, now: number) => void
  /** Ends leases and waits that have run out; called every few milliseconds. */
  tick: (now: number) => void
  /** Accepts nothing new from now on. */
  leave: (now: number) => void
  /** Whether nothing runs or waits here, and no report waits for its entry. */
  isIdle: (now: number) => boolean
  /** Runs that run, wait, or may yet start. */
  runCount: () => number
  /** Time for which the next listing should wait for an end, in milliseconds. */
  listingWait: () => number
}

/** What a run book is made from. */
export interface RunRegistryOptions extends RunRegistryPorts {
  /** New at each start of the agent. */
  readonly incarnation: string
  /** First fence. */
  readonly fence: number
}

/**
 * Makes an agent's run book.
 *
 * @example
 * const book = createRunBook({ incarnation, fence: Date.now(), sendStart, sendStop, stopStranger, look, wake, logger })
 * book.answerStart(start, performance.now())
 */
export function createRunRegistry (options: RunRegistryOptions): RunRegistry {
  const state = createRunBookState(options.incarnation, options.fence)
  const ports: RunRegistryPorts = options

  /** Notes that the upstream's clock jumped ahead: the VM was suspended, and so were the entries' leases. */
  function noteClock (clock: number | undefined, now: number): void {
    if (clock === undefined) return
    const suspended = state.clock.read(clock, now)
    if (suspended === 0) return
    ports.logger.warn('this VM was suspended', { milliseconds: Math.round(suspended) })
    for (const session of state.sessions.values()) session.leaseUntil -= suspended
  }

  function refreshProfile (now: number): void {
    const digest = JSON.stringify({ ...describeProfile(state, now), version: 0 })
    if (digest === state.profileDigest) return
    state.profileDigest = digest
    state.profileVersion += 1
    ports.wake()
  }

  function endLeases (now: number): void {
    for (const session of state.sessions.values()) {
      if (now >= session.leaseUntil) stopRunsOf(state, ports, session, 'entry lease ended', now)
    }
    for (const [key, until] of state.tombstones) {
      if (until > now) break
      state.tombstones.delete(key)
    }
  }

  function listingWait (): number {
    if (state.silentListings > 0 || state.phase !== 'serving') return 0
    return state.runs.size > 0 ? LIST_WAIT_MILLISECONDS : IDLE_LIST_WAIT_MILLISECONDS
  }

  return {
    answerStart: (start, now) => answerStart(state, ports, start, now),
    answerStop: (stop, now) => answerStop(state, ports, stop, now),
    beginWatch: (watch, now) => beginWatch(state, ports, watch, now),
    hasNews: (session, watch) => hasUrgentReport(session) || watch.profileVersion !== state.profileVersion,
    answerWatch: (session, watch, now) => answerWatch(state, session, watch, now),
    startAnswered: (record, answer, usedFence, now) => {
      noteClock(answer.clock, now)
      takeStartAnswer(state, ports, record, answer, usedFence, now)
    },
    stopAnswered: (record, answer, usedFence, now) => {
      noteClock(answer.clock, now)
      takeStopAnswer(state, ports, record, answer, usedFence, now)
    },
    nextListing: (waitMilliseconds, now) => {
      const renews = state.phase === 'serving' && state.silentListings < MAXIMUM_SILENT_LISTINGS
      if (renews) state.renewedAt = now
      return {
        fencingToken: state.fence,
        leaseUntil: renews ? leaseUntil(state, now) : undefined,
        acknowledgedCompletion: state.lastEnd,
        waitMilliseconds,
        instance: state.life
      }
    },
    listAnswered: (answer, usedFence, askedAt, now) => {
      noteClock(answer.clock, now)
      takeListAnswer(state, ports, answer, usedFence, askedAt, now)
      refreshProfile(now)
    },
    reportArrived: (report, now) => {
      takeReport(state, ports, report, now)
      refreshProfile(now)
    },
    departed: (id, now) => {
      takeDeparture(state, ports, id, now)
      refreshProfile(now)
    },
    tick: now => {
      endLeases(now)
      startWaiting(state, ports, now)
      refreshProfile(now)
    },
    leave: now => {
      state.leaving = true
      startWaiting(state, ports, now)
      refreshProfile(now)
    },
    isIdle: now => {
      if (state.runs.size > 0) return false
      for (const session of state.sessions.values()) {
        if (session.reports.length > 0 && now < session.leaseUntil) return false
      }
      return true
    },
    runCount: () => state.runs.size,
    listingWait
  }
}
