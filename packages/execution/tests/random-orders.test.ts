/**
 * Applies random sequences of messages, repetitions, lost messages and pauses to an agent, and checks every start and
 * report against a model that records which messages were delivered.
 */
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { START_RULES, type ExecutionOptions, type TaskResult } from '@baobabpost/execution'
import type { EntryIdentity } from '@baobabpost/common'
import type { TaskOutcome } from '@baobabpost/messages'
import {
  announcedMessage, collectMessage, createAgentUnderTest, createGroup, dispatchMessage, FIRST_ENTRY, registersMessage,
  SECOND_ENTRY, withdrawMessage, type AgentUnderTest
} from './agent-under-test.js'

const SEED = Number(process.env['PROPERTY_SEED'] ?? 20_261_203)
const RUNS = Number(process.env['PROPERTY_RUNS'] ?? 1_500)
const LEASE_MILLISECONDS = 3_000
const PARTITION = 7
/** The submission with the highest number is a single call. */
const SINGLE_CALL_SUBMISSION = 2
/** Keeps the sum of all pauses below the retention period of a single call. */
const MAXIMUM_TOTAL_PAUSE_MILLISECONDS = 50_000
/** Epoch of a single call in the model; never stale. */
const SINGLE_CALL_EPOCH = Number.POSITIVE_INFINITY

/** Owners in the order of their epochs. */
const OWNERS: ReadonlyArray<{ entry: EntryIdentity, epoch: number }> = [
  { entry: FIRST_ENTRY, epoch: 10 }, { entry: SECOND_ENTRY, epoch: 20 }, { entry: FIRST_ENTRY, epoch: 30 }
]

interface DispatchStep {
  readonly owner: number
  readonly submission: number
  readonly indexes: number[]
  readonly validFor: number
  readonly urgent: boolean
  readonly attempt: number | undefined
}

type Step =
  | { readonly kind: 'dispatch' } & DispatchStep
  | { readonly kind: 'withdraw', readonly owner: number, readonly submission: number, readonly indexes: number[] }
  | { readonly kind: 'collect', readonly owner: number }
  | { readonly kind: 'announced', readonly back: number, readonly standing: 'joined' | 'pending' | 'departed' }
  | { readonly kind: 'evacuation', readonly back: number, readonly isEvacuated: boolean }
  | { readonly kind: 'complete', readonly which: number, readonly result: TaskResult }
  | { readonly kind: 'acknowledge', readonly which: number }
  | { readonly kind: 'pause', readonly milliseconds: number }
  | { readonly kind: 'tick' | 'flush' | 'leave' | 'reachable' }

