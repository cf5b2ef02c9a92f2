/** Simulated callers, which submit and retry through any entry until they have a final answer. */
import { canonicalJson, digestOf, type SubmissionKey } from '@baobabpost/common'
import type { ForwardedOperation, JobRequest, OperationResult } from '@baobabpost/messages'
import { createJobRequest, TEMPLATE_NAME, CUSTOMER_NAME } from './fixtures.js'
import type { EntryNode } from './simulated-nodes.js'
import { seededKey } from './seeded-names.js'
import type { SimulatedFleet } from './simulated-fleet.js'

const RETRY_INTERVAL_MILLISECONDS = 300
/** Time past the request wait after which a caller abandons a connection, and its pause after a disconnect. */
const UNRESPONSIVE_MILLISECONDS = 2_000
const MAXIMUM_RETRY_INTERVAL_MILLISECONDS = 3_000

/** Final state of a submission; `given-up` means that the caller's maximum wait elapsed. */
export type SubmissionState = 'complete' | 'failed' | 'problem' | 'given-up'

/** A caller with one submission. */
export interface SubmissionCaller {
  readonly key: SubmissionKey
  /** Problem kind of the last response; undefined if that was an answer. */
  lastProblem: () => string | undefined
  finalState: () => SubmissionState | undefined
  tick: () => void
  cancel: () => void
  /** Submits the same key concurrently through a random entry. */
  resubmit: () => void
  /** Closes the waiting connection; the caller submits again later. */
  disconnect: () => void
}

export interface CallerOptions {
  readonly taskCount: number
  /** How long an entry may hold one request before it answers. */
  readonly requestWaitMilliseconds: number
  /** Time after which the caller abandons the submission. */
  readonly maximumWaitMilliseconds: number
  /** Chooses the entry of the first request; a random one by default. */
  readonly chooseFirstEntry?: (key: SubmissionKey) => EntryNode | undefined
}

/** A connection of a caller to an entry. */
interface Connection {
  readonly entry: EntryNode
  readonly disconnect: () => void
  readonly abandonAt: number
}

/** Chooses a random ready entry, as a load balancer does. */
export function chooseEntry (fleet: SimulatedFleet): EntryNode | undefined {
  const ready = fleet.entries().filter(entry => entry.core.state() === 'ready')
  return ready[fleet.random.below(Math.max(1, ready.length))]
}

/** Creates a caller and sends its submission. */
export function createSubmissionCaller (fleet: SimulatedFleet, options: CallerOptions): SubmissionCaller {
  const { runLog, random } = fleet
  const key = seededKey(random, fleet.now())
  const request: JobRequest = createJobRequest(options.taskCount)
  const digest = digestOf(canonicalJson(request))
  const abandonSubmissionAt = fleet.now() + options.maximumWaitMilliseconds
  let connection: Connection | undefined
  let nextSubmissionAt = fleet.now()
  let finalState: SubmissionState | undefined
  let lastProblem: string | undefined
  let firstEntry = options.chooseFirstEntry?.(key)

  /** Sends an operation to an entry, and returns a function that disconnects it. */
  function sendOperation (
    operation: ForwardedOperation, entry: EntryNode, onResult: (result: OperationResult) => void
  ): () => void {
    let id: number | undefined
    let isDisconnected = false
    const startsBefore = runLog.startCountOf(key)
    if (operation.kind === 'submit') runLog.recordSubmission(key, options.taskCount, fleet.now())
    entry.runWhenAwake(() => {
      if (isDisconnected) return
      id = entry.core.beginOperation({
        submission: key,
        customer: CUSTOMER_NAME,
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
      if (id !== undefined && entry.isAlive) entry.runWhenAwake(() => { entry.core.abandonOperation(id ?? 0) })
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

/** A caller with one single call, which is not retried. */
export interface CallCaller {
  /** `answer`, a problem kind, `no-entry` or `entry-lost`; undefined while the call is in progress. */
  finalState: () => string | undefined
}

/** Makes a single call through the chosen entry, or through a random ready one. */
export function createCallCaller (fleet: SimulatedFleet, idempotent: boolean, chosenEntry?: EntryNode): CallCaller {
  const { runLog, random } = fleet
  const call = seededKey(random, fleet.now())
  const entry = chosenEntry ?? chooseEntry(fleet)
  let finalState: string | undefined
  if (entry === undefined) return { finalState: () => 'no-entry' }
  runLog.recordCall(call, idempotent)
  const request = {
    template: TEMPLATE_NAME, customer: CUSTOMER_NAME, input: { call }, idempotent, deadlineMilliseconds: 20_000
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
