/**
 * The randomised run: load and faults by chance, in cycles that end with a calm. Every promise is checked at every
 * start and every answer; in the calm, work has to succeed.
 */
import { createRandom, partitionOf, type SubmissionKey, submissionKeyTime } from '@baobabpost/common'
import type { ExecutionOptions } from '@baobabpost/execution'
import { type CallCaller, createCallCaller, createSubmissionCaller, type SubmissionCaller } from './callers.js'
import type { Violation } from './run-log.js'
import { SOAK_FAULTS } from './soak-faults.js'
import { createSimulatedFleet, type SimulatedFleet } from './simulated-fleet.js'

const ENTRY_COUNT = 3
const AGENT_COUNT = 5
const SETTINGS = { keyWindowMilliseconds: 60_000, clockSkewMilliseconds: 200 }
const STORM_MILLISECONDS = 40_000
const HEAL_MILLISECONDS = 25_000
const CALM_MILLISECONDS = 10_000
const MOST_CALLERS = 16
const LONGEST_JOB_TASKS = 24
const PATIENCE_MILLISECONDS = 30_000
const WAIT_MILLISECONDS = 6_000
const MEMORY_MILLISECONDS = 4 * SETTINGS.keyWindowMilliseconds
const MOST_VIOLATIONS = 20

/** How long a run goes on: until either bound is reached. */
export interface SoakOptions {
  readonly seed: number
  readonly maximumSteps: number
  /** Tells whether to go on, asked after each cycle. */
  readonly goesOn?: () => boolean
  /** Changes to the options of every agent, to break its fence on purpose. */
  readonly agentChanges?: Partial<ExecutionOptions>
  /** Shows the fleet before it runs, so that a fault can be traced. */
  readonly observe?: (world: SimulatedFleet) => void
}

/** What a run showed. */
export interface SoakResult {
  readonly seed: number
  /** Events that the decisions were given. */
  readonly steps: number
  readonly cycles: number
  readonly faults: number
  readonly submissions: number
  readonly calls: number
  readonly starts: number
  readonly checks: number
  /** Ends of submissions and calls by kind. */
  readonly ends: ReadonlyMap<string, number>
  readonly violations: readonly Violation[]
}

/** Things that are to happen at a time. */
interface Plan {
  readonly after: (milliseconds: number, action: () => void) => void
  /** Does what is due. */
  readonly run: () => void
  /** Does everything at once. */
  readonly runAll: () => void
}

function createPlan (world: SimulatedFleet): Plan {
  let planned: { readonly at: number, readonly action: () => void }[] = []
  function take (condition: (at: number) => boolean): void {
    const due = planned.filter(({ at }) => condition(at))
    if (due.length === 0) return
    planned = planned.filter(({ at }) => !condition(at))
    for (const { action } of due) action()
  }
  return {
    after (milliseconds, action) { planned.push({ at: world.now() + milliseconds, action }) },
    run: () => { take(at => at <= world.now()) },
    runAll: () => { take(() => true) }
  }
}

/** Whether the owner of a key truly can't tell whether an earlier owner has run it. */
function isUncertain (world: SimulatedFleet, key: SubmissionKey): boolean {
  for (const entry of world.entries()) {
    const state = entry.core.components.ownership.partitionState(partitionOf(key))
    if (state.kind === 'ours' && submissionKeyTime(key) < state.uncertainBefore) return true
  }
  return false
}

