/** The agent's decisions about the runs at its upstream, without clock or network access. */
import type { EvacuationReadings } from '@baobabpost/common'
import type {
  CallingEntry, Start, StartAnswer, Stop, StopAnswer, TellCrashes, TellCrashesAnswer, TellEvacuations,
  TellEvacuationsAnswer, TellOpenOrders, TellOpenOrdersAnswer, Watch, WatchAnswer
} from '@baobabpost/fleet-calls'
import { answerStart, answerStop, answerWatch, beginWatch, describeOpenOrders, describeProfile } from './entry-calls.js'
import { hasUrgentReport, type EntrySession } from './entry-session.js'
import { applyEvacuations } from './evacuations.js'
import { handleDeparture, handleHeartbeat } from './heartbeats.js'
import { handleListAnswer } from './listings.js'
import { isOpen, leaseEnd, stopRunsOfEntry } from './open-session.js'
import { isAccepting, startWaitingRuns, handleStartAnswer } from './orders.js'
import { handleStopAnswer, repeatDueStops } from './stop-orders.js'
import { createRunRegistryState, type RunRegistryPorts } from './run-registry-state.js'
import {
  IDLE_LIST_WAIT_MILLISECONDS, LIST_WAIT_MILLISECONDS, MAXIMUM_UNANSWERED_LISTINGS, OPEN_ORDERS_INTERVAL_MILLISECONDS,
  OPEN_ORDERS_INTERVAL_PER_ENTRY_MILLISECONDS
} from './run-limits.js'
import { renewLease } from './run-lease.js'
import type { RunRecord } from './run-record.js'
import type { ListAnswer, ListOrder, OrderAnswer, UpstreamHeartbeat } from './upstream.js'

/** The runs at one upstream. All times are of the agent's steady clock, in milliseconds. */
export interface RunRegistry {
  answerStart: (start: Start, now: number) => StartAnswer
  answerStop: (stop: Stop, now: number) => StopAnswer
  /** Applies what an entry knows of evacuated failure domains, and returns what the agent knows. */
  answerEvacuations: (tell: TellEvacuations, now: number) => TellEvacuationsAnswer
  /** Keeps crashes of other upstreams that an entry tells. */
  answerCrashes: (tell: TellCrashes, now: number) => TellCrashesAnswer
  /** Keeps open orders of other agents that an entry tells. */
  answerOpenOrders: (tell: TellOpenOrders, now: number) => TellOpenOrdersAnswer
  beginWatch: (watch: Watch, now: number) => EntrySession
  /** Returns the end of the entry's lease that a call grants. */
  leaseEnd: (caller: CallingEntry) => number
  /** Whether the watch must be answered at once. */
  hasUpdates: (session: EntrySession, watch: Watch) => boolean
  answerWatch: (session: EntrySession, watch: Watch, now: number) => WatchAnswer
  handleStartAnswer: (record: RunRecord, answer: OrderAnswer, usedFencingToken: number, now: number) => void
  handleStopAnswer: (record: RunRecord, answer: OrderAnswer, usedFencingToken: number, now: number) => void
  /** Returns the next list order, and records that it renews the run lease if it does. */
  nextListOrder: (waitMilliseconds: number, now: number) => ListOrder
  handleListAnswer: (answer: ListAnswer, usedFencingToken: number, requestedAt: number, now: number) => void
  /** Returns whether the heartbeat may be acknowledged. */
  handleHeartbeat: (heartbeat: UpstreamHeartbeat, now: number) => boolean
  handleDeparture: (id: string, now: number) => void
  /** Applies expired entry leases and wait deadlines; called every few milliseconds. */
  tick: (now: number) => void
  /** Starts the graceful shutdown: refuses new and waiting runs. */
  stopAccepting: (now: number) => void
  /** Whether there are no runs, and no reports for an entry whose lease is valid. */
  isIdle: (now: number) => boolean
  /** Number of runs in any state, including the waiting ones. */
  runCount: () => number
  /** Share of the upstream's capacity that new runs may use, 0 to 1; below 1 while it is cold. */
  offeredShare: (now: number) => number
  /** What is known of evacuated failure domains; undefined while nothing is. */
  evacuationReadings: (now: number) => EvacuationReadings | undefined
  /** Time for which the next list order should wait for a completion. */
  listingWaitMilliseconds: () => number
}

export interface RunRegistryOptions extends RunRegistryPorts {
  /** Differs at each start of the agent. */
  readonly incarnation: string
  /** Initial fencing token. */
  readonly fencingToken: number
}

/**
 * Creates the run registry of an agent.
 *
 * @example
 * const registry = createRunRegistry({ incarnation, fencingToken: Date.now(), logger, ...ports })
 * registry.answerStart(start, performance.now())
 */
