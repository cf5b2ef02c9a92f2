/** Creates the components of an entry and connects their ports. */
import { createAdmissionQueue, type AdmissionQueue } from '@baobabpost/admission'
import { createConfiguration, createPublisher, type Configuration, type Publisher } from '@baobabpost/configuration'
import { createMembership, type Membership } from '@baobabpost/membership'
import type { Outbox } from '@baobabpost/messages'
import { createOutcomes, type FinishedSubmission, type Outcomes } from '@baobabpost/outcomes'
import { createOwnership, KEPT_OWNER_LEASES, type Ownership, type PartitionState } from '@baobabpost/ownership'
import { createRegisterProjection, type RegisterProjection } from '@baobabpost/platform-log'
import { createRequests, type RequestPolicy, type Requests } from '@baobabpost/requests'
import { createBurnTracker, type BurnTracker } from './burn-tracker.js'
import { createCalls, type Calls } from './calls.js'
import { createCurrentPlacement, type CurrentPlacement } from './current-placement.js'
import { createDispatcher, type Dispatcher } from './dispatcher.js'
import type { EntryCoreOptions } from './entry-options.js'
import { createEvacuations, type Evacuations } from './evacuations.js'
import { explainSubmission } from './explanation.js'
import { createJobAdmission } from './job-admission.js'
import { createOperations, type Operations } from './operations.js'
import { createQuotas, type Quotas } from './quotas.js'
import { createServiceCapacities } from './service-capacities.js'

/** The components of one entry. */
export interface EntryComponents {
  readonly projection: RegisterProjection
  readonly configuration: Configuration
  readonly publisher: Publisher
  readonly membership: Membership
  readonly evacuations: Evacuations
  readonly ownership: Ownership
  readonly outcomes: Outcomes
  readonly operations: Operations
  readonly queue: AdmissionQueue
  readonly quotas: Quotas
  readonly placement: CurrentPlacement
  readonly requests: Requests
  readonly calls: Calls
  readonly dispatcher: Dispatcher
  readonly burn: BurnTracker
}

/**
 * Returns the part of the deployment's policy that concerns single calls.
 *
 * @example
 * requestPolicyOf(configuration, 'default').retryShare
 */
export function requestPolicyOf (configuration: Configuration, policy: string): RequestPolicy {
  const { retryShare, hedge } = configuration.policy(policy)
  return { retryShare, hedge }
}

/** Creates the components that hold the registers received from the log and from peers. */
function createRegisterComponents (options: EntryCoreOptions): Pick<EntryComponents, 'projection' | 'configuration' | 'publisher'> {
  const { settings, invariants, logger, metrics } = options
  const projection = createRegisterProjection({
    retentionMilliseconds: settings.logRetentionMilliseconds,
    invariants,
    onOutcomes: outcomes => { publisher.handleWriteOutcomes(outcomes) },
    onBadRecord: badRecord => {
      metrics.count('configuration.bad-record.count')
      logger.error('log record skipped', { offset: badRecord.offset, register: badRecord.register, reason: badRecord.fault })
    }
  })
  const configuration = createConfiguration({ projection })
  const publisher: Publisher = createPublisher({
    projection, history: configuration.history, append: options.append
  })
  return { projection, configuration, publisher }
}

export function createEntryComponents (options: EntryCoreOptions): EntryComponents {
  const { settings, invariants, logger, metrics, random } = options
  const { identity, keyWindowMilliseconds, clockSkewMilliseconds, failureDomain, policy } = settings
  const outbox: Outbox = { send: options.send, append: changes => { options.append(changes) } }
  const { projection, configuration, publisher } = createRegisterComponents(options)
  const membership = createMembership({
    identity,
    address: settings.address,
    failureDomain,
    ownerLeases: KEPT_OWNER_LEASES,
    startedAt: options.startedAt,
    keyWindowMilliseconds,
    projection,
    outbox,
    sendToSeeds: options.sendToSeeds
  })
  const queue = createAdmissionQueue({ maximumQueuedTasks: settings.maximumQueuedTasks })
  const evacuations = createEvacuations({ projection, membership })
  const placement: CurrentPlacement = createCurrentPlacement({
    evacuations,
    capacities: createServiceCapacities(queue),
    configuration,
    projection,
    policy,
    failureDomain,
    random,
    logger,
    usableAgents: membership.usableAgents,
    isJoined: agent => ownership.isJoined(agent)
  })
  const expectedMilliseconds = (template: string): number | undefined =>
    placement.current().expectedMilliseconds(template)
  const requests = createRequests({ random, ...requestPolicyOf(configuration, policy) })
  const calls = createCalls({
    requests, queue, outbox, expectedMilliseconds, metrics, onResent: attempt => { dispatcher.markResent(attempt, 0) }
  })
  const jobAdmission = createJobAdmission({
    configuration, queue, expectedMilliseconds, logger, isServiceEvacuated: evacuations.isServiceEvacuated
  })

  const outcomes: Outcomes = createOutcomes({
    ports: {
      partitionState: partition => ownership.partitionState(partition),
      mayDeclareNotRun: now => ownership.mayDeclareNotRun(now),
      resolve: jobAdmission.resolve,
      offer: jobAdmission.offer,
      restore: jobAdmission.restore,
      removeWaiting: (submission, indexes) => { queue.withdraw(submission, indexes) },
      recordingAgent: () => membership.usableAgents().find(agent => ownership.isJoined(agent.identity))?.identity,
      withdraw: (agent, selections) => { outbox.send(agent, { method: 'withdraw', parameters: { selections } }) },
      resend: (agent, submission, indexes, now) => { dispatcher.resend(agent, submission, indexes, now) },
      submissionArrived: step => {
        metrics.count(step === 'accepted' ? 'submissions.accepted.count' : 'submissions.joined.count')
      },
      answer: (waiter, result) => { operations.handleResult(waiter, result) },
      reroute: (waiters, _submission, now) => { operations.reroute(waiters, now) },
      submissionFinished: finished => { logFinished(finished) }
    },
    invariants,
    keyWindowMilliseconds,
    clockSkewMilliseconds
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
    keyWindowMilliseconds,
    clockSkewMilliseconds
  })
  const dispatcher: Dispatcher = createDispatcher({
    queue, placement: placement.current, ownership, outcomes, calls, outbox, metrics
  })
  const operations: Operations = createOperations({
    identity,
    outbox,
    partitionState: ownership.partitionState,
    outcomes,
    explain: (submission, customer) => explainSubmission(outcomes, identity, submission, customer)
  })
  const burn = createBurnTracker({
    identity,
    startedAt: options.startedAt,
    projection,
    outbox,
    objectives: configuration.objectives,
    liveEntries: () => membership.liveEntries().map(entry => entry.identity)
  })

  function logFinished (finished: FinishedSubmission): void {
    const { submission, customer, state, responseMilliseconds, cause } = finished
    logger.info('submission finished', { submission, customer, kind: cause, state, responseMilliseconds })
  }

  function partitionChanged (partition: number, state: PartitionState, now: number): void {
    outcomes.partitionChanged(partition, state, now)
    if (state.kind !== 'ours') dispatcher.handlePartitionLoss(partition, now)
  }

  return {
    projection,
    configuration,
    publisher,
    membership,
    evacuations,
    ownership,
    outcomes,
    operations,
    queue,
    placement,
    requests,
    calls,
    dispatcher,
    burn,
    quotas: createQuotas({ projection, queue })
  }
}
