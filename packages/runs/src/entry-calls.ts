/** Handles the entries' calls to an agent: start, stop and watch. */
import {
  EMPTY_SIZE, KEPT_LEASES, type CallingEntry, type EvacuationState, type RunOrder,
  type Start, type StartAnswer, type Stop, type StopAnswer, type UpstreamLoad, type UpstreamProfile, type Verdict,
  type Watch, type WatchAnswer
} from '@baobabpost/fleet-calls'
import { acknowledgeReports, addReport, hasReport, tellConfirmed, type EntrySession } from './entry-session.js'
import { expectedStarts, type ExpectedEnd } from './expected-starts.js'
import { isForEarlierAgent, isOpen, leaseEnd, openSession, toldClock } from './open-session.js'
import { isAccepting, startWaitingRuns } from './orders.js'
import { stopRun } from './stop-orders.js'
import { logMismatch, mismatchOf, mismatchVerdict } from './suitability.js'
import { addTombstone, hasTombstone, type RunRegistryPorts, type RunRegistryState } from './run-registry-state.js'
import { addRun, freeCapacity, removeRun } from './registered-runs.js'
import { isKeptForLoneRun } from './lone-runs.js'
import { MAXIMUM_REPORTS_PER_ANSWER, MAXIMUM_WAITING_RUNS } from './run-limits.js'
import { adoptRunTimes, describeRunTimes, workOf } from './run-time-reports.js'
import { isOrdered, type RunGroup, type RunRecord } from './run-record.js'

/** Returns the given orders with times of the clock that answers carry. */
function toldOrders<Order extends { readonly until: number }> (
  state: RunRegistryState, orders: readonly Order[]
): Order[] {
  return orders.map(order => ({ ...order, until: order.until + state.suspendedMilliseconds }))
}

/** Returns the tasks with orders that may yet be carried out, at this upstream and at those of other agents. */
export function describeOpenOrders (
  state: RunRegistryState, now: number
): Pick<UpstreamProfile, 'openOrders' | 'keptOrders'> {
  const openOrders = toldOrders(state, state.openOrders.list(task => state.runs.has(task), now))
  const keptOrders = toldOrders(state, state.keptOrders.list(now))
  return {
    ...(openOrders.length === 0 ? {} : { openOrders }),
    ...(keptOrders.length === 0 ? {} : { keptOrders })
  }
}

/** Version of the profile that an entry has which knows none, or an outdated one. */
const UNKNOWN_PROFILE_VERSION = 0

/** Returns the upstream's profile for the entries. */
export function describeProfile (state: RunRegistryState, now: number): UpstreamProfile {
  const { heartbeat } = state.upstream
  const crashes = state.crashes.facts(now)
  return {
    version: state.profileVersion,
    service: heartbeat?.service ?? '',
    failureDomain: heartbeat?.failureDomain ?? '',
    capacity: heartbeat?.capacity ?? { processor: 0, memory: 0, accelerators: 0 },
    labels: heartbeat?.labels ?? [],
    accepting: isAccepting(state, now),
    leases: KEPT_LEASES,
    fence: Math.max(state.fencingToken, state.toldFence),
    ...(heartbeat?.instance.startedAt === undefined ? {} : { instance: heartbeat.instance.startedAt }),
    ...(crashes === undefined ? {} : { crashes }),
    ...describeOpenOrders(state, now)
  }
}

/** Returns the processor capacity expected to be released per millisecond, in thousandths of a core. */
function releaseRate (state: RunRegistryState): number {
  let rate = 0
  for (const { state: runState, order, work } of state.runs.values()) {
    if (runState === 'waiting') continue
    rate += order.size.processor / state.upstream.runTimes.expect(work)
  }
  return rate
}

function roundToThousandths (value: number): number {
  return Math.round(value * 1_000) / 1_000
}

function describeLoad (state: RunRegistryState, now: number): UpstreamLoad {
  return {
    free: isKeptForLoneRun(state) ? EMPTY_SIZE : freeCapacity(state, now),
    waiting: state.queue.waitingProcessor(),
    releaseRate: roundToThousandths(releaseRate(state)),
    slowness: roundToThousandths(state.upstream.observations.slowness()),
    failureShare: roundToThousandths(state.upstream.observations.failureShare()),
    ...describeRunTimes(state)
  }
}

