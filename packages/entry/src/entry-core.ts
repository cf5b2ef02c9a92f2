/**
 * The decision logic of an entry: its components, and the routing of events to them. Events and the current time are
 * passed in; messages, log appends and answers leave through ports. It uses no clock, socket or timer, so the same code
 * runs in a process and in a seeded simulation.
 */
import { PARTITION_COUNT, type AgentIdentity, type EntryIdentity, type ProcessIdentity } from '@baobabpost/common'
import { createProblem, type CallRequest, type EntryHeartbeatAnswer, type LinkMessage } from '@baobabpost/messages'
import type { LogBatch, LogStatus, RegisterChange } from '@baobabpost/platform-log'
import type { RequestResult } from '@baobabpost/requests'
import { createAnswerRecorder } from './answer-recorder.js'
import type { EntryCoreOptions, EntryCoreSettings } from './entry-options.js'
import { createEntryComponents, requestPolicyOf, type EntryComponents } from './entry-components.js'
import { EVACUATED_RETRY_AFTER_MILLISECONDS } from './evacuations.js'
import { createMembershipHandler } from './membership-handler.js'
import { createMessageRouter } from './message-router.js'
import type { OperationRequest } from './operations.js'

/** Time within which a call must be answered if its caller names no deadline. */
const DEFAULT_CALL_DEADLINE_MILLISECONDS = 30_000
/** Registers on which it depends which agents placement uses. */
const AGENT_PROHIBITION = /^(drain|evacuation)\//
/** Maximum number of refresh records in one append. */
const MAXIMUM_REFRESH_RECORDS = 200

/** Lifecycle state of an entry. Callers should be routed to it only while it is `ready`. */
export type EntryState = 'starting' | 'ready' | 'stopping'

/** A single call as received from a caller. */
export interface CallOperationRequest {
  readonly request: CallRequest
  /** Called once with the result. */
  readonly answer: (result: RequestResult) => void
}

/** The decision logic of an entry. `now` is a Unix time in milliseconds. */
export interface EntryCore {
  readonly identity: EntryIdentity
  readonly settings: EntryCoreSettings
  readonly startedAt: number
  readonly components: EntryComponents
  start: (now: number) => void
  receive: (from: ProcessIdentity, message: LinkMessage, now: number) => void
  /** Handles a message that provably never reached the process that it was sent to. */
  handleUndelivered: (to: ProcessIdentity, message: LinkMessage, now: number) => void
  /** Applies the records of a successful read of the platform's log. */
  handleLogRead: (batch: LogBatch, now: number) => void
  beginOperation: (request: OperationRequest, now: number) => number
  abandonOperation: (id: number) => void
  /** Begins a single call and returns the identity by which it can be abandoned. */
  beginCall: (call: CallOperationRequest, now: number) => string
  abandonCall: (call: string, now: number) => void
  /** Handles the timers that are due. Must be called every 50 ms. */
  tick: (now: number) => void
  /** Ends a turn of the event loop: dispatches waiting tasks. Returns whether another turn should follow at once. */
  flush: (now: number) => boolean
  /** Begins a graceful shutdown. */
  stop: (now: number) => void
  /** Whether a graceful shutdown has no work left to wait for. */
  isReadyToLeave: () => boolean
  /** Last step of a graceful shutdown: publishes the open burn bucket and removes the entry's registration. */
  leave: (now: number) => void
  state: () => EntryState
  logStatus: () => LogStatus
  /** Number of usable agents that are registered as joined, so that tasks of submissions may go to them. */
  joinedAgentCount: () => number
  /** Number of owned partitions whose takeover is not finished. */
  collectingCount: () => number
}

