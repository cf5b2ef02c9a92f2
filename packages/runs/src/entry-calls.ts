/** What entries ask of an agent: starts, stops, and what has changed. */
import {
  ENTRY_LEASE_MILLISECONDS, type CallingEntry, type UpstreamProfile, type UpstreamLoad, type RunOrder, type Start, type StartAnswer,
  type Stop, type StopAnswer, type Verdict, type Watch, type WatchAnswer
} from '@baobabpost/fleet-calls'
import {
  acknowledgeReports, addReport, createSession, isFromEarlierAgentClock, renewSession, type EntrySession
} from './entry-session.js'
import { isAccepting, startWaiting, stopRun } from './orders.js'
import { buryOrder, freeRoom, isBuried, type RunRegistryPorts, type RunBookState } from './run-registry-state.js'
import { MAXIMUM_WAITING_RUNS } from './run-limits.js'
import type { RunGroup, RunRecord } from './run-record.js'

/** Finds or makes the session of a caller, and renews its lease; a new incarnation ends what the old one asked for. */
export function openSession (state: RunBookState, ports: RunRegistryPorts, caller: CallingEntry, now: number): EntrySession {
  const known = state.sessions.get(caller.entry)
  if (known?.incarnation === caller.incarnation) {
    renewSession(known, caller, now)
    return known
  }
  const session = createSession(caller)
  state.sessions.set(caller.entry, session)
  ports.logger.info('entry found', { entry: caller.entry, incarnation: caller.incarnation })
  if (known !== undefined) stopRunsOf(state, ports, known, 'entry restarted', now)
  return session
}

/** Stops all runs of an entry. */
export function stopRunsOf (
  state: RunBookState, ports: RunRegistryPorts, session: EntrySession, reason: string, now: number
): void {
  for (const record of [...state.runs.values()]) {
    if (record.session === session) stopRun(state, ports, record, reason, now)
  }
}

/** Profile of the upstream as entries see it. */
export function describeProfile (state: RunBookState, now: number): UpstreamProfile {
  const { report } = state
  return {
    version: state.profileVersion,
    service: report?.service ?? '',
    failureDomain: report?.failureDomain ?? '',
    capacity: report?.capacity ?? { processor: 0, memory: 0, accelerators: 0 },
    labels: report?.labels ?? [],
    accepting: isAccepting(state, now)
  }
}

/** Processor that is expected to end free in a millisecond, from the expected times of what runs. */
function releaseRate (state: RunBookState): number {
  let rate = 0
  for (const { state: runState, order } of state.runs.values()) {
    if (runState === 'waiting') continue
    rate += order.size.processor / Math.max(1, order.estimateMilliseconds * state.observations.slowness())
  }
  return rate
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}

function describeRoom (state: RunBookState): UpstreamLoad {
  return {
    free: freeRoom(state),
    waiting: state.queue.waitingProcessor(),
    releaseRate: round(releaseRate(state)),
    slowness: round(state.observations.slowness()),
    failureShare: round(state.observations.failureShare())
  }
}

/** Head of each answer to an entry. */
function describe (state: RunBookState, profileVersion: number, now: number): StopAnswer {
  const head = {
    incarnation: state.incarnation, clock: now, cleared: state.cleared, room: describeRoom(state)
  }
  return profileVersion === state.profileVersion ? head : { ...head, profile: describeProfile(state, now) }
}