/** Returns the evacuated failure domains if an entry knows less of them than the agent does. */
function newerEvacuations (state: RunRegistryState, { evacuations }: CallingEntry): { evacuations?: EvacuationState } {
  const known = state.evacuations.state()
  return known === undefined || known.position <= (evacuations?.position ?? -1) ? {} : { evacuations: known }
}

/** Returns the fields common to all answers to entries; the profile only if `profileVersion` is outdated. */
function describeAgent (
  state: RunRegistryState, session: EntrySession, caller: CallingEntry, profileVersion: number, now: number
): StopAnswer {
  const confirmed = tellConfirmed(session, toldClock(state, now))
  const agentState = {
    incarnation: state.incarnation,
    clock: toldClock(state, now),
    cleared: state.isCleared,
    room: describeLoad(state, now),
    ...(confirmed.length === 0 ? {} : { confirmed }),
    ...newerEvacuations(state, caller)
  }
  if (profileVersion === state.profileVersion) return agentState
  const routeFactors = Object.fromEntries(state.routeFactors)
  return { ...agentState, profile: { ...describeProfile(state, now), routeFactors } }
}

function admitOrder (
  state: RunRegistryState,
  ports: RunRegistryPorts,
  start: Start,
  order: RunOrder,
  session: EntrySession,
  group: RunGroup,
  now: number
): Verdict {
  if (!isOpen(state, session)) return 'stale'
  const known = state.runs.get(order.task)
  if (known !== undefined) {
    if (known.session === session && known.order.run === order.run) return 'accepted'
    if (known.session !== session) {
      known.isSuperseded = true
      stopRun(state, ports, known, 'asked for by another entry', now)
    }
    return 'busy'
  }
  if (hasReport(session, order.task, order.run)) return 'accepted'
  if (hasTombstone(state, session, order.task, order.run)) return 'stopped'
  // The order's own age counts, not the session's lease: other calls may have renewed that while the order was delayed.
  const { caller } = start
  if (now >= leaseEnd(state, caller) || isForEarlierAgent(state, caller, now)) return 'stale'
  if (!isAccepting(state, now)) return 'not-accepting'
  const { service } = start
  if (mismatchOf(state, { order, service }) !== undefined) return mismatchVerdict(service)
  if (state.queue.count() >= MAXIMUM_WAITING_RUNS) return 'no-room'
  const record: RunRecord = {
    order,
    work: workOf(start, order),
    session,
    group,
    specification: start.specification,
    service,
    priority: start.priority,
    waitDeadline: now + start.patienceMilliseconds,
    acceptedAt: now,
    state: 'waiting',
    upstreamRunNumber: order.run,
    runNumberAttempts: 0,
    lastRefusal: '',
    orderedAt: 0,
    orderedFence: 0,
    isConfirmed: false,
    percent: 0,
    lastProgressAt: now,
    absenceConclusiveFrom: undefined,
    stopReason: '',
    stopOrderedAt: 0,
    firstStopOrderedAt: 0,
    stopAttempts: 0,
    isStopDue: false,
    isSuperseded: false
  }
  group.openRunCount += 1
  addRun(state, record)
  return 'accepted'
}

/** Logs the orders of a start call that the upstream does not suit, in one line. Returns whether there are any. */
function logUnsuitableOrders (
  state: RunRegistryState, ports: RunRegistryPorts, start: Start, verdicts: readonly Verdict[], now: number
): boolean {
  const { caller, service } = start
  const refused = start.orders.filter((order, position) =>
    verdicts[position] === mismatchVerdict(service) && mismatchOf(state, { order, service }) !== undefined)
  const [order] = refused
  if (order === undefined) return false
  logMismatch(state, ports, { order, service }, {
    entry: caller.entry, tasks: refused.length, viewAge: Math.round(toldClock(state, now) - caller.heardAt)
  })
  return true
}

/** Refuses accepted orders that found no free capacity and may not wait, so that the entry can try another agent. */
function refuseWaitingOrders (state: RunRegistryState, start: Start, verdicts: Verdict[]): void {
  for (const [position, { task }] of start.orders.entries()) {
    const record = state.runs.get(task)
    if (verdicts[position] !== 'accepted' || record?.state !== 'waiting') continue
    record.group.openRunCount -= 1
    removeRun(state, record)
    verdicts[position] = 'no-room'
  }
}

