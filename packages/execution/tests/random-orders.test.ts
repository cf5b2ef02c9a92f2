/** Random orders of messages, losses, repetitions and pauses, judged by an oracle that knows what was delivered. */
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { START_RULES, type ExecutionOptions, type TaskResult } from '@baobabpost/execution'
import type { EntryIdentity } from '@baobabpost/common'
import type { TaskOutcome } from '@baobabpost/messages'
import {
  announcedMessage, collectMessage, createAgentUnderTest, createGroup, dispatchMessage, FIRST_ENTRY, SECOND_ENTRY,
  withdrawMessage, type AgentUnderTest
} from './agent-under-test.js'

const SEED = Number(process.env['PROPERTY_SEED'] ?? 20_261_203)
const RUNS = Number(process.env['PROPERTY_RUNS'] ?? 1_500)
const LEASE_MILLISECONDS = 3_000
const PARTITION = 7
/** The last of the submissions is a single call. */
const CALL = 2
/** All pauses together stay below the time for which a single call is remembered. */
const MAXIMUM_PAUSES_MILLISECONDS = 50_000
/** Epoch of what no partition owns. */
const NO_EPOCH = Number.POSITIVE_INFINITY

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
const step: fc.Arbitrary<Step> = fc.oneof(
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
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('complete' as const), which: fc.nat({ max: 3 }), result }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('acknowledge' as const), which: fc.nat({ max: 20 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pause' as const), milliseconds: fc.constantFrom(10, 200, 700, 2_000, 4_000) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constantFrom('tick' as const, 'tick' as const, 'flush' as const, 'reachable' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const) }) }
)
const steps = fc.array(step, { minLength: 5, maxLength: 120, size: 'max' })

/** What the oracle knows of one task. */
interface Knowledge {
  /** Starts that were not proven to have never reached the upstream. */
  starts: number
  /** Attempt that started last. */
  startedAttempt: number
  /** Highest attempt that was refused; without a number it is refused for good. */
  refusedAttempt: number
  withdrawn: boolean
  /** Latest `startBefore`, and highest epoch, of the dispatches that were delivered while they could be taken in. */
  startBefore: number
  epoch: number
  /** A former owner's dispatch came before any other word of the task: it was refused, and may still run later. */
  refusedToFormer: boolean
}

/** Plays the steps against an agent; gives back every promise that was broken. */
function play (sequence: readonly Step[], changes: Partial<ExecutionOptions>): string[] {
  const broken: string[] = []
  const tasks = new Map<string, Knowledge>()
  const announcedAt = new Map<number, number>()
  const told = new Map<string, TaskOutcome[]>()
  let leaseUntil = 0
  let departed = false
  let leaving = false
  let highestEpoch = 0
  let paused = 0
  const running: Array<{ submission: string, index: number }> = []
  const sequences: Array<{ to: EntryIdentity, sequence: number }> = []

  function know (key: string): Knowledge {
    const known = tasks.get(key) ?? {
      starts: 0,
      startedAttempt: 0,
      refusedAttempt: -1,
      withdrawn: false,
      startBefore: 0,
      epoch: 0,
      refusedToFormer: false
    }
    tasks.set(key, known)
    return known
  }

  const options = { slots: 2, leaseMilliseconds: LEASE_MILLISECONDS, ...changes }
  const agent: AgentUnderTest = createAgentUnderTest(options, task => {
    const key = `${task.submission}/${task.index}`
    const known = know(key)
    const now = agent.now()
    const { attempt } = task.input
    known.starts += 1
    known.startedAttempt = typeof attempt === 'number' ? attempt : 0
    running.push(task)
    if (known.startedAttempt <= known.refusedAttempt) broken.push(`${key} started after it was refused`)
    if (known.starts > 1) broken.push(`${key} started ${known.starts} times`)
    if (known.withdrawn) broken.push(`${key} started after its withdrawal`)
    if (known.epoch < highestEpoch) broken.push(`${key} started under ${known.epoch} after ${highestEpoch}`)
    if (now >= known.startBefore) broken.push(`${key} started after its time`)
    if (now >= leaseUntil || departed) broken.push(`${key} started without a lease`)
    if (leaving) broken.push(`${key} started while leaving`)
    if (running.length > 2) broken.push('more run than there are slots')
  })

  function observe (): void {
    for (const { to, message } of agent.sent.splice(0)) {
      switch (message.method) {
        case 'announce':
          announcedAt.set(message.parameters.sequence, agent.now())
          break
        case 'report':
          sequences.push({ to, sequence: message.parameters.sequence })
          for (const { submission, tasks } of message.parameters.submissions) {
            for (const { index, outcome, attempt } of tasks) tell(`${submission}/${index}`, outcome, attempt)
          }
          break
        case 'collected':
          for (const { header, tasks } of message.parameters.submissions) {
            for (const { index, outcome } of tasks) tell(`${header.submission}/${index}`, outcome)
          }
          break
        default:
          broken.push(`unexpected ${message.method}`)
      }
    }
    for (const { sequence: number } of agent.seedAnnounces.splice(0)) announcedAt.set(number, agent.now())
  }

  function tell (key: string, outcome: TaskOutcome | undefined, attempt?: number): void {
    if (outcome === undefined) return
    const known = know(key)
    if (outcome.status === 'not-run' && !(known.refusedToFormer && isStale(outcome))) {
      if (known.starts > 0) broken.push(`${key} was told not run (${outcome.reason}) but ran`)
      if (attempt !== undefined) known.refusedAttempt = Math.max(known.refusedAttempt, attempt)
    }
    told.set(key, [...told.get(key) ?? [], outcome])
  }

  function dispatch (one: Extract<Step, { kind: 'dispatch' }>): void {
    const { entry } = OWNERS[one.owner]!
    const epoch = one.submission === CALL ? NO_EPOCH : OWNERS[one.owner]!.epoch
    const startBefore = agent.now() + one.validFor
    if (epoch >= highestEpoch) {
      if (epoch !== NO_EPOCH) highestEpoch = epoch
      for (const index of one.indexes) {
        const known = know(`s${one.submission}/${index}`)
        known.startBefore = Math.max(known.startBefore, startBefore)
        known.epoch = Math.max(known.epoch, epoch)
      }
    } else {
      for (const index of one.indexes) {
        const known = know(`s${one.submission}/${index}`)
        if (known.epoch === 0 && !known.withdrawn) known.refusedToFormer = true
      }
    }
    const { ownership: owned, ...call } = createGroup(`s${one.submission}`, one.indexes, { startBefore, urgent: one.urgent })
    const ownership = owned === undefined ? undefined : { partition: PARTITION, epoch }
    const isCall = epoch === NO_EPOCH || ownership === undefined
    const numbered = one.attempt === undefined ? {} : { attempt: one.attempt }
    const tasks = one.indexes.map(index => ({ index, input: numbered, ...numbered }))
    agent.receive(entry, dispatchMessage(isCall ? { ...call, tasks } : { ...call, ownership, tasks }))
  }

  function collect (place: number): void {
    const { entry, epoch } = OWNERS[place]!
    if (epoch > highestEpoch) {
      highestEpoch = epoch
      // What the new owner was told of may run under its epoch.
      for (const known of tasks.values()) if (known.epoch > 0 && known.epoch !== NO_EPOCH) known.epoch = epoch
    }
    agent.receive(entry, collectMessage(PARTITION, epoch))
  }

  function announced (one: Extract<Step, { kind: 'announced' }>): void {
    const numbers = [...announcedAt.keys()]
    const number = numbers.at(-1 - one.back)
    if (number === undefined) return
    if (one.standing === 'departed') departed = true
    else leaseUntil = Math.max(leaseUntil, (announcedAt.get(number) ?? 0) + LEASE_MILLISECONDS)
    agent.receive(SECOND_ENTRY, announcedMessage(number, [FIRST_ENTRY, SECOND_ENTRY], one.standing))
  }

  function complete (which: number, end: TaskResult): void {
    const [task] = running.splice(which, 1)
    if (task === undefined) return
    if (end.kind === 'unreached') {
      const known = know(`${task.submission}/${task.index}`)
      known.starts -= 1
      known.refusedAttempt = Math.max(known.refusedAttempt, known.startedAttempt)
    }
    agent.execution.handleResult(task.submission, task.index, end, agent.now())
  }

  function perform (one: Step): void {
    switch (one.kind) {
      case 'dispatch':
        dispatch(one)
        break
      case 'withdraw':
        for (const index of one.indexes) know(`s${one.submission}/${index}`).withdrawn = true
        agent.receive(OWNERS[one.owner]!.entry, withdrawMessage(`s${one.submission}`, one.indexes))
        break
      case 'collect':
        collect(one.owner)
        break
      case 'announced':
        announced(one)
        break
      case 'complete':
        complete(one.which, one.result)
        break
      case 'acknowledge': {
        const report = sequences.at(-1 - one.which)
        if (report === undefined) break
        agent.receive(report.to, { method: 'acknowledge', parameters: { sequences: [report.sequence] } })
        break
      }
      case 'pause':
        paused += one.milliseconds
        if (paused <= MAXIMUM_PAUSES_MILLISECONDS) agent.pass(one.milliseconds)
        break
      case 'tick':
        agent.tick()
        break
      case 'flush':
        agent.flush()
        break
      case 'leave':
        leaving = true
        agent.execution.leave(agent.now())
        break
      case 'reachable':
        agent.execution.handleUpstreamReachable(agent.now())
        break
    }
    observe()
  }

  /** Ends all that runs, and collects under a new epoch: now all that is known must be told. */
  function settle (): void {
    while (running.length > 0) complete(0, { kind: 'succeeded', answer: 3, answerBytes: 1 })
    agent.pass(10_000)
    perform({ kind: 'tick' })
    while (running.length > 0) complete(0, { kind: 'succeeded', answer: 3, answerBytes: 1 })
    agent.receive(SECOND_ENTRY, collectMessage(PARTITION, 99))
    perform({ kind: 'flush' })
  }

  for (const one of sequence) perform(one)
  settle()
  for (const [key, known] of tasks) broken.push(...judge(key, known, told.get(key) ?? []))
  return [...broken, ...agent.violations]
}

/** Compares what was told of a task's end with what was done to it. */
function judge (key: string, known: Knowledge, told: readonly TaskOutcome[]): string[] {
  const faults: string[] = []
  const ran = known.starts > 0
  const ends = told.filter(({ status }) => status !== 'not-run')
  if (ends.length > 0 && !ran) faults.push(`${key} never ran but was told ${ends[0]?.status}`)
  if (ran && ends.length === 0) faults.push(`${key} ran and nobody was told`)
  if (new Set(ends.map(outcome => JSON.stringify(outcome))).size > 1) faults.push(`${key} was told differently`)
  return faults
}

function isStale (outcome: TaskOutcome): boolean {
  return outcome.status === 'not-run' && outcome.reason === 'stale-epoch'
}

function findFailure (changes: Partial<ExecutionOptions>, numRuns: number) {
  const property = fc.property(steps, sequence => { expect(play(sequence, changes)).toEqual([]) })
  return fc.check(property, { seed: SEED, numRuns })
}

describe('in any order of messages, losses, repetitions and pauses', () => {
  test(`no promise of the agent is broken in ${RUNS} random runs`, () => {
    fc.assert(fc.property(steps, sequence => { expect(play(sequence, {})).toEqual([]) }), { seed: SEED, numRuns: RUNS })
  })

  test.each(START_RULES.map(({ reason }) => reason))('an agent without the rule %s is found out', reason => {
    const startRules = START_RULES.filter(rule => rule.reason !== reason)
    expect(findFailure({ startRules }, RUNS).failed).toBe(true)
  })

  test('an agent that forgets too early is found out', () => {
    expect(findFailure({ keyWindowMilliseconds: 0, clockSkewMilliseconds: 0 }, RUNS).failed).toBe(true)
  })
})
