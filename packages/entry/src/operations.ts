/**
 * Operations on submissions at the entry where they arrive: each goes to the owner of its partition, here or
 * elsewhere, and is repeated until it is answered. The caller's body is kept until then, so that the next owner gets
 * it when an owner is lost.
 */
import { partitionOf, type EntryIdentity, type SubmissionKey } from '@baobabpost/common'
import {
  createProblem, type Forward, type Forwarded, type ForwardedOperation, type OperationResult, type Outbox
} from '@baobabpost/messages'
import type { Outcomes } from '@baobabpost/outcomes'
import type { PartitionState } from '@baobabpost/ownership'

const FORWARD_REPEAT_MILLISECONDS = 1_000
/** Time for which each forward to the next owner brings the body. */
const BODY_REPEAT_MILLISECONDS = 5_000
/** Time past the caller's wait that the owner's answer may take. */
const ANSWER_GRACE_MILLISECONDS = 500
const RETRY_AFTER_MILLISECONDS = 1_000
const LOCAL_PREFIX = 'local/'

/** An operation of a caller of this entry. */
export interface OperationRequest {
  readonly submission: SubmissionKey
  readonly customer: string
  readonly operation: ForwardedOperation
  /** Unix time in milliseconds until which the caller waits for the whole answer. */
  readonly waitUntil: number
  /** Called once with the result. */
  readonly answer: (result: OperationResult) => void
}

interface PendingOperation extends OperationRequest {
  readonly id: number
  readonly partition: number
  /** Owner that it was given to; undefined while there is none. */
  owner: EntryIdentity | undefined
  /** Whether another owner had it before. */
  hadOwner: boolean
  /** Unix time in milliseconds until which a forward brings the body. */
  bodyUntil: number
  sentAt: number
}

/** What the operations need. */
export interface OperationsOptions {
  readonly identity: EntryIdentity
  readonly outbox: Outbox
  readonly partitionState: (partition: number) => PartitionState
  readonly outcomes: Pick<Outcomes, 'submit' | 'query' | 'cancel' | 'abandon'>
  /** Tells what happened to a submission that this entry owns. */
  readonly explain: (submission: SubmissionKey, customer: string) => OperationResult
}

/** Operations that arrived here, and those that other entries forwarded. */
export interface Operations {
  /** Takes in a caller's operation and gives the number by which it can be abandoned. */
  begin: (request: OperationRequest, now: number) => number
  /** The caller broke off. */
  abandon: (id: number) => void
  /** Another entry forwards an operation to this one as the owner. */
  forward: (from: EntryIdentity, message: Forward, now: number) => void
  /** The owner answered. */
  forwarded: (message: Forwarded, now: number) => void
  /** The submissions at this owner have a result for a waiter. */
  answered: (waiter: string, result: OperationResult) => void
  /** The submissions of a partition moved away: its waiters go to the next owner. */
  rerouted: (waiters: readonly string[], now: number) => void
  tick: (now: number) => void
  pending: () => number
}

/** A waiter's name: local operations by number, forwarded ones by their entry and its number. */
function localWaiter (id: number): string {
  return `${LOCAL_PREFIX}${id}`
}

function forwardWaiter (from: EntryIdentity, forward: number): string {
  return `forward/${from}/${forward}`
}