export function createRunRegistry (options: RunRegistryOptions): RunRegistry {
  const state = createRunRegistryState(options.incarnation, options.fencingToken)
  const ports: RunRegistryPorts = options

  /** What the profile that was described last depends on. */
  let describedHeartbeat: UpstreamHeartbeat | undefined
  let wasAccepting: boolean | undefined
  let describedCrashes = 0
  let describedFence = 0
  let describedOrders = new Set<string>()
  let openOrdersToldAt = 0

  /** Whether entries are to be told of further open orders now; those that have been told expire by themselves. */
  function takeNewOpenOrders (now: number): boolean {
    const { minimum, maximum } = OPEN_ORDERS_INTERVAL_MILLISECONDS
    const interval = state.sessions.size * OPEN_ORDERS_INTERVAL_PER_ENTRY_MILLISECONDS
    if (now - openOrdersToldAt < Math.min(maximum, Math.max(minimum, interval))) return false
    const { openOrders = [], keptOrders = [] } = describeOpenOrders(state, now)
    const described = new Set([...openOrders, ...keptOrders].map(order => JSON.stringify(order)))
    const hasNew = [...described].some(order => !describedOrders.has(order))
    describedOrders = described
    if (hasNew) openOrdersToldAt = now
    return hasNew
  }

  function refreshProfile (now: number): void {
    const isAcceptingNow = isAccepting(state, now)
    const fence = Math.max(state.fencingToken, state.toldFence)
    const crashRevision = state.crashes.revision()
    const isUnchanged = state.upstream.heartbeat === describedHeartbeat && isAcceptingNow === wasAccepting &&
      crashRevision === describedCrashes && fence === describedFence && !takeNewOpenOrders(now)
    if (isUnchanged) return
    describedCrashes = crashRevision
    describedFence = fence
    describedHeartbeat = state.upstream.heartbeat
    wasAccepting = isAcceptingNow
    const digest = JSON.stringify({ ...describeProfile(state, now), version: 0 })
    if (digest === state.profileDigest) return
    state.profileDigest = digest
    state.profileVersion += 1
    ports.wake()
  }

  function expireLeases (now: number): void {
    for (const session of state.sessions.values()) {
      if (now >= session.leaseUntil) stopRunsOfEntry(state, ports, session, 'entry lease ended', now)
    }
    for (const [key, until] of state.tombstones) {
      if (until > now) break
      state.tombstones.delete(key)
    }
    state.openOrders.expire(now)
    state.keptOrders.expire(now)
  }

  /** Tells entries of the larger share of its capacity that a cold upstream gets. */
  function followSlowStart (now: number): void {
    const progress = state.upstream.slowStart.takeProgress(now)
    if (progress === 'unchanged') return
    if (progress === 'warm') options.logger.info('upstream is warm', { upstream: state.upstream.instance?.id })
    ports.wake()
  }

  function listingWaitMilliseconds (): number {
    const { unansweredListings, refusedSince, phase } = state.upstream
    if (unansweredListings > 0 || refusedSince !== undefined || phase !== 'serving') return 0
    return state.runs.size > 0 ? LIST_WAIT_MILLISECONDS : IDLE_LIST_WAIT_MILLISECONDS
  }

  return {
    answerStart: (start, now) => answerStart(state, ports, start, now),
    answerStop: (stop, now) => answerStop(state, ports, stop, now),
    answerEvacuations: ({ evacuations }, now) => {
      applyEvacuations(state, ports, evacuations, 'tellEvacuations', now)
      refreshProfile(now)
      const known = state.evacuations.state()
      return known === undefined ? {} : { evacuations: known }
    },
    answerCrashes: ({ crashes }, now) => {
      for (const crash of crashes) state.crashes.recordTold(crash, now)
      return {}
    },
    answerOpenOrders: ({ orders }, now) => {
      state.keptOrders.add(orders, now)
      refreshProfile(now)
      return {}
    },
    leaseEnd: caller => leaseEnd(state, caller),
    beginWatch: (watch, now) => beginWatch(state, ports, watch, now),
    hasUpdates: (session, watch) =>
      hasUrgentReport(session) || watch.profileVersion !== state.profileVersion || !isOpen(state, session),
    answerWatch: (session, watch, now) => answerWatch(state, session, watch, now),
    handleStartAnswer: (record, answer, usedFencingToken, now) => {
      handleStartAnswer(state, ports, record, answer, usedFencingToken, now)
    },
    handleStopAnswer: (record, answer, usedFencingToken, now) => {
      handleStopAnswer(state, ports, record, answer, usedFencingToken, now)
    },
    nextListOrder: (waitMilliseconds, now) => {
      const isRenewing = state.upstream.phase === 'serving' && state.upstream.unansweredListings < MAXIMUM_UNANSWERED_LISTINGS
      if (!isRenewing) state.upstream.renewals.addOther(now)
      return {
        fencingToken: state.fencingToken,
        leaseUntil: isRenewing ? renewLease(state, now) : undefined,
        acknowledgedCompletion: state.upstream.lastCompletionNumber,
        waitMilliseconds,
        instance: state.upstream.instance
      }
    },
    handleListAnswer: (answer, usedFencingToken, requestedAt, now) => {
      handleListAnswer(state, ports, answer, usedFencingToken, requestedAt, now)
      refreshProfile(now)
    },
    handleHeartbeat: (heartbeat, now) => {
      const isTakenIn = handleHeartbeat(state, ports, heartbeat, now)
      refreshProfile(now)
      return isTakenIn
    },
    handleDeparture: (id, now) => {
      handleDeparture(state, ports, id, now)
      refreshProfile(now)
    },
    tick: now => {
      expireLeases(now)
      repeatDueStops(state, ports, now)
      followSlowStart(now)
      startWaitingRuns(state, ports, now)
      refreshProfile(now)
    },
    stopAccepting: now => {
      state.isShuttingDown = true
      startWaitingRuns(state, ports, now)
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
    evacuationReadings: now => {
      const known = state.evacuations.state()
      if (known === undefined) return undefined
      const { position, domains } = known
      return { domainCount: domains.length, position, ageMilliseconds: now - state.evacuationsConfirmedAt }
    },
    offeredShare: now => state.upstream.slowStart.share(now),
    listingWaitMilliseconds
  }
}
