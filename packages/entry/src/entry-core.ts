/**
 * The decisions of an entry: the slices wired together. Events and the time go in; messages, appends and answers go
 * out through ports. No clock, socket or timer is used here, so the same code runs in a process and in a seeded run.
 */
import { createAdmissionQueue } from '@baobabpost/admission'
import {
  PARTITION_COUNT, type AgentIdentity, type EntryIdentity, type Invariants, type Logger, type Metrics,
  type ProcessIdentity, type Random
} from '@baobabpost/common'
import { createConfiguration, createPublisher, type Configuration, type Publisher } from '@baobabpost/configuration'
import { createMembership, type AgentView, type Membership, type MembershipEvent } from '@baobabpost/membership'
import type { CallRequest, LinkMessage, LogRecord, Outbox, QueueLength } from '@baobabpost/messages'
import { createOutcomes, type Outcomes } from '@baobabpost/outcomes'
import { createOwnership, type Ownership, type PartitionState } from '@baobabpost/ownership'
import { createPlacement, type Placement } from '@baobabpost/placement'
import {
  createRegisterFold, type LogBatch, type LogStanding, type RegisterChange, type RegisterFold
} from '@baobabpost/platform-log'
import { createRequests, type RequestPolicy, type RequestResult } from '@baobabpost/requests'
import { createBurnAccounts, type BurnAccounts } from './burn-accounts.js'
import { createCalls, type Calls } from './calls.js'
import { createDispatcher, type Dispatcher } from './dispatcher.js'
import { isDrained } from './drains.js'
import { explainSubmission } from './explanation.js'
import { createJobQueue } from './job-queue.js'
import { createOperations, type OperationRequest, type Operations } from './operations.js'
import { createQuotas } from './quotas.js'

/** Time for which a call may take where its caller names no deadline. */
const DEFAULT_CALL_MILLISECONDS = 30_000
/** Most restatements of one append. */
const MAXIMUM_RESTATEMENTS = 200

/** Whether callers should be sent to an entry. */
export type EntryState = 'starting' | 'ready' | 'stopping'

/** Settings of the decisions of an entry. Times are milliseconds. */
export interface EntryCoreSettings {
  readonly identity: EntryIdentity
  /** Address of the link. */
  readonly address: string
  readonly failureDomain: string
  /** Name of the policy that applies. */
  readonly policy: string
  readonly keyWindowMilliseconds: number
  readonly clockSkewMilliseconds: number
  readonly logRetentionMilliseconds: number
  readonly maximumQueuedTasks: number
}

/** What the decisions of an entry need. */
export interface EntryCoreOptions {
  readonly settings: EntryCoreSettings
  readonly startedAt: number
  readonly send: Outbox['send']
  /** Appends a record and gives its nonce, by which its author finds it on the log. */
  readonly append: (changes: LogRecord['changes']) => string
  readonly logStanding: () => LogStanding
  /** Sends to the link addresses of the settings, whose identities aren't known. */
  readonly sendToSeeds: (message: LinkMessage) => void
  /** Names the address at which a process is reached. */
  readonly setPeer: (identity: ProcessIdentity, address: string) => void
  /** A process is gone for good. */
  readonly forgetPeer: (identity: ProcessIdentity) => void
  readonly random: Random
  readonly invariants: Invariants
  readonly logger: Logger
  readonly metrics: Metrics
}

/** A single call as it arrives. */
export interface CallOperationRequest {
  readonly request: CallRequest
  /** Called once with the result. */
  readonly answer: (result: RequestResult) => void
}

/** The slices, for pages that show them. */
export interface EntrySlices {
  readonly fold: RegisterFold
  readonly configuration: Configuration
  readonly publisher: Publisher
  readonly membership: Membership
  readonly ownership: Ownership
  readonly outcomes: Outcomes
  readonly operations: Operations
  readonly calls: Calls
  readonly dispatcher: Dispatcher
  readonly burn: BurnAccounts
  readonly placement: () => Placement
}

/** The decisions of an entry. `now` is a Unix time in milliseconds. */
export interface EntryCore {
  readonly identity: EntryIdentity
  start: (now: number) => void
  receive: (from: ProcessIdentity, message: LinkMessage, now: number) => void
  /** A read of the platform's log succeeded. */
  logRead: (batch: LogBatch, now: number) => void
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
  drained: () => boolean
  /** Last act of a planned stop. */
  leave: (now: number) => void
  state: () => EntryState
  readonly settings: EntryCoreSettings
  readonly startedAt: number
  readonly slices: EntrySlices
  logStanding: () => LogStanding
  /** Why the agent is ejected, or undefined where it isn't. */
  ejection: (agent: AgentIdentity) => string | undefined
  isDrained: (agent: AgentIdentity) => boolean
  /** Usable agents that keyed work may go to. */
  joinedAgentCount: () => number
  /** Partitions of this entry whose takeover is not finished. */
  collectingCount: () => number
  queueLengths: () => readonly QueueLength[]
}