export function createEntryCore (options: EntryCoreOptions): EntryCore {
  const { settings, logger, metrics } = options
  const { identity } = settings
  const components = createEntryComponents(options)
  const { projection, configuration, publisher, membership, ownership } = components
  const { outcomes, operations, queue, placement, calls, dispatcher, burn } = components
  const membershipHandler = createMembershipHandler({
    components, setPeer: options.setPeer, forgetPeer: options.forgetPeer, logger
  })
  const receive = createMessageRouter({ components, membershipHandler, handleHeartbeatAnswer, logger })
  const answerRecorder = createAnswerRecorder({ burn, configuration, metrics })
  let state: EntryState = 'starting'
  let callCount = 0
  let latestEventAt = options.startedAt
  let remainingHandovers = 0

  function applyChanges (changes: readonly RegisterChange[], now: number): void {
    configuration.registersChanged(changes, now)
    publisher.answerRefusedPublications()
    if (changes.length === 0) return
    components.quotas.applyChanges(changes)
    burn.applyChanges(changes)
    // Ownership comes first: membership events put an agent into use only if ownership knows it as joined.
    ownership.registersChanged(changes, projection.position(), now)
    membershipHandler.handleEvents(membership.registersChanged(changes, now), now)
    if (changes.some(change => change.register === `policy/${settings.policy}`)) applyPolicy()
    if (changes.some(({ register }) => AGENT_PROHIBITION.test(register))) placement.refreshAgents()
    logEvacuations(changes)
  }

  function logEvacuations (changes: readonly RegisterChange[]): void {
    const last = changes.findLast(({ register }) => register.startsWith('evacuation/'))
    if (last === undefined) return
    const domains = components.evacuations.evacuatedDomains().join(' ')
    logger.info('evacuations changed', { domains, position: last.version })
  }

  function applyPolicy (): void {
    components.requests.setPolicy(requestPolicyOf(configuration, settings.policy))
    placement.applyPolicy()
  }

  function handleHeartbeatAnswer (from: EntryIdentity, answer: EntryHeartbeatAnswer, now: number): void {
    // Newer registers are applied first: an answer from an entry that knows of a newer owner must not extend the lease.
    applyChanges(projection.adopt(answer), now)
    membershipHandler.handleEvents(membership.handleEntryHeartbeatAnswer(from, answer, now), now)
    const entry = membership.liveEntries().find(view => view.identity === from)
    if (entry?.answeredSentAt === undefined) return
    ownership.heartbeatAnswered(from, entry.answeredSentAt, answer.position, now)
  }

  function handleLogRead (batch: LogBatch, now: number): void {
    applyChanges(projection.apply(batch, now), now)
    if (!batch.hasReachedEnd) return
    if (state === 'starting') state = 'ready'
    ownership.logReadToEnd(batch.readStartedAt, now)
  }

  /** Whether no other entry is ready to take partitions over, and no unfinished submission would be lost. */
  function mayStopWithoutHandover (): boolean {
    const others = membership.liveEntries().filter(entry => entry.identity !== identity && entry.state === 'ready')
    return others.length === 0 && outcomes.counts().unfinished === 0
  }

  /**
   * Appends registers again before the log's retention drops them. This entry's rank among the live entries delays
   * its appends, so that it refreshes only what entries of lower rank did not.
   */
  function refreshRecords (now: number): void {
    const rank = membership.liveEntries().findIndex(entry => entry.identity === identity)
    if (rank === -1) return
    const dueRecords = projection.refreshesDue(now, MAXIMUM_REFRESH_RECORDS, rank)
    if (dueRecords.length > 0) options.append(dueRecords)
  }

  function expireWaiting (now: number): void {
    for (const task of queue.expire(now)) {
      if (calls.owns(task.submission)) calls.handleExpiry(task.submission, now)
      else outcomes.tasksExpired(task.submission, [task.index], now)
    }
  }

  function tick (now: number): void {
    latestEventAt = now
    membershipHandler.handleEvents(membership.tick(now), now)
    ownership.tick(now)
    outcomes.tick(now)
    operations.tick(now)
    calls.tick(now)
    publisher.tick(now)
    burn.tick(now)
    refreshRecords(now)
    expireWaiting(now)
    placement.tick(now)
    // If the log is down at the start, registers received from peers make this entry ready.
    if (state === 'starting' && projection.position() > 0) state = 'ready'
    if (state === 'stopping') remainingHandovers = ownership.stop(now).remainingPartitions
    updateGauges(now)
  }

  function updateGauges (now: number): void {
    metrics.gauge('queue.length.tasks', queue.length())
    metrics.gauge('agents.active.count', membership.usableAgents().length)
    metrics.gauge('agents.ejected.count', placement.ejectedCount())
    metrics.gauge('partitions.owned.count', ownership.ownedCount())
    metrics.gauge('configuration.version.offset', projection.position())
    const { end, behindSince } = options.logStatus()
    metrics.gauge('log.behind.records', Math.max(0, end - projection.position()))
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

  /** Begins an operation. Only answers to submit operations are counted; a query or cancellation would repeat one. */
  function beginOperation (operationRequest: OperationRequest, arrivedAt: number): number {
    const { operation, answer } = operationRequest
    if (operation.kind !== 'submit') return operations.begin(operationRequest, arrivedAt)
    const recordAndAnswer: OperationRequest['answer'] = result => {
      answerRecorder.recordJob({ request: operation.request, result, arrivedAt }, Math.max(arrivedAt, latestEventAt))
      answer(result)
    }
    return operations.begin({ ...operationRequest, answer: recordAndAnswer }, arrivedAt)
  }

  function beginCall (call: CallOperationRequest, now: number): string {
    callCount += 1
    const requestId = `${identity}/${callCount}`
    const resolution = configuration.resolveCall(call.request)
    if (resolution.kind === 'problem') {
      call.answer({ kind: 'problem', problem: resolution.problem })
      return requestId
    }
    const { service, customer, callType } = resolution.request
    if (components.evacuations.isServiceEvacuated(service)) {
      const problem = createProblem('not-run', `All failure domains with upstreams of ${service} are evacuated`, {
        reason: 'evacuated', retryAfterMilliseconds: EVACUATED_RETRY_AFTER_MILLISECONDS
      })
      call.answer({ kind: 'problem', problem })
      return requestId
    }
    calls.begin({
      requestId,
      resolved: resolution.request,
      input: call.request.input,
      idempotent: call.request.idempotent ?? callType === 'idempotent',
      answerBefore: now + (call.request.deadlineMilliseconds ?? DEFAULT_CALL_DEADLINE_MILLISECONDS),
      answer: (result, answeredAt, agent) => {
        answerRecorder.recordCall({ service, customer, result, arrivedAt: now, agent }, answeredAt)
        call.answer(result)
      }
    }, now)
    return requestId
  }

  return {
    identity,
    settings,
    startedAt: options.startedAt,
    components,
    start (now) { membershipHandler.handleEvents(membership.start(now), now) },
    receive (from, message, now) {
      latestEventAt = now
      receive(from, message, now)
    },
    handleUndelivered (to, message, now) {
      latestEventAt = now
      if (message.method === 'dispatch') dispatcher.handleUndelivered(to as AgentIdentity, message.parameters, now)
    },
    handleLogRead,
    beginOperation,
    abandonOperation: operations.abandon,
    beginCall,
    abandonCall: calls.abandon,
    tick,
    flush (now) {
      latestEventAt = now
      outcomes.flush(now)
      return dispatcher.dispatchWaiting(now)
    },
    stop (now) {
      if (state === 'stopping') return
      state = 'stopping'
      membershipHandler.handleEvents(membership.stop(now), now)
      remainingHandovers = ownership.stop(now).remainingPartitions
    },
    isReadyToLeave: () => state === 'stopping' && operations.pendingCount() === 0 && calls.pendingCount() === 0 &&
      (remainingHandovers === 0 || mayStopWithoutHandover()),
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
