/**
 * The decisions of an entry: the slices, and which event goes to which of them. Events and the time go in; messages,
 * appends and answers go out through ports. No clock, socket or timer is used here, so the same code runs in a process
 * and in a seeded run.
 */
import { PARTITION_COUNT, type AgentIdentity, type EntryIdentity, type ProcessIdentity } from '@baobabpost/common'
import type { CallRequest, EntryHeartbeatAnswer, LinkMessage } from '@baobabpost/messages'
import type { LogBatch, LogStatus, RegisterChange } from '@baobabpost/platform-log'
import type { RequestResult } from '@baobabpost/requests'
import { createAnswerAccounts } from './answer-recorder.js'
import type { EntryCoreOptions, EntryCoreSettings } from './entry-options.js'
import { createEntrySlices, requestPolicyOf, type EntryComponents } from './entry-components.js'
import { createFleetFollower } from './membership-handler.js'
import { createMessageRouter } from './message-router.js'
import type { OperationRequest } from './operations.js'

/** Time that a call may take where its caller names no deadline. */
const DEFAULT_CALL_MILLISECONDS = 30_000
/** Most restatements of one append. */
const MAXIMUM_RESTATEMENTS = 200

/** Whether callers should be sent to an entry. */
export type EntryState = 'starting' | 'ready' | 'stopping'

/** A single call as it arrives. */
export interface CallOperationRequest {
  readonly request: CallRequest
  /** Called once with the result. */
  readonly answer: (result: RequestResult) => void
}

/** The decisions of an entry. `now` is a Unix time in milliseconds. */
export interface EntryCore {
  readonly identity: EntryIdentity
  readonly settings: EntryCoreSettings
  readonly startedAt: number
  readonly components: EntryComponents
  start: (now: number) => void
  receive: (from: ProcessIdentity, message: LinkMessage, now: number) => void
  /** A message provably never reached the process that it was sent to. */
  undelivered: (to: ProcessIdentity, message: LinkMessage, now: number) => void
  /** A read of the platform's log succeeded. */
  handleLogRead: (batch: LogBatch, now: number) => void
  beginOperation: (request: OperationRequest, now: number) => number
  abandonOperation: (id: number) => void
  /** Begins a single call and gives the identity by which it can be abandoned. */
  beginCall: (call: CallOperationRequest, now: number) => string
  abandonCall: (call: string, now: number) => void
  /** Does what time brings; to be called every 50 ms. */
  tick: (now: number) => void
  /** Ends a turn of the loop: dispatches what can go. Gives whether another turn should follow at once. */
  flush: (now: number) => boolean
  /** Begins a planned stop. */
  stop: (now: number) => void
  /** Whether a planned stop has nothing left to wait for. */
  isReadyToLeave: () => boolean
  /** Last act of a planned stop. */
  leave: (now: number) => void
  state: () => EntryState
  logStatus: () => LogStatus
  /** Usable agents that keyed work may go to. */
  joinedAgentCount: () => number
  /** Partitions of this entry whose takeover is not finished. */
  collectingCount: () => number
}