const owner = fc.nat({ max: OWNERS.length - 1 })
const submission = fc.nat({ max: 2 })
const indexes = fc.uniqueArray(fc.nat({ max: 4 }), { minLength: 1, maxLength: 3 })
const result: fc.Arbitrary<TaskResult> = fc.constantFrom<TaskResult>(
  { kind: 'succeeded', answer: 1, answerBytes: 1 }, { kind: 'succeeded', answer: 2, answerBytes: 1 },
  { kind: 'failed', detail: 'no' }, { kind: 'silent' }, { kind: 'unreached' }
)
const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('dispatch' as const),
      owner,
      submission,
      indexes,
      validFor: fc.integer({ min: -500, max: 3_000 }),
      urgent: fc.boolean(),
      attempt: fc.option(fc.nat({ max: 3 }), { nil: undefined })
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('withdraw' as const), owner, submission, indexes }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('collect' as const), owner }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('announced' as const),
      back: fc.nat({ max: 8 }),
      standing: fc.constantFrom('joined' as const, 'joined' as const, 'joined' as const, 'joined' as const, 'pending' as const, 'departed' as const)
    })
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('evacuation' as const), back: fc.constantFrom(0, 0, 1), isEvacuated: fc.boolean()
    })
  },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('complete' as const), which: fc.nat({ max: 3 }), result }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('acknowledge' as const), which: fc.nat({ max: 20 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pause' as const), milliseconds: fc.constantFrom(10, 200, 700, 2_000, 4_000) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constantFrom('tick' as const, 'tick' as const, 'flush' as const, 'reachable' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const) }) }
)
const arbitrarySteps = fc.array(arbitraryStep, { minLength: 5, maxLength: 120, size: 'max' })

/** Expected state of one task. */
interface TaskModel {
  /** Starts, without calls that never reached the upstream. */
  startCount: number
  /** Number of the attempt that started last; 0 without a number. */
  lastStartedAttempt: number
  /** Highest attempt that was refused; -1 if none. */
  highestRefusedAttempt: number
  isWithdrawn: boolean
  /** Latest `startBefore` of the delivered dispatches that were not stale. */
  startBefore: number
  /** Highest epoch of the delivered dispatches that were not stale, or of a later collect. */
  epoch: number
  /** Whether a former owner's dispatch came before any other message about the task: refused, but may run later. */
  wasRefusedToFormerOwner: boolean
}

/** Applies the steps to an agent; returns all violations. */
function runSteps (sequence: readonly Step[], changes: Partial<ExecutionOptions>): string[] {
  const violations: string[] = []
  const tasks = new Map<string, TaskModel>()
  const announcedAt = new Map<number, number>()
  const reportedOutcomes = new Map<string, TaskOutcome[]>()
  let leaseUntil = 0
  let hasDeparted = false
  let isLeaving = false
  let isEvacuated = false
  let evacuationVersion = 0
  let highestEpoch = 0
  let pausedMilliseconds = 0
  const running: Array<{ submission: string, index: number }> = []
  const sequences: Array<{ to: EntryIdentity, sequence: number }> = []

  function modelOf (key: string): TaskModel {
    const model = tasks.get(key) ?? {
      startCount: 0,
      lastStartedAttempt: 0,
      highestRefusedAttempt: -1,
      isWithdrawn: false,
      startBefore: 0,
      epoch: 0,
      wasRefusedToFormerOwner: false
    }
    tasks.set(key, model)
    return model
  }

  const options = { slots: 2, leaseMilliseconds: LEASE_MILLISECONDS, ...changes }
  const agent: AgentUnderTest = createAgentUnderTest(options, task => {
    const key = `${task.submission}/${task.index}`
    const model = modelOf(key)
    const now = agent.now()
    const { attempt } = task.input
    model.startCount += 1
    model.lastStartedAttempt = typeof attempt === 'number' ? attempt : 0
    running.push(task)
    if (model.lastStartedAttempt <= model.highestRefusedAttempt) violations.push(`${key} started after it was refused`)
    if (model.startCount > 1) violations.push(`${key} started ${model.startCount} times`)
    if (model.isWithdrawn) violations.push(`${key} started after its withdrawal`)
    if (model.epoch < highestEpoch) violations.push(`${key} started under epoch ${model.epoch}, but epoch ${highestEpoch} was seen`)
    if (now >= model.startBefore) violations.push(`${key} started at ${now}, but had to start before ${model.startBefore}`)
    if (now >= leaseUntil || hasDeparted) violations.push(`${key} started without a lease`)
    if (isLeaving) violations.push(`${key} started while leaving`)
    if (isEvacuated) violations.push(`${key} started in an evacuated failure domain`)
    if (running.length > 2) violations.push('more tasks run than there are slots')
  })

  function recordSentMessages (): void {
    for (const { to, message } of agent.sent.splice(0)) {
      switch (message.method) {
        case 'announce':
          announcedAt.set(message.parameters.sequence, agent.now())
          break
        case 'report':
          sequences.push({ to, sequence: message.parameters.sequence })
          for (const { submission, tasks } of message.parameters.submissions) {
            for (const { index, outcome, attempt } of tasks) recordOutcome(`${submission}/${index}`, outcome, attempt)
          }
          break
        case 'collected':
          for (const { header, tasks } of message.parameters.submissions) {
            for (const { index, outcome } of tasks) recordOutcome(`${header.submission}/${index}`, outcome)
          }
          break
        default:
          violations.push(`unexpected message ${message.method}`)
      }
    }
    for (const { sequence: number } of agent.seedAnnounces.splice(0)) announcedAt.set(number, agent.now())
  }

  function recordOutcome (key: string, outcome: TaskOutcome | undefined, attempt?: number): void {
    if (outcome === undefined) return
    const model = modelOf(key)
    if (outcome.status === 'not-run' && !(model.wasRefusedToFormerOwner && isStale(outcome))) {
      if (model.startCount > 0) violations.push(`${key} was reported as not run (${outcome.reason}) but ran`)
      if (attempt !== undefined) model.highestRefusedAttempt = Math.max(model.highestRefusedAttempt, attempt)
    }
    reportedOutcomes.set(key, [...reportedOutcomes.get(key) ?? [], outcome])
  }

  function dispatch (step: Extract<Step, { kind: 'dispatch' }>): void {
    const { entry } = OWNERS[step.owner]!
    const epoch = step.submission === SINGLE_CALL_SUBMISSION ? SINGLE_CALL_EPOCH : OWNERS[step.owner]!.epoch
    const startBefore = agent.now() + step.validFor
    if (epoch >= highestEpoch) {
      if (epoch !== SINGLE_CALL_EPOCH) highestEpoch = epoch
      for (const index of step.indexes) {
        const model = modelOf(`s${step.submission}/${index}`)
        model.startBefore = Math.max(model.startBefore, startBefore)
        model.epoch = Math.max(model.epoch, epoch)
      }
    } else {
      for (const index of step.indexes) {
        const model = modelOf(`s${step.submission}/${index}`)
        if (model.epoch === 0 && !model.isWithdrawn) model.wasRefusedToFormerOwner = true
      }
    }
    const { ownership: owned, ...call } = createGroup(`s${step.submission}`, step.indexes, { startBefore, urgent: step.urgent })
    const ownership = owned === undefined ? undefined : { partition: PARTITION, epoch }
    const isCall = epoch === SINGLE_CALL_EPOCH || ownership === undefined
    const attemptFields = step.attempt === undefined ? {} : { attempt: step.attempt }
    const tasks = step.indexes.map(index => ({ index, input: attemptFields, ...attemptFields }))
    agent.receive(entry, dispatchMessage(isCall ? { ...call, tasks } : { ...call, ownership, tasks }))
  }

  function collect (place: number): void {
    const { entry, epoch } = OWNERS[place]!
    if (epoch > highestEpoch) {
      highestEpoch = epoch
      // Tasks that the new owner collects may run under its epoch.
      for (const model of tasks.values()) if (model.epoch > 0 && model.epoch !== SINGLE_CALL_EPOCH) model.epoch = epoch
    }
    agent.receive(entry, collectMessage(PARTITION, epoch))
  }

  function announced (step: Extract<Step, { kind: 'announced' }>): void {
    const numbers = [...announcedAt.keys()]
    const number = numbers.at(-1 - step.back)
    if (number === undefined) return
    if (step.standing === 'departed') hasDeparted = true
    else leaseUntil = Math.max(leaseUntil, (announcedAt.get(number) ?? 0) + LEASE_MILLISECONDS)
    agent.receive(SECOND_ENTRY, announcedMessage(number, [FIRST_ENTRY, SECOND_ENTRY], step.standing))
  }

  /** Delivers the next version of the evacuation, or a late copy of an earlier one, which changes nothing. */
  function evacuation (step: Extract<Step, { kind: 'evacuation' }>): void {
    if (step.back === 0) {
      evacuationVersion += 1
      isEvacuated = step.isEvacuated
    }
    const version = evacuationVersion - step.back
    if (version <= 0) return
    agent.receive(FIRST_ENTRY, registersMessage('evacuation/dakar-1', version, step.isEvacuated ? {} : null))
  }

  function complete (which: number, end: TaskResult): void {
    const [task] = running.splice(which, 1)
    if (task === undefined) return
    if (end.kind === 'unreached') {
      const model = modelOf(`${task.submission}/${task.index}`)
      model.startCount -= 1
      model.highestRefusedAttempt = Math.max(model.highestRefusedAttempt, model.lastStartedAttempt)
    }
    agent.execution.handleResult(task.submission, task.index, end, agent.now())
  }

  function perform (step: Step): void {
    switch (step.kind) {
      case 'dispatch':
        dispatch(step)
        break
      case 'withdraw':
        for (const index of step.indexes) modelOf(`s${step.submission}/${index}`).isWithdrawn = true
        agent.receive(OWNERS[step.owner]!.entry, withdrawMessage(`s${step.submission}`, step.indexes))
        break
      case 'collect':
        collect(step.owner)
        break
      case 'announced':
        announced(step)
        break
      case 'evacuation':
        evacuation(step)
        break
      case 'complete':
        complete(step.which, step.result)
        break
      case 'acknowledge': {
        const report = sequences.at(-1 - step.which)
        if (report === undefined) break
        agent.receive(report.to, { method: 'acknowledge', parameters: { sequences: [report.sequence] } })
        break
      }
      case 'pause':
        pausedMilliseconds += step.milliseconds
        if (pausedMilliseconds <= MAXIMUM_TOTAL_PAUSE_MILLISECONDS) agent.advance(step.milliseconds)
        break
      case 'tick':
        agent.tick()
        break
      case 'flush':
        agent.flush()
        break
      case 'leave':
        isLeaving = true
        agent.execution.leave(agent.now())
        break
      case 'reachable':
        agent.execution.handleUpstreamReachable(agent.now())
        break
    }
    recordSentMessages()
  }

  /** Completes all running tasks, and collects under a new epoch, so that the outcome of every task is reported. */
  function drain (): void {
    while (running.length > 0) complete(0, { kind: 'succeeded', answer: 3, answerBytes: 1 })
    agent.advance(10_000)
    perform({ kind: 'tick' })
    while (running.length > 0) complete(0, { kind: 'succeeded', answer: 3, answerBytes: 1 })
    agent.receive(SECOND_ENTRY, collectMessage(PARTITION, 99))
    perform({ kind: 'flush' })
  }

  for (const step of sequence) perform(step)
  drain()
  for (const [key, model] of tasks) violations.push(...checkOutcomes(key, model, reportedOutcomes.get(key) ?? []))
  return [...violations, ...agent.violations]
}

/** Compares the reported outcomes of a task with its model. */
function checkOutcomes (key: string, model: TaskModel, outcomes: readonly TaskOutcome[]): string[] {
  const violations: string[] = []
  const hasRun = model.startCount > 0
  const results = outcomes.filter(({ status }) => status !== 'not-run')
  if (results.length > 0 && !hasRun) violations.push(`${key} never ran but was reported as ${results[0]?.status}`)
  if (hasRun && results.length === 0) violations.push(`${key} ran but no result was reported`)
  if (new Set(results.map(outcome => JSON.stringify(outcome))).size > 1) violations.push(`${key} was reported with different results`)
  return violations
}

function isStale (outcome: TaskOutcome): boolean {
  return outcome.status === 'not-run' && outcome.reason === 'stale-epoch'
}

function findFailure (changes: Partial<ExecutionOptions>, numRuns: number) {
  const property = fc.property(arbitrarySteps, sequence => { expect(runSteps(sequence, changes)).toEqual([]) })
  return fc.check(property, { seed: SEED, numRuns })
}

describe('in random sequences of messages, losses, repetitions and pauses', () => {
  test(`the agent violates no rule in ${RUNS} runs`, () => {
    fc.assert(fc.property(arbitrarySteps, sequence => { expect(runSteps(sequence, {})).toEqual([]) }), {
      seed: SEED, numRuns: RUNS
    })
  })

  test.each(START_RULES.map(({ reason }) => reason))('an agent without the start rule %s is detected', reason => {
    const startRules = START_RULES.filter(rule => rule.reason !== reason)
    expect(findFailure({ startRules }, RUNS).failed).toBe(true)
  })

  test('an agent that evicts tasks too early is detected', () => {
    expect(findFailure({ keyWindowMilliseconds: 0, clockSkewMilliseconds: 0 }, RUNS).failed).toBe(true)
  })
})
