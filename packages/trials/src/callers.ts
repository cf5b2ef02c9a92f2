/** Callers of a trial: they submit, wait, and ask again through any entry until they have a final answer. */
import { canonicalJson, digestOf, type SubmissionKey } from '@baobabpost/common'
import type { ForwardedOperation, JobRequest, OperationResult } from '@baobabpost/messages'
import { createJobRequest, TEMPLATE_NAME, CUSTOMER_NAME } from './fixtures.js'
import type { EntryNode } from './simulated-nodes.js'
import { seededKey } from './seeded-names.js'
import type { SimulatedFleet } from './simulated-fleet.js'

const RETRY_MILLISECONDS = 300
const SILENCE_MILLISECONDS = 2_000
const LONGEST_RETRY_MILLISECONDS = 3_000

/** How a caller's work ended. */
export type SubmissionState = 'complete' | 'failed' | 'problem' | 'given-up'

/** One caller with one submission. */
export interface SubmissionCaller {
  readonly key: SubmissionKey
  /** Problem kind of the last answer, if it was one. */
  lastProblem: () => string | undefined
  end: () => SubmissionState | undefined
  tick: () => void
  cancel: () => void
  /** Submits once more through another entry, at the same time. */
  submitAgain: () => void
  /** Breaks off what waits; it asks again later. */
  breakOff: () => void
}

/** What a caller wants. */
export interface CallerOptions {
  readonly taskCount: number
  readonly waitMilliseconds: number
  readonly patienceMilliseconds: number
  /** Chooses the entry that is asked first. */
  readonly chooseFirst?: (key: SubmissionKey) => EntryNode | undefined
}

/** A connection of a caller to an entry. */
interface Connection {
  readonly entry: EntryNode
  readonly breakOff: () => void
  readonly giveUpAt: number
}

/** Chooses an entry as a balancer does: one that is there and ready. */
export function chooseEntry (world: SimulatedFleet): EntryNode | undefined {
  const ready = world.entries().filter(entry => entry.core.state() === 'ready')
  return ready[world.random.below(Math.max(1, ready.length))]
}

/** Makes a caller and lets it submit. */
export function createSubmissionCaller (world: SimulatedFleet, options: CallerOptions): SubmissionCaller {
  const { ledger, random } = world
  const key = seededKey(random, world.now())
  const request: JobRequest = createJobRequest(options.taskCount)
  const digest = digestOf(canonicalJson(request))
  const patienceEnd = world.now() + options.patienceMilliseconds
  let connection: Connection | undefined
  let nextAt = world.now()
  let end: SubmissionState | undefined
  let lastProblem: string | undefined
  let firstEntry = options.chooseFirst?.(key)

  /** Gives an operation to an entry; the result is a function that breaks it off. */
  function ask (
    operation: ForwardedOperation, entry: EntryNode, onResult: (result: OperationResult) => void
  ): () => void {
    let id: number | undefined
    let brokenOff = false
    const startsBefore = ledger.startsOf(key)
    if (operation.kind === 'submit') ledger.submitted(key, options.taskCount, world.now())
    entry.accept(() => {
      if (brokenOff) return
      id = entry.core.beginOperation({
        submission: key,
        customer: CUSTOMER_NAME,
        operation,
        waitUntil: entry.localTime() + options.waitMilliseconds,
        answer: result => {
          ledger.answered(key, result, startsBefore, world.now())
          onResult(result)
        }
      }, entry.localTime())
    })
    return () => {
      brokenOff = true
      if (id !== undefined && entry.isAlive) entry.accept(() => { entry.core.abandonOperation(id ?? 0) })
    }
  }

  function submit (): void {
    const entry = firstEntry?.isAlive === true ? firstEntry : chooseEntry(world)
    firstEntry = undefined
    nextAt = world.now() + RETRY_MILLISECONDS
    if (entry === undefined) return
    let answered = false
    const breakOff = ask({ kind: 'submit', request, digest }, entry, result => {
      answered = true
      connection = undefined
      settle(result)
    })
    if (!answered) {
      connection = { entry, breakOff, giveUpAt: world.now() + options.waitMilliseconds + SILENCE_MILLISECONDS }
    }
  }

  function settle (result: OperationResult): void {
    lastProblem = undefined
    if (result.kind === 'answer') {
      if (result.answer.state === 'running') nextAt = world.now() + RETRY_MILLISECONDS
      else end ??= result.answer.state
      return
    }
    if (result.kind !== 'problem') return
    const { kind, retryAfterMilliseconds } = result.problem
    lastProblem = kind
    if (kind !== 'outcome-unknown' && kind !== 'not-run') {
      end ??= 'problem'
      return
    }
    nextAt = world.now() + Math.min(LONGEST_RETRY_MILLISECONDS, retryAfterMilliseconds ?? RETRY_MILLISECONDS)
  }

  const caller: SubmissionCaller = {
    key,
    lastProblem: () => lastProblem,
    end: () => end,
    tick () {
      if (end !== undefined) return
      if (world.now() >= patienceEnd) {
        end = 'given-up'
        return
      }
      if (connection !== undefined && (!connection.entry.isAlive || world.now() >= connection.giveUpAt)) {
        connection = undefined
        nextAt = world.now() + RETRY_MILLISECONDS
      }
      if (connection === undefined && world.now() >= nextAt) submit()
    },
    cancel () {
      const entry = chooseEntry(world)
      if (entry !== undefined) ask({ kind: 'cancel' }, entry, () => {})
    },
    submitAgain () {
      const entry = chooseEntry(world)
      if (entry !== undefined) ask({ kind: 'submit', request, digest }, entry, () => {})
    },
    breakOff () {
      if (connection === undefined) return
      connection.breakOff()
      connection = undefined
      nextAt = world.now() + SILENCE_MILLISECONDS
    }
  }
  caller.tick()
  return caller
}

/** One single call. */
export interface CallCaller {
  /** Kind of the problem, `answer`, or undefined while there is neither. */
  end: () => string | undefined
}

/** Makes a single call through an entry. */
export function createCallCaller (world: SimulatedFleet, idempotent: boolean, chosen?: EntryNode): CallCaller {
  const { ledger, random } = world
  const call = seededKey(random, world.now())
  const entry = chosen ?? chooseEntry(world)
  let end: string | undefined
  if (entry === undefined) return { end: () => 'no-entry' }
  ledger.called(call, idempotent)
  const request = {
    template: TEMPLATE_NAME, customer: CUSTOMER_NAME, input: { call }, idempotent, deadlineMilliseconds: 20_000
  }
  entry.accept(() => {
    entry.core.beginCall({
      request,
      answer: result => {
        ledger.callAnswered(call, result, world.now())
        end = result.kind === 'answer' ? 'answer' : result.problem.kind
      }
    }, entry.localTime())
  })
  return { end: () => end ?? (entry.isAlive ? undefined : 'entry-lost') }
}
