/**
 * Operations on submissions at the entry that received them. The owner of the submission's partition executes the
 * operation: this entry, or another one to which it is forwarded repeatedly until that entry answers. The caller's body
 * is kept until then, because the next owner needs it if the current one is lost.
 */
import { partitionOf, type EntryIdentity, type SubmissionKey } from '@baobabpost/common'
import {
  createProblem, type Forward, type Forwarded, type ForwardedOperation, type OperationResult, type Outbox
} from '@baobabpost/messages'
import type { Outcomes } from '@baobabpost/outcomes'
import type { PartitionState } from '@baobabpost/ownership'

const FORWARD_REPEAT_MILLISECONDS = 1_000
/** Time after a change of owner during which each forward to the new owner includes the body. */
const BODY_REPEAT_MILLISECONDS = 5_000
/** Time after the end of the caller's wait during which an answer of the owner is still accepted. */
const ANSWER_GRACE_MILLISECONDS = 500
const RETRY_AFTER_MILLISECONDS = 1_000
const LOCAL_PREFIX = 'local/'

/** An operation that a caller sent to this entry. */
export interface OperationRequest {
  readonly submission: SubmissionKey
  readonly customer: string
  readonly operation: ForwardedOperation
  /** Unix time in milliseconds until which the caller waits for the complete answer. */
  readonly waitUntil: number
  /** Called once with the result. */
  readonly answer: (result: OperationResult) => void
}

interface PendingOperation extends OperationRequest {
  readonly id: number
  readonly partition: number
  /** Owner that was last given the operation; undefined while the partition has no owner. */
  owner: EntryIdentity | undefined
  /** Whether an owner was given the operation before. */
  wasGivenToOwner: boolean
  /** Unix time in milliseconds until which forwards include the body. */
  sendBodyUntil: number
  sentAt: number
}

export interface OperationsOptions {
  readonly identity: EntryIdentity
  readonly outbox: Outbox
  readonly partitionState: (partition: number) => PartitionState
  readonly outcomes: Pick<Outcomes, 'submit' | 'query' | 'cancel' | 'abandon'>
  /** Explains what happened to a submission that this entry owns. */
  readonly explain: (submission: SubmissionKey, customer: string) => OperationResult
}

/** Operations of this entry's callers, and those that other entries forwarded to it. */
export interface Operations {
  /** Starts a caller's operation and returns the number by which it can be abandoned. */
  begin: (request: OperationRequest, now: number) => number
  /** Drops the operation of a caller that has disconnected. */
  abandon: (id: number) => void
  /** Executes an operation that another entry forwarded to this one as the owner. */
  handleForward: (from: EntryIdentity, message: Forward, now: number) => void
  /** Handles the owner's answer to an operation that this entry forwarded. */
  handleForwarded: (message: Forwarded, now: number) => void
  /** Passes the result of a submission owned here to its waiter: a local caller or the entry that forwarded it. */
  handleResult: (waiter: string, result: OperationResult) => void
  /** Sends the operations of waiters whose partition has moved away to its next owner. */
  reroute: (waiters: readonly string[], now: number) => void
  tick: (now: number) => void
  pendingCount: () => number
}

/** Returns the name under which a local operation waits for its result in `outcomes`. */
function localWaiterName (id: number): string {
  return `${LOCAL_PREFIX}${id}`
}

function forwardWaiterName (from: EntryIdentity, forward: number): string {
  return `forward/${from}/${forward}`
}