/** Makes the operations of an entry. */
export function createOperations (options: OperationsOptions): Operations {
  const { identity, outbox, partitionState, outcomes } = options
  const operations = new Map<number, PendingOperation>()
  /** Forwards that wait at this owner, by waiter. */
  const forwards = new Map<string, { readonly from: EntryIdentity, readonly message: Forward }>()
  let nextId = 1

  function route (operation: PendingOperation, now: number): void {
    const state = partitionState(operation.partition)
    operation.sentAt = now
    if (state.kind === 'none') {
      operation.owner = undefined
    } else if (state.kind === 'ours') {
      operation.owner = identity
      operation.hadOwner = true
      giveToOutcomes(localWaiter(operation.id), operation, now)
    } else {
      if (operation.owner !== state.owner) noteOwner(operation, state.owner, now)
      const brings = now < operation.bodyUntil ? operation.operation : repetitionOf(operation.operation)
      sendForward(operation, brings)
    }
  }

  /**
   * A first owner that lost the body says so, as it knows nothing of the submission. An owner that took the
   * submission over from agents knows it and waits for the body, so that the body is repeated to it for a while.
   */
  function noteOwner (operation: PendingOperation, owner: EntryIdentity, now: number): void {
    operation.bodyUntil = operation.hadOwner ? now + BODY_REPEAT_MILLISECONDS : now + 1
    operation.hadOwner = true
    operation.owner = owner
  }

  /** A repetition to the same owner leaves the body out. */
  function repetitionOf (operation: ForwardedOperation): ForwardedOperation {
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

  function giveToOutcomes (waiter: string, operation: Omit<OperationRequest, 'answer'>, now: number): void {
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
        answered(waiter, options.explain(submission, customer))
    }
  }

  function finish (operation: PendingOperation, result: OperationResult): void {
    if (!operations.delete(operation.id)) return
    operation.answer(result)
  }

  function unknownOutcome (): OperationResult {
    const detail = 'The owner of the submission did not answer in time'
    const problem = createProblem('outcome-unknown', detail, { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS })
    return { kind: 'problem', problem }
  }

  /** Whether the owner does not know the submission because the message with its body was lost. */
  function lacksBody (operation: PendingOperation, result: OperationResult): boolean {
    return operation.operation.kind === 'submit' &&
      result.kind === 'problem' && result.problem.kind === 'unknown-submission'
  }

  function answered (waiter: string, result: OperationResult): void {
    const forward = forwards.get(waiter)
    if (forward !== undefined) {
      forwards.delete(waiter)
      const { forward: number, submission } = forward.message
      outbox.send(forward.from, { method: 'forwarded', parameters: { forward: number, submission, result } })
      return
    }
    const operation = localOperation(waiter)
    if (operation !== undefined) finish(operation, result)
  }

  function localOperation (waiter: string): PendingOperation | undefined {
    return operations.get(Number(waiter.slice(LOCAL_PREFIX.length)))
  }

  return {
    begin (request, now) {
      const id = nextId
      nextId += 1
      const partition = partitionOf(request.submission)
      const operation: PendingOperation = {
        ...request, id, partition, owner: undefined, hadOwner: false, bodyUntil: 0, sentAt: now
      }
      operations.set(id, operation)
      route(operation, now)
      return id
    },

    abandon (id) {
      const operation = operations.get(id)
      if (operation === undefined) return
      operations.delete(id)
      if (operation.owner === identity) outcomes.abandon(localWaiter(id), operation.submission)
    },

    forward (from, message, now) {
      const waiter = forwardWaiter(from, message.forward)
      if (partitionState(partitionOf(message.submission)).kind !== 'ours') return
      if (forwards.has(waiter)) return
      forwards.set(waiter, { from, message })
      giveToOutcomes(waiter, message, now)
    },

    forwarded (message, now) {
      const operation = operations.get(message.forward)
      if (operation === undefined || operation.submission !== message.submission) return
      if (!lacksBody(operation, message.result)) {
        finish(operation, message.result)
        return
      }
      operation.sentAt = now
      sendForward(operation, operation.operation)
    },

    answered,

    rerouted (waiters, now) {
      for (const waiter of waiters) {
        // The entry that forwarded it sees the new owner by itself.
        if (forwards.delete(waiter)) continue
        const operation = localOperation(waiter)
        if (operation !== undefined) route(operation, now)
      }
    },

    tick (now) {
      for (const operation of operations.values()) {
        if (now >= operation.waitUntil + ANSWER_GRACE_MILLISECONDS) {
          if (operation.owner === identity) outcomes.abandon(localWaiter(operation.id), operation.submission)
          finish(operation, unknownOutcome())
          continue
        }
        const state = partitionState(operation.partition)
        const owner = state.kind === 'none' ? undefined : state.kind === 'ours' ? identity : state.owner
        if (owner !== operation.owner) route(operation, now)
        else if (owner === identity) continue
        else if (now - operation.sentAt >= FORWARD_REPEAT_MILLISECONDS) route(operation, now)
      }
    },

    pending: () => operations.size
  }
}