/** Makes the decisions of an entry. */
export function createEntryCore (options: EntryCoreOptions): EntryCore {
  const { settings, logger, metrics } = options
  const { identity } = settings
  const slices = createEntrySlices(options)
  const { projection: fold, configuration, publisher, membership, ownership } = slices
  const { outcomes, operations, queue, placement, calls, dispatcher, burn } = slices
  const fleet = createFleetFollower({ slices, setPeer: options.setPeer, forgetPeer: options.forgetPeer, logger })
  const receive = createMessageRouter({ slices, fleet, receiveHeartbeatAnswer, logger })
  const accounts = createAnswerAccounts({ burn, configuration, metrics })
  let state: EntryState = 'starting'
  let callCount = 0
  /** Time of the latest event. */
  let latest = options.startedAt
  let handoverRemaining = 0

  function applyChanges (changes: readonly RegisterChange[], now: number): void {
    configuration.registersChanged(changes, now)
    publisher.answerRefusedPublications()
    if (changes.length === 0) return
    slices.quotas.changed(changes)
    burn.changed(changes)
    // Ownership first: whether an agent is joined decides whether membership's events take it into use.
    ownership.registersChanged(changes, fold.position(), now)
    fleet.follow(membership.registersChanged(changes, now), now)
    if (changes.some(change => change.register === `policy/${settings.policy}`)) followPolicy()
    if (changes.some(change => change.register.startsWith('drain/'))) placement.followDrains()
  }

  function followPolicy (): void {
    slices.requests.setPolicy(requestPolicyOf(configuration, settings.policy))
    placement.followPolicy()
  }

  function receiveHeartbeatAnswer (from: EntryIdentity, answer: EntryHeartbeatAnswer, now: number): void {
    // Newer registers first: an answer from an entry that knows of a newer owner must not extend the lease.
    applyChanges(fold.adopt(answer), now)
    fleet.follow(membership.handleEntryHeartbeatAnswer(from, answer, now), now)
    const entry = membership.liveEntries().find(view => view.identity === from)
    if (entry?.answeredSentAt === undefined) return
    ownership.heartbeatAnswered(from, entry.answeredSentAt, answer.position, now)
  }

  function handleLogRead (batch: LogBatch, now: number): void {
    applyChanges(fold.apply(batch, now), now)
    if (!batch.hasReachedEnd) return
    if (state === 'starting') state = 'ready'
    ownership.logReadToEnd(batch.readStartedAt, now)
  }

  /** Whether nobody is left to hand partitions to, and nothing unfinished would be lost. */
  function isLastOfFleet (): boolean {
    const others = membership.liveEntries().filter(entry => entry.identity !== identity && entry.state === 'ready')
    return others.length === 0 && outcomes.counts().unfinished === 0
  }

  /** Repeats what the log would soon drop; the entry that is first by name goes first. */
  function restate (now: number): void {
    const rank = membership.liveEntries().findIndex(entry => entry.identity === identity)
    if (rank === -1) return
    const due = fold.refreshesDue(now, MAXIMUM_RESTATEMENTS, rank)
    if (due.length > 0) options.append(due)
  }

  function expireWaiting (now: number): void {
    for (const task of queue.expire(now)) {
      if (calls.owns(task.submission)) calls.expired(task.submission, now)
      else outcomes.tasksExpired(task.submission, [task.index], now)
    }
  }

  function tick (now: number): void {
    latest = now
    fleet.follow(membership.tick(now), now)
    ownership.tick(now)
    outcomes.tick(now)
    operations.tick(now)
    calls.tick(now)
    publisher.tick(now)
    burn.tick(now)
    restate(now)
    expireWaiting(now)
    placement.tick(now)
    // A log that is down at the start: what peers know makes this entry ready.
    if (state === 'starting' && fold.position() > 0) state = 'ready'
    if (state === 'stopping') handoverRemaining = ownership.stop(now).remainingPartitions
    measure(now)
  }

  function measure (now: number): void {
    metrics.gauge('queue.length.tasks', queue.length())
    metrics.gauge('agents.active.count', membership.usableAgents().length)
    metrics.gauge('agents.ejected.count', placement.ejectedCount())
    metrics.gauge('partitions.owned.count', ownership.ownedCount())
    metrics.gauge('configuration.version.offset', fold.position())
    const { end, behindSince } = options.logStatus()
    metrics.gauge('log.behind.records', Math.max(0, end - fold.position()))
    metrics.gauge('log.outage.milliseconds', behindSince === undefined ? 0 : Math.max(0, now - behindSince))
  }

  function collectingCount (): number {
    let count = 0
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      const partitionState = ownership.partitionState(partition)
      if (partitionState.kind === 'ours' && partitionState.phase === 'collecting') count += 1
    }
    return count
  }

  /** Counts the answer of a submitted job; queries and cancellations ask about work that is counted already. */
  function beginOperation (given: OperationRequest, arrivedAt: number): number {
    const { operation, answer } = given
    if (operation.kind !== 'submit') return operations.begin(given, arrivedAt)
    const answerCounted: OperationRequest['answer'] = result => {
      accounts.job({ request: operation.request, result, arrivedAt }, Math.max(arrivedAt, latest))
      answer(result)
    }
    return operations.begin({ ...given, answer: answerCounted }, arrivedAt)
  }

  function beginCall (call: CallOperationRequest, now: number): string {
    callCount += 1
    const request = `${identity}/${callCount}`
    const resolution = configuration.resolveCall(call.request)
    if (resolution.kind === 'problem') {
      call.answer({ kind: 'problem', problem: resolution.problem })
      return request
    }
    const { service, customer, callType } = resolution.request
    calls.begin({
      request,
      resolved: resolution.request,
      input: call.request.input,
      idempotent: call.request.idempotent ?? callType === 'idempotent',
      answerBefore: now + (call.request.deadlineMilliseconds ?? DEFAULT_CALL_MILLISECONDS),
      answer: (result, answeredAt, agent) => {
        accounts.call({ service, customer, result, arrivedAt: now, agent }, answeredAt)
        call.answer(result)
      }
    }, now)
    return request
  }

  return {
    identity,
    settings,
    startedAt: options.startedAt,
    components: slices,
    start (now) { fleet.follow(membership.start(now), now) },
    receive (from, message, now) {
      latest = now
      receive(from, message, now)
    },
    undelivered (to, message, now) {
      latest = now
      if (message.method === 'dispatch') dispatcher.undelivered(to as AgentIdentity, message.parameters, now)
    },
    handleLogRead: handleLogRead,
    beginOperation,
    abandonOperation: operations.abandon,
    beginCall,
    abandonCall: calls.abandon,
    tick,
    flush (now) {
      latest = now
      outcomes.flush(now)
      return dispatcher.pump(now)
    },
    stop (now) {
      if (state === 'stopping') return
      state = 'stopping'
      fleet.follow(membership.stop(now), now)
      handoverRemaining = ownership.stop(now).remainingPartitions
    },
    isReadyToLeave: () => state === 'stopping' && operations.pending() === 0 && calls.pending() === 0 &&
      (handoverRemaining === 0 || isLastOfFleet()),
    leave (now) {
      burn.close(now)
      membership.leave(now)
    },
    state: () => state,
    logStatus: options.logStatus,
    joinedAgentCount: () => membership.usableAgents().filter(agent => ownership.isJoined(agent.identity)).length,
    collectingCount
  }
}