/** Runs the cycles. */
export function runSoak (options: SoakOptions): SoakResult {
  const random = createRandom(options.seed)
  const world = createSimulatedFleet({
    random,
    settings: SETTINGS,
    entryCount: ENTRY_COUNT,
    agentCount: AGENT_COUNT,
    runMilliseconds: () => random.below(8) === 0 ? 2_500 : 300,
    agentChanges: options.agentChanges ?? {}
  })
  options.observe?.(world)
  const plan = createPlan(world)
  const ends = new Map<string, number>()
  let submissionCallers: SubmissionCaller[] = []
  let callCallers: CallCaller[] = []
  let faults = 0
  let calls = 0
  let cycles = 0

  function noteEnd (name: string): void {
    ends.set(name, (ends.get(name) ?? 0) + 1)
  }

  function addSubmission (): SubmissionCaller {
    const caller = createSubmissionCaller(world, {
      taskCount: 1 + random.below(LONGEST_JOB_TASKS),
      waitMilliseconds: WAIT_MILLISECONDS,
      patienceMilliseconds: PATIENCE_MILLISECONDS
    })
    submissionCallers.push(caller)
    return caller
  }

  function addCall (): void {
    calls += 1
    callCallers.push(createCallCaller(world, random.below(3) === 0))
  }

  function bother (): void {
    const caller = submissionCallers[random.below(Math.max(1, submissionCallers.length))]
    switch (random.below(40)) {
      case 0:
        caller?.cancel()
        return
      case 1:
      case 2:
        caller?.submitAgain()
        return
      case 3:
        caller?.breakOff()
    }
  }

  function load (): void {
    if (submissionCallers.length < MOST_CALLERS && random.below(30) === 0) addSubmission()
    if (random.below(40) === 0) addCall()
    if (submissionCallers.length > 0) bother()
    for (const caller of submissionCallers) caller.tick()
    submissionCallers = submissionCallers.filter(caller => {
      const end = caller.end()
      if (end === undefined) return true
      noteEnd(`submission ${end}`)
      if (random.below(3) === 0) caller.submitAgain()
      return false
    })
    callCallers = callCallers.filter(call => {
      const end = call.end()
      if (end !== undefined) noteEnd(`call ${end}`)
      return end === undefined
    })
  }

  function advance (): void {
    world.advance()
    plan.run()
    load()
  }

  function storm (): void {
    const end = world.now() + STORM_MILLISECONDS
    let nextFaultAt = world.now() + random.below(2_000)
    while (world.now() < end && world.steps() < options.maximumSteps) {
      if (world.now() >= nextFaultAt) {
        SOAK_FAULTS[random.below(SOAK_FAULTS.length)]?.strike(world, plan.after)
        faults += 1
        nextFaultAt = world.now() + random.below(3_000)
      }
      advance()
    }
  }

  function heal (): void {
    plan.runAll()
    world.healCuts()
    world.setFate(() => 'deliver')
    for (const node of [...world.entries(), ...world.agents()]) node.pausedUntil = 0
    for (let count = world.entries().length; count < ENTRY_COUNT; count += 1) world.addEntry()
    for (let count = world.agents().length; count < AGENT_COUNT; count += 1) world.addAgent()
    const end = world.now() + HEAL_MILLISECONDS
    while (world.now() < end) advance()
  }

  /** Work that begins once all is well has to succeed. */
  function calm (): void {
    const fresh = [addSubmission(), addSubmission(), addSubmission()]
    const end = world.now() + CALM_MILLISECONDS
    while (world.now() < end) {
      world.advance()
      for (const caller of submissionCallers) caller.tick()
    }
    for (const caller of fresh) {
      if (caller.end() === 'complete') continue
      if (isUncertain(world, caller.key)) {
        noteEnd('submission uncertain in the calm')
        continue
      }
      const detail = `${caller.key}: ${caller.end()} ${caller.lastProblem()}`
      world.ledger.violate('in the calm, work succeeds', detail, world.now())
    }
  }

  function mayGoOn (): boolean {
    return world.steps() < options.maximumSteps && world.ledger.violations().length < MOST_VIOLATIONS &&
      (options.goesOn?.() ?? true)
  }

  do {
    storm()
    heal()
    calm()
    cycles += 1
    world.ledger.forget(world.now() - MEMORY_MILLISECONDS)
  } while (mayGoOn())

  return {
    seed: options.seed,
    steps: world.steps(),
    cycles,
    faults,
    submissions: world.ledger.submissionCount(),
    calls,
    starts: world.ledger.startCount(),
    checks: world.ledger.checks(),
    ends,
    violations: world.ledger.violations()
  }
}