/** Whether all runs of a start that wait are expected to start within their maximum wait. */
function areExpectedInTime (state: RunRegistryState, start: Start, now: number): boolean {
  const queue = state.queue.inOrder()
  const tasks = new Set(start.orders.map(({ task }) => task))
  if (!queue.some(({ order }) => tasks.has(order.task))) return true
  const slowness = state.upstream.observations.slowness()
  const ends: ExpectedEnd[] = []
  for (const { state: runState, order, orderedAt } of state.runs.values()) {
    if (runState === 'waiting') continue
    const startedAt = runState === 'reserved' ? now : orderedAt
    ends.push({ at: Math.max(now, startedAt + slowness * order.estimateMilliseconds), size: order.size })
  }
  const queued = queue.map(({ order }) => ({
    size: order.size, runMilliseconds: slowness * order.estimateMilliseconds
  }))
  const starts = expectedStarts(freeCapacity(state, now), ends, queued, now)
  for (const [position, { order, waitDeadline }] of queue.entries()) {
    if (tasks.has(order.task) && (starts[position] ?? now) > waitDeadline) return false
  }
  return true
}

/** Answers an entry's start call. */
export function answerStart (state: RunRegistryState, ports: RunRegistryPorts, start: Start, now: number): StartAnswer {
  const session = openSession(state, ports, start.caller, now)
  adoptRunTimes(state, ports, start)
  const verdicts: Verdict[] = []
  const group: RunGroup = { openRunCount: 0 }
  for (const order of start.orders) verdicts.push(admitOrder(state, ports, start, order, session, group, now))
  const isProfileOutdated = logUnsuitableOrders(state, ports, start, verdicts, now)
  if (start.isWhole === true && !areExpectedInTime(state, start, now)) refuseWaitingOrders(state, start, verdicts)
  startWaitingRuns(state, ports, now)
  if (start.patienceMilliseconds <= 0) refuseWaitingOrders(state, start, verdicts)
  for (const [position, { task, run }] of start.orders.entries()) {
    if (verdicts[position] !== 'accepted') addTombstone(state, session, task, run, now)
  }
  const profileVersion = isProfileOutdated ? UNKNOWN_PROFILE_VERSION : state.profileVersion
  return { ...describeAgent(state, session, start.caller, profileVersion, now), verdicts }
}

/** Prevents the start of a run whose order has not arrived, and reports it as not started. */
function refuseUnknownOrder (
  state: RunRegistryState, session: EntrySession, task: string, run: number, now: number
): void {
  addTombstone(state, session, task, run, now)
  if (hasReport(session, task, run)) return
  addReport(session, { task, run, outcome: 'not-started', reason: 'its order had not arrived', milliseconds: 0 }, true)
}

function stopRunsOf (
  state: RunRegistryState, ports: RunRegistryPorts, session: EntrySession, stop: Stop, now: number
): void {
  // Whether a run of an earlier incarnation is gone is told by `cleared`.
  const runs = isForEarlierAgent(state, stop.caller, now) ? [] : stop.runs
  for (const { task, run } of runs) {
    const record = state.runs.get(task)
    if (record !== undefined && record.session === session && record.order.run === run) {
      if (stop.isOnlyWaiting === true && isOrdered(record)) continue
      stopRun(state, ports, record, 'asked for by its entry', now)
    } else {
      refuseUnknownOrder(state, session, task, run, now)
    }
  }
}

/** Answers an entry's stop call. */
export function answerStop (state: RunRegistryState, ports: RunRegistryPorts, stop: Stop, now: number): StopAnswer {
  const session = openSession(state, ports, stop.caller, now)
  stopRunsOf(state, ports, session, stop, now)
  return describeAgent(state, session, stop.caller, state.profileVersion, now)
}

/**
 * Answers an entry's watch. The session may belong to an earlier incarnation of the entry, and is not changed. Reports
 * beyond the largest number follow with the next watch, which is answered at once.
 */
export function answerWatch (state: RunRegistryState, session: EntrySession, watch: Watch, now: number): WatchAnswer {
  const reports = session.reports.slice(0, MAXIMUM_REPORTS_PER_ANSWER)
  return { ...describeAgent(state, session, watch.caller, watch.profileVersion, now), reports }
}

/** Begins a watch: renews the entry's lease, drops acknowledged reports and stops the runs that it names. */
export function beginWatch (state: RunRegistryState, ports: RunRegistryPorts, watch: Watch, now: number): EntrySession {
  const session = openSession(state, ports, watch.caller, now)
  if (!isForEarlierAgent(state, watch.caller, now)) acknowledgeReports(session, watch.acknowledged)
  if (watch.stops !== undefined) stopRunsOf(state, ports, session, { caller: watch.caller, runs: watch.stops }, now)
  return session
}