export function createOperations (options: OperationsOptions): Operations {
  const { identity, outbox, partitionState, outcomes } = options
  const operations = new Map<number, PendingOperation>()
  /** Operations forwarded by other entries that wait here for a result, by the name of the waiter. */
  const forwardsByWaiter = new Map<string, { readonly from: EntryIdentity, readonly message: Forward }>()
  let nextId = 1

  function route (operation: PendingOperation, now: number): void {
    const state = partitionState(operation.partition)
    operation.sentAt = now
    if (state.kind === 'none') {
      operation.owner = undefined
    } else if (state.kind === 'ours') {
      operation.owner = identity
      operation.wasGivenToOwner = true
      executeLocally(localWaiterName(operation.id), operation, now)
    } else {
      if (operation.owner !== state.owner) recordOwner(operation, state.owner, now)
      const sentOperation = now < operation.sendBodyUntil ? operation.operation : withoutBody(operation.operation)
      sendForward(operation, sentOperation)
    }
  }

  /**
   * Records the owner and until when forwards to it include the body. A first owner that did not receive the body
   * answers `unknown-submission`, and the body is sent again. A later owner may know the submission from agents and
   * wait for the body without an answer, so forwards to it repeat the body for `BODY_REPEAT_MILLISECONDS`.
   */
  function recordOwner (operation: PendingOperation, owner: EntryIdentity, now: number): void {
    operation.sendBodyUntil = operation.wasGivenToOwner ? now + BODY_REPEAT_MILLISECONDS : now + 1
    operation.wasGivenToOwner = true
    operation.owner = owner
  }

  /** Returns the operation to repeat to the same owner: a query instead of a submit operation with its body. */
  function withoutBody (operation: ForwardedOperation): ForwardedOperation {
    return operation.kind === 'submit' ? { kind: 'query' } : operation
  }

  function sendForward (operation: PendingOperation, forwarded: ForwardedOperation): void {
    if (operation.owner === undefined) return
    const { submission, customer, waitUntil } = operation
    outbox.send(operation.owner, {
      method: 'forward',
      parameters: { forward: operation.id, submission, customer, operation: forwarded, waitUntil }
    })
  }

  function executeLocally (waiter: string, operation: Omit<OperationRequest, 'answer'>, now: number): void {
    const { submission, customer, waitUntil } = operation
    switch (operation.operation.kind) {
      case 'submit': {
        const { request, digest } = operation.operation
        outcomes.submit({ waiter, submission, customer, request, digest, waitUntil }, now)
        return
      }
      case 'query':
        outcomes.query({ waiter, submission, customer, waitUntil }, now)
        return
      case 'cancel':
        outcomes.cancel({ waiter, submission, customer, waitUntil }, now)
        return
      case 'explain':
        handleResult(waiter, options.explain(submission, customer))
    }
  }

  function finish (operation: PendingOperation, result: OperationResult): void {
    if (!operations.delete(operation.id)) return
    operation.answer(result)
  }

  function createUnknownOutcome (): OperationResult {
    const detail = 'The owner of the submission did not answer in time'
    const problem = createProblem('outcome-unknown', detail, { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS })
    return { kind: 'problem', problem }
  }

  /** Whether the owner does not know the submission because the message with its body was lost. */
  function ownerLacksBody (operation: PendingOperation, result: OperationResult): boolean {
    return operation.operation.kind === 'submit' &&
      result.kind === 'problem' && result.problem.kind === 'unknown-submission'
  }

  function handleResult (waiter: string, result: OperationResult): void {
    const forward = forwardsByWaiter.get(waiter)
    if (forward !== undefined) {
      forwardsByWaiter.delete(waiter)
      const { forward: forwardNumber, submission } = forward.message
      outbox.send(forward.from, { method: 'forwarded', parameters: { forward: forwardNumber, submission, result } })
      return
    }
    const operation = findLocalOperation(waiter)
    if (operation !== undefined) finish(operation, result)
  }

  function findLocalOperation (waiter: string): PendingOperation | undefined {
    return operations.get(Number(waiter.slice(LOCAL_PREFIX.length)))
  }

  return {
    begin (request, now) {
      const id = nextId
      nextId += 1
      const partition = partitionOf(request.submission)
      const operation: PendingOperation = {
        ...request, id, partition, owner: undefined, wasGivenToOwner: false, sendBodyUntil: 0, sentAt: now
      }
      operations.set(id, operation)
      route(operation, now)
      return id
    },

    abandon (id) {
      const operation = operations.get(id)
      if (operation === undefined) return
      operations.delete(id)
      if (operation.owner === identity) outcomes.abandon(localWaiterName(id), operation.submission)
    },

    handleForward (from, message, now) {
      const waiter = forwardWaiterName(from, message.forward)
      if (partitionState(partitionOf(message.submission)).kind !== 'ours') return
      if (forwardsByWaiter.has(waiter)) return
      forwardsByWaiter.set(waiter, { from, message })
      executeLocally(waiter, message, now)
    },

    handleForwarded (message, now) {
      const operation = operations.get(message.forward)
      if (operation === undefined || operation.submission !== message.submission) return
      if (!ownerLacksBody(operation, message.result)) {
        finish(operation, message.result)
        return
      }
      operation.sentAt = now
      sendForward(operation, operation.operation)
    },

    handleResult,

    reroute (waiters, now) {
      for (const waiter of waiters) {
        // The forwarding entry learns of the new owner itself and forwards the operation there.
        if (forwardsByWaiter.delete(waiter)) continue
        const operation = findLocalOperation(waiter)
        if (operation !== undefined) route(operation, now)
      }
    },

    tick (now) {
      for (const operation of operations.values()) {
        if (now >= operation.waitUntil + ANSWER_GRACE_MILLISECONDS) {
          if (operation.owner === identity) outcomes.abandon(localWaiterName(operation.id), operation.submission)
          finish(operation, createUnknownOutcome())
          continue
        }
        const state = partitionState(operation.partition)
        const owner = state.kind === 'none' ? undefined : state.kind === 'ours' ? identity : state.owner
        if (owner !== operation.owner) route(operation, now)
        else if (owner === identity) continue
        else if (now - operation.sentAt >= FORWARD_REPEAT_MILLISECONDS) route(operation, now)
      }
    },

    pendingCount: () => operations.size
  }
}