function judge (
  state: RunBookState,
  ports: RunRegistryPorts,
  start: Start,
  order: RunOrder,
  session: EntrySession,
  group: RunGroup,
  now: number
): Verdict {
  const known = state.runs.get(order.task)
  if (known !== undefined) {
    if (known.session === session && known.order.run === order.run) return 'accepted'
    if (known.session !== session) {
      known.superseded = true
      stopRun(state, ports, known, 'asked for by another entry', now)
    }
    return 'busy'
  }
  if (session.reports.some(report => report.task === order.task && report.run === order.run)) return 'accepted'
  if (isBuried(state, session, order.task, order.run)) return 'stopped'
  // An order counts by its own age: other calls may have renewed the lease while it was held up on its way.
  const { caller } = start
  if (now >= caller.heardAt + ENTRY_LEASE_MILLISECONDS || isFromEarlierAgentClock(caller, now)) return 'stale'
  if (!isAccepting(state, now)) return 'not-accepting'
  if (state.queue.inOrder().length >= MAXIMUM_WAITING_RUNS) return 'no-room'
  const record: RunRecord = {
    order,
    session,
    group,
    specification: start.specification,
    priority: start.priority,
    patientUntil: now + start.patienceMilliseconds,
    acceptedAt: now,
    state: 'waiting',
    upstreamRun: order.run,
    runNumberAttempts: 0,
    orderedAt: 0,
    confirmed: false,
    percent: 0,
    progressedAt: now,
    goneFrom: undefined,
    stopReason: '',
    superseded: false
  }
  group.open += 1
  state.runs.set(order.task, record)
  state.queue.add(record)
  return 'accepted'
}

/** Takes back the orders that may not wait and found no room, so that the entry can try elsewhere at once. */
function refuseWaiting (state: RunBookState, start: Start, verdicts: Verdict[]): void {
  for (const [position, { task }] of start.orders.entries()) {
    const record = state.runs.get(task)
    if (verdicts[position] !== 'accepted' || record?.state !== 'waiting') continue
    record.group.open -= 1
    state.runs.delete(task)
    state.queue.remove(record)
    verdicts[position] = 'no-room'
  }
}

/** Answers an entry that asks for starts. */
export function answerStart (state: RunBookState, ports: RunRegistryPorts, start: Start, now: number): StartAnswer {
  const session = openSession(state, ports, start.caller, now)
  const verdicts: Verdict[] = []
  const group: RunGroup = { open: 0 }
  for (const order of start.orders) verdicts.push(judge(state, ports, start, order, session, group, now))
  startWaiting(state, ports, now)
  if (start.patienceMilliseconds <= 0) refuseWaiting(state, start, verdicts)
  for (const [position, { task, run }] of start.orders.entries()) {
    if (verdicts[position] !== 'accepted') buryOrder(state, session, task, run, now)
  }
  return { ...describe(state, state.profileVersion, now), verdicts }
}

/** Keeps a run that is not known here from starting, should its order still be under way. */
function refuseLater (state: RunBookState, session: EntrySession, task: string, run: number, now: number): void {
  buryOrder(state, session, task, run, now)
  if (session.reports.some(report => report.task === task && report.run === run)) return
  addReport(session, { task, run, outcome: 'not-started', reason: 'its order had not arrived', milliseconds: 0 }, true)
}

/** Answers an entry that asks for stops. */
export function answerStop (state: RunBookState, ports: RunRegistryPorts, stop: Stop, now: number): StopAnswer {
  const session = openSession(state, ports, stop.caller, now)
  for (const { task, run } of stop.runs) {
    const record = state.runs.get(task)
    if (record !== undefined && record.session === session && record.order.run === run) {
      stopRun(state, ports, record, 'asked for by its entry', now)
    } else {
      refuseLater(state, session, task, run, now)
    }
  }
  return describe(state, state.profileVersion, now)
}

/** Answers an entry that asks for what has changed. Its session may be of a former life by now, and is left alone. */
export function answerWatch (state: RunBookState, session: EntrySession, watch: Watch, now: number): WatchAnswer {
  return { ...describe(state, watch.profileVersion, now), reports: session.reports }
}

/** Takes in a watch: renews the lease and forgets what is acknowledged. */
export function beginWatch (state: RunBookState, ports: RunRegistryPorts, watch: Watch, now: number): EntrySession {
  const session = openSession(state, ports, watch.caller, now)
  acknowledgeReports(session, watch.acknowledged)
  return session
}
