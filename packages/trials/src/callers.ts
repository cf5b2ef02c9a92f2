/** Callers of a trial: they submit, wait, and ask again through any entry until they have a final answer. */
import { canonicalJson, digestOf, type SubmissionKey } from '@baobabpost/common'
import type { ForwardedOperation, JobRequest, OperationResult } from '@baobabpost/messages'
import { createJobRequest, JOB_TEMPLATE, TRIAL_CUSTOMER } from './fixtures.js'
import type { EntryNode } from './nodes.js'
import { seededKey } from './seeded-names.js'
import type { World } from './world.js'

const RETRY_INTERVAL_MILLISECONDS = 300
const UNRESPONSIVE_MILLISECONDS = 2_000
const MAXIMUM_RETRY_INTERVAL_MILLISECONDS = 3_000

/** How a caller's work ended. */
export type CallerEnd = 'complete' | 'failed' | 'problem' | 'given-up'

/** One caller with one submission. */
export interface SubmissionCaller {
  readonly key: SubmissionKey
  /** Problem kind of the last answer, if it was one. */
  lastProblem: () => string | undefined
  finalState: () => CallerEnd | undefined
  tick: () => void
  cancel: () => void
  /** Submits once more through another entry, at the same time. */
  resubmit: () => void
  /** Breaks off what waits; it asks again later. */
  disconnect: () => void
}

/** What a caller wants. */
export interface CallerOptions {
  readonly taskCount: number
  readonly requestWaitMilliseconds: number
  readonly maximumWaitMilliseconds: number
  /** Chooses the entry that is asked first. */
  readonly chooseFirstEntry?: (key: SubmissionKey) => EntryNode | undefined
}

/** A connection of a caller to an entry. */
interface Connection {
  readonly entry: EntryNode
  readonly disconnect: () => void
  readonly abandonAt: number
}

/** Chooses an entry as a balancer does: one that is there and ready. */
export function chooseEntry (fleet: World): EntryNode | undefined {
  const ready = fleet.entries().filter(entry => entry.core.state() === 'ready')
  return ready[fleet.random.below(Math.max(1, ready.length))]
}

/** Makes a caller and lets it submit. */
export function createSubmissionCaller (fleet: World, options: CallerOptions): SubmissionCaller {
  const { runLog, random } = fleet
  const key = seededKey(random, fleet.now())
  const request: JobRequest = createJobRequest(options.taskCount)
  const digest = digestOf(canonicalJson(request))
  const abandonSubmissionAt = fleet.now() + options.maximumWaitMilliseconds
  let connection: Connection | undefined
  let nextSubmissionAt = fleet.now()
  let finalState: CallerEnd | undefined
  let lastProblem: string | undefined
  let firstEntry = options.chooseFirstEntry?.(key)

  /** Gives an operation to an entry; the result is a function that breaks it off. */
  function sendOperation (
    operation: ForwardedOperation, entry: EntryNode, onResult: (result: OperationResult) => void
  ): () => void {
    let operationId: number | undefined
    let isDisconnected = false
    const startsBefore = runLog.startCountOf(key)
    if (operation.kind === 'submit') runLog.recordSubmission(key, options.taskCount, fleet.now())
    entry.runWhenAwake(() => {
      if (isDisconnected) return
      operationId = entry.core.beginOperation({
        submission: key,
        customer: TRIAL_CUSTOMER,
        operation,
        waitUntil: entry.localTime() + options.requestWaitMilliseconds,
        answer: result => {
          runLog.recordAnswer(key, result, startsBefore, fleet.now())
          onResult(result)
        }
      }, entry.localTime())
    })
    return () => {
      isDisconnected = true
      if (operationId !== undefined && entry.isAlive) {
        entry.runWhenAwake(() => {
          entry.core.abandonOperation(operationId ?? 0)
        })
      }
    }
  }

  function submit (): void {
    const entry = firstEntry?.isAlive === true ? firstEntry : chooseEntry(fleet)
    firstEntry = undefined
    nextSubmissionAt = fleet.now() + RETRY_INTERVAL_MILLISECONDS
    if (entry === undefined) return
    let isAnswered = false
    const disconnect = sendOperation({ kind: 'submit', request, digest }, entry, result => {
      isAnswered = true
      connection = undefined
      handleResult(result)
    })
    if (!isAnswered) {
      connection = {
        entry, disconnect, abandonAt: fleet.now() + options.requestWaitMilliseconds + UNRESPONSIVE_MILLISECONDS
      }
    }
  }

  function handleResult (result: OperationResult): void {
    lastProblem = undefined
    if (result.kind === 'answer') {
      if (result.answer.state === 'running') nextSubmissionAt = fleet.now() + RETRY_INTERVAL_MILLISECONDS
      else finalState ??= result.answer.state
      return
    }
    if (result.kind !== 'problem') return
    const { kind, retryAfterMilliseconds } = result.problem
    lastProblem = kind
    if (kind !== 'outcome-unknown' && kind !== 'not-run') {
      finalState ??= 'problem'
      return
    }
    nextSubmissionAt = fleet.now() +
      Math.min(MAXIMUM_RETRY_INTERVAL_MILLISECONDS, retryAfterMilliseconds ?? RETRY_INTERVAL_MILLISECONDS)
  }

  const caller: SubmissionCaller = {
    key,
    lastProblem: () => lastProblem,
    finalState: () => finalState,
    tick () {
      if (finalState !== undefined) return
      if (fleet.now() >= abandonSubmissionAt) {
        finalState = 'given-up'
        return
      }
      if (connection !== undefined && (!connection.entry.isAlive || fleet.now() >= connection.abandonAt)) {
        connection = undefined
        nextSubmissionAt = fleet.now() + RETRY_INTERVAL_MILLISECONDS
      }
      if (connection === undefined && fleet.now() >= nextSubmissionAt) submit()
    },
    cancel () {
      const entry = chooseEntry(fleet)
      if (entry !== undefined) sendOperation({ kind: 'cancel' }, entry, () => {})
    },
    resubmit () {
      const entry = chooseEntry(fleet)
      if (entry !== undefined) sendOperation({ kind: 'submit', request, digest }, entry, () => {})
    },
    disconnect () {
      if (connection === undefined) return
      connection.disconnect()
      connection = undefined
      nextSubmissionAt = fleet.now() + UNRESPONSIVE_MILLISECONDS
    }
  }
  caller.tick()
  return caller
}

/** One single call. */
export interface CallCaller {
  /** Kind of the problem, `answer`, or undefined while there is neither. */
  finalState: () => string | undefined
}

/** Makes a single call through an entry. */
export function createCallCaller (fleet: World, idempotent: boolean, chosenEntry?: EntryNode): CallCaller {
  const { runLog, random } = fleet
  const call = seededKey(random, fleet.now())
  const entry = chosenEntry ?? chooseEntry(fleet)
  let finalState: string | undefined
  if (entry === undefined) return { finalState: () => 'no-entry' }
  runLog.recordCall(call, idempotent)
  const request = {
    template: JOB_TEMPLATE, customer: TRIAL_CUSTOMER, input: { call }, idempotent, deadlineMilliseconds: 20_000
  }
  entry.runWhenAwake(() => {
    entry.core.beginCall({
      request,
      answer: result => {
        runLog.recordCallAnswer(call, result, fleet.now())
        finalState = result.kind === 'answer' ? 'answer' : result.problem.kind
      }
    }, entry.localTime())
  })
  return { finalState: () => finalState ?? (entry.isAlive ? undefined : 'entry-lost') }
}