/** Makes the decisions of an entry. */
export function createEntryCore (options: EntryCoreOptions): EntryCore {
  const { settings, invariants, logger, metrics, random } = options
  const { identity } = settings
  const outbox: Outbox = { send: options.send, append: changes => { options.append(changes) } }
  const ejections = new Map<AgentIdentity, string>()
  let state: EntryState = 'starting'
  let lastLogEnd = false
  let callCount = 0
  let handoverRemaining = 0
  /** Time of the read of the log that is being applied. */
  let batchTime = options.startedAt

  const fold = createRegisterFold({
    retentionMilliseconds: settings.logRetentionMilliseconds,
    invariants,
    onOutcomes: outcomesOfWrites => { publisher.settled(outcomesOfWrites, batchTime) },
    onBadRecord: bad => {
      metrics.count('configuration.bad-record.count')
      logger.error('log record skipped', { offset: bad.offset, register: bad.register, reason: bad.fault })
    }
  })
  const configuration = createConfiguration({ fold })
  const publisher = createPublisher({ fold, append: options.append })
  const membership = createMembership({
    identity,
    address: settings.address,
    failureDomain: settings.failureDomain,
    keyWindowMilliseconds: settings.keyWindowMilliseconds,
    fold,
    outbox,
    sendToSeeds: options.sendToSeeds,
    random,
    logger
  })
  const queue = createAdmissionQueue({ maximumQueuedTasks: settings.maximumQueuedTasks })
  let placement = createPlacement(configuration.policy(settings.policy).placement, {
    failureDomain: settings.failureDomain, random, prefetchTasks: configuration.policy(settings.policy).prefetchTasks
  })
  const quotas = createQuotas({ fold, queue })
  const requests = createRequests({ random, ...requestPolicy() })
  const calls = createCalls({
    requests, queue, outbox, expectedMilliseconds: template => placement.expectedMilliseconds(template)
  })
  const jobQueue = createJobQueue({
    configuration, queue, expectedMilliseconds: template => placement.expectedMilliseconds(template)
  })

  const outcomes: Outcomes = createOutcomes({
    ports: {
      partitionState: partition => ownership.partitionState(partition),
      resolve: jobQueue.resolve,
      offer: jobQueue.offer,
      restore: jobQueue.restore,
      removeWaiting: (submission, indexes) => { queue.withdraw(submission, indexes) },
      withdraw: (agent, selections) => { outbox.send(agent, { method: 'withdraw', parameters: { selections } }) },
      resend: (agent, submission, indexes, now) => { dispatcher.resend(agent, submission, indexes, now) },
      answer: (waiter, result) => { operations.answered(waiter, result) },
      reroute: (waiters, _submission, now) => { operations.rerouted(waiters, now) }
    },
    invariants,
    keyWindowMilliseconds: settings.keyWindowMilliseconds,
    clockSkewMilliseconds: settings.clockSkewMilliseconds
  })
  const ownership: Ownership = createOwnership({
    identity,
    ports: {
      outbox,
      partitionChanged,
      recordsCollected: outcomes.recordsCollected,
      exportPartition: outcomes.exportPartition,
      importPartition: outcomes.importPartition
    },
    invariants,
    startedAt: options.startedAt,
    keyWindowMilliseconds: settings.keyWindowMilliseconds,
    clockSkewMilliseconds: settings.clockSkewMilliseconds
  })
  const operations = createOperations({
    identity,
    outbox,
    partitionState: partition => ownership.partitionState(partition),
    outcomes,
    explain: (submission, customer) => explainSubmission(outcomes, identity, submission, customer)
  })
  const burn = createBurnAccounts({
    identity,
    startedAt: options.startedAt,
    fold,
    outbox,
    objectives: configuration.objectives,
    presentEntries: () => membership.liveEntries().map(entry => entry.identity)
  })
  const dispatcher = createDispatcher({
    queue, placement: () => placement, ownership, outcomes, calls, outbox
  })

  function requestPolicy (): RequestPolicy {
    const { retryShare, hedge } = configuration.policy(settings.policy)
    return { retryShare, hedge }
  }

  function partitionChanged (partition: number, next: PartitionState, now: number): void {
    outcomes.partitionChanged(partition, next, now)
    if (next.kind !== 'ours') dispatcher.partitionLost(partition, now)
  }

  function applyChanges (changes: readonly RegisterChange[], now: number): void {
    if (changes.length === 0) return
    configuration.changed(changes, now)
    publisher.changed(changes, now)
    quotas.changed(changes)
    burn.changed(changes)
    follow(membership.changed(changes, now), now)
    ownership.registersChanged(changes, fold.position(), now)
    if (changes.some(change => change.register === `policy/${settings.policy}`)) followPolicy()
    if (changes.some(change => change.register.startsWith('drain/'))) followDrains()
  }

  /** Takes a new implementation of placement into use; windows and agents come with the next announcements. */
  function followPolicy (): void {
    const policy = configuration.policy(settings.policy)
    requests.setPolicy(requestPolicy())
    if (policy.placement === placement.name) return
    logger.info('placement changed', { placement: policy.placement })
    placement = createPlacement(policy.placement, {
      failureDomain: settings.failureDomain, random, prefetchTasks: policy.prefetchTasks
    })
    for (const agent of membership.usableAgents()) useAgent(agent)
  }

  function followDrains (): void {
    for (const agent of membership.usableAgents()) useAgent(agent)
  }

  function useAgent (agent: AgentView): void {
    const { identity: agentIdentity, service, failureDomain, slots, window } = agent
    if (isDrained(fold, agentIdentity) || !ownership.isJoined(agentIdentity)) {
      placement.removeAgent(agentIdentity)
      return
    }
    placement.setAgent({ identity: agentIdentity, service, failureDomain, slots })
    placement.setWindow(agentIdentity, window)
  }

  function follow (events: readonly MembershipEvent[], now: number): void {
    for (const event of events) followEvent(event, now)
  }

  function followEvent (event: MembershipEvent, now: number): void {
    switch (event.kind) {
      case 'agent-usable':
        options.setPeer(event.agent.identity, event.agent.address)
        if (event.joined) useAgent(event.agent)
        return
      case 'agent-suspected':
        logger.warn('agent suspected', { agent: event.agent })
        placement.removeAgent(event.agent)
        return
      case 'agent-leaving':
        logger.info('agent leaving', { agent: event.agent })
        placement.removeAgent(event.agent)
        return
      case 'agent-departed':
        logger.warn('agent departed', { agent: event.agent, clean: event.clean })
        placement.removeAgent(event.agent)
        dispatcher.agentDeparted(event.agent, now)
        calls.agentDeparted(event.agent, now)
        outcomes.agentDeparted(event.agent, now)
        options.forgetPeer(event.agent)
        return
      case 'entries-changed':
        for (const entry of event.entries) options.setPeer(entry.identity, entry.address)
        ownership.setLiveEntries(
          event.entries.filter(entry => entry.state === 'ready').map(entry => entry.identity), now)

      case 'majority-heard':
    }
  }

  function receive (from: ProcessIdentity, message: LinkMessage, now: number): void {
    switch (message.method) {
      case 'report':
        dispatcher.report(from as AgentIdentity, message.parameters, now)
        return
      case 'collected':
        ownership.collected(from as AgentIdentity, message.parameters, now)
        return
      case 'announce':
        follow(membership.announce(message.parameters, now), now)
        return
      case 'entryHeartbeat':
        ownership.peerPosition(from as EntryIdentity, message.parameters.position, now)
        follow(membership.entryHeartbeat(message.parameters, now), now)
        return
      case 'entryHeartbeatAnswer':
        receiveHeartbeatAnswer(from as EntryIdentity, message, now)
        return
      case 'forward':
        operations.forward(from as EntryIdentity, message.parameters, now)
        return
      case 'forwarded':
        operations.forwarded(message.parameters, now)
        return
      case 'handover':
        ownership.handover(from as EntryIdentity, message.parameters, now)
        return
      case 'handoverTaken':
        ownership.handoverTaken(from as EntryIdentity, message.parameters, now)
        return
      case 'dispatch':
      case 'withdraw':
      case 'acknowledge':
      case 'collect':
      case 'announced':
        logger.warn('message for an agent dropped', { method: message.method, from })
    }
  }

  function receiveHeartbeatAnswer (
    from: EntryIdentity, message: Extract<LinkMessage, { method: 'entryHeartbeatAnswer' }>, now: number
  ): void {
    const { position, registers } = message.parameters
    // Newer registers first: an answer from an entry that knows of a newer owner must not extend the lease.
    applyChanges(fold.adopt({ registers, position }), now)
    follow(membership.entryHeartbeatAnswer(from, message.parameters, now), now)
    const entry = membership.liveEntries().find(view => view.identity === from)
    if (entry?.answeredSentAt !== undefined) ownership.heartbeatAnswered(from, entry.answeredSentAt, position, now)
  }

  function logRead (batch: LogBatch, now: number): void {
    batchTime = now
    applyChanges(fold.apply(batch, now), now)
    if (!batch.reachedEnd) return
    lastLogEnd = true
    ownership.logReadToEnd(batch.readStartedAt, now)
  }

  function restate (now: number): void {
    const [first] = membership.liveEntries()
    if (first?.identity !== identity) return
    const due = fold.restatementsDue(now, MAXIMUM_RESTATEMENTS)
    if (due.length > 0) outbox.append(due)
  }

  function tick (now: number): void {
    follow(membership.tick(now), now)
    ownership.tick(now)
    outcomes.tick(now)
    operations.tick(now)
    calls.tick(now)
    publisher.tick(now)
    burn.tick(now)
    restate(now)
    expireWaiting(now)
    for (const event of placement.tick(now)) {
      logger.warn(`agent ${event.kind}`, { agent: event.agent, reason: event.reason })
      if (event.kind === 'returned') ejections.delete(event.agent)
      else ejections.set(event.agent, event.reason)
    }
    if (state === 'starting' && (lastLogEnd || fold.position() > 0)) state = 'ready'
    if (state === 'stopping') handoverRemaining = ownership.stop(now).remaining
    metrics.gauge('queue.length.tasks', queue.length())
    metrics.gauge('agents.active.count', membership.usableAgents().length)
    metrics.gauge('agents.ejected.count', ejections.size)
    metrics.gauge('partitions.owned.count', ownership.ownedCount())
  }

  function expireWaiting (now: number): void {
    for (const task of queue.expire(now)) {
      if (calls.owns(task.submission)) calls.expired(task.submission, now)
      else outcomes.expired(task.submission, [task.index], now)
    }
  }

  function collectingCount (): number {
    let count = 0
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      const partitionState = ownership.partitionState(partition)
      if (partitionState.kind === 'ours' && partitionState.phase === 'collecting') count += 1
    }
    return count
  }

  function beginCall (call: CallOperationRequest, now: number): string {
    callCount += 1
    const request = `${identity}/${callCount}`
    const resolution = configuration.resolveCall(call.request)
    if (resolution.kind === 'problem') {
      call.answer({ kind: 'problem', problem: resolution.problem })
      return request
    }
    calls.begin({
      request,
      resolved: resolution.request,
      input: call.request.input,
      idempotent: call.request.idempotent ?? resolution.request.callType === 'idempotent',
      answerBefore: now + (call.request.deadlineMilliseconds ?? DEFAULT_CALL_MILLISECONDS),
      answer: call.answer
    }, now)
    return request
  }

  return {
    identity,
    start (now) { follow(membership.start(now), now) },
    receive,
    logRead,
    beginOperation: operations.begin,
    abandonOperation: operations.abandon,
    beginCall,
    abandonCall: calls.abandon,
    tick,
    flush (now) {
      outcomes.flush(now)
      return dispatcher.pump(now)
    },
    stop (now) {
      if (state === 'stopping') return
      state = 'stopping'
      follow(membership.stop(now), now)
      handoverRemaining = ownership.stop(now).remaining
    },
    drained: () => state === 'stopping' && handoverRemaining === 0 &&
      operations.pending() === 0 && calls.pending() === 0,
    leave (now) {
      burn.close(now)
      membership.leave(now)
    },
    state: () => state,
    settings,
    startedAt: options.startedAt,
    logStanding: options.logStanding,
    ejection: agent => ejections.get(agent),
    isDrained: agent => isDrained(fold, agent),
    joinedAgentCount: () => membership.usableAgents().filter(agent => ownership.isJoined(agent.identity)).length,
    collectingCount,
    queueLengths: () => queue.services().map(service => ({ service, tasks: queue.length(service) })),
    slices: {
      fold,
      configuration,
      publisher,
      membership,
      ownership,
      outcomes,
      operations,
      calls,
      dispatcher,
      burn,
      placement: () => placement
    }
  }
}
