/**
 * Soak run: random load and faults in cycles of a fault phase, a recovery phase and a calm phase. The guarantees are
 * checked at every start and every answer; work submitted in the calm phase must succeed.
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
const FAULT_PHASE_MILLISECONDS = 40_000
const RECOVERY_PHASE_MILLISECONDS = 25_000
const CALM_PHASE_MILLISECONDS = 10_000
const MAXIMUM_CALLERS = 16
const MAXIMUM_JOB_TASKS = 24
const MAXIMUM_WAIT_MILLISECONDS = 30_000
const REQUEST_WAIT_MILLISECONDS = 6_000
const RUN_LOG_RETENTION_MILLISECONDS = 4 * SETTINGS.keyWindowMilliseconds
const MAXIMUM_VIOLATIONS = 20

export interface SoakOptions {
  readonly seed: number
  readonly maximumSteps: number
  /** Whether to run another cycle; called after each one that ends below `maximumSteps`. */
  readonly mayContinue?: () => boolean
  /** Replaces options of every agent, to weaken its fencing on purpose. */
  readonly agentOverrides?: Partial<ExecutionOptions>
  /** Called with the fleet before the run, to trace a failure. */
  readonly observe?: (fleet: SimulatedFleet) => void
}

export interface SoakResult {
  readonly seed: number
  /** Number of events processed by entries and agents. */
  readonly stepCount: number
  readonly cycleCount: number
  readonly faultCount: number
  readonly submissionCount: number
  readonly callCount: number
  readonly startCount: number
  readonly checkCount: number
  /** Number of submissions and calls by kind of work and final state. */
  readonly finalStates: ReadonlyMap<string, number>
  readonly violations: readonly Violation[]
}

/** Actions planned at simulated times. */
interface Schedule {
  readonly after: (milliseconds: number, action: () => void) => void
  /** Runs the actions that are due. */
  readonly run: () => void
  /** Runs all planned actions immediately. */
  readonly runAll: () => void
}

function createSchedule (fleet: SimulatedFleet): Schedule {
  let scheduled: { readonly at: number, readonly action: () => void }[] = []
  function runMatching (condition: (at: number) => boolean): void {
    const due = scheduled.filter(({ at }) => condition(at))
    if (due.length === 0) return
    scheduled = scheduled.filter(({ at }) => !condition(at))
    for (const { action } of due) action()
  }
  return {
    after (milliseconds, action) { scheduled.push({ at: fleet.now() + milliseconds, action }) },
    run: () => { runMatching(at => at <= fleet.now()) },
    runAll: () => { runMatching(() => true) }
  }
}

/** Whether the owner of a key cannot know if the submission ran under an earlier owner. */
function isUncertain (fleet: SimulatedFleet, key: SubmissionKey): boolean {
  for (const entry of fleet.entries()) {
    const state = entry.core.components.ownership.partitionState(partitionOf(key))
    if (state.kind === 'ours' && submissionKeyTime(key) < state.uncertainBefore) return true
  }
  return false
}

/** Runs cycles until `maximumSteps`, `mayContinue` or the number of violations ends the run. */
export function runSoak (options: SoakOptions): SoakResult {
  const random = createRandom(options.seed)
  const fleet = createSimulatedFleet({
    random,
    settings: SETTINGS,
    entryCount: ENTRY_COUNT,
    agentCount: AGENT_COUNT,
    runMilliseconds: () => random.below(8) === 0 ? 2_500 : 300,
    agentOverrides: options.agentOverrides ?? {}
  })
  options.observe?.(fleet)
  const schedule = createSchedule(fleet)
  const finalStates = new Map<string, number>()
  let submissionCallers: SubmissionCaller[] = []
  let callCallers: CallCaller[] = []
  let faultCount = 0
  let callCount = 0
  let cycleCount = 0

  function countFinalState (name: string): void {
    finalStates.set(name, (finalStates.get(name) ?? 0) + 1)
  }

  function addSubmission (): SubmissionCaller {
    const caller = createSubmissionCaller(fleet, {
      taskCount: 1 + random.below(MAXIMUM_JOB_TASKS),
      requestWaitMilliseconds: REQUEST_WAIT_MILLISECONDS,
      maximumWaitMilliseconds: MAXIMUM_WAIT_MILLISECONDS
    })
    submissionCallers.push(caller)
    return caller
  }

  function addCall (): void {
    callCount += 1
    callCallers.push(createCallCaller(fleet, random.below(3) === 0))
  }

  function disturbCaller (): void {
    const caller = submissionCallers[random.below(Math.max(1, submissionCallers.length))]
    switch (random.below(40)) {
      case 0:
        caller?.cancel()
        return
      case 1:
      case 2:
        caller?.resubmit()
        return
      case 3:
        caller?.disconnect()
    }
  }

  function applyLoad (): void {
    if (submissionCallers.length < MAXIMUM_CALLERS && random.below(30) === 0) addSubmission()
    if (random.below(40) === 0) addCall()
    if (submissionCallers.length > 0) disturbCaller()
    for (const caller of submissionCallers) caller.tick()
    submissionCallers = submissionCallers.filter(caller => {
      const finalState = caller.finalState()
      if (finalState === undefined) return true
      countFinalState(`submission ${finalState}`)
      if (random.below(3) === 0) caller.resubmit()
      return false
    })
    callCallers = callCallers.filter(call => {
      const finalState = call.finalState()
      if (finalState !== undefined) countFinalState(`call ${finalState}`)
      return finalState === undefined
    })
  }

  function advance (): void {
    fleet.advance()
    schedule.run()
    applyLoad()
  }

  function runFaultPhase (): void {
    const endsAt = fleet.now() + FAULT_PHASE_MILLISECONDS
    let nextFaultAt = fleet.now() + random.below(2_000)
    while (fleet.now() < endsAt && fleet.stepCount() < options.maximumSteps) {
      if (fleet.now() >= nextFaultAt) {
        SOAK_FAULTS[random.below(SOAK_FAULTS.length)]?.inject(fleet, schedule.after)
        faultCount += 1
        nextFaultAt = fleet.now() + random.below(3_000)
      }
      advance()
    }
  }

  function runRecoveryPhase (): void {
    schedule.runAll()
    fleet.healCuts()
    fleet.setMessageOutcome(() => 'deliver')
    for (const node of [...fleet.entries(), ...fleet.agents()]) node.pausedUntil = 0
    for (let count = fleet.entries().length; count < ENTRY_COUNT; count += 1) fleet.addEntry()
    for (let count = fleet.agents().length; count < AGENT_COUNT; count += 1) fleet.addAgent()
    const endsAt = fleet.now() + RECOVERY_PHASE_MILLISECONDS
    while (fleet.now() < endsAt) advance()
  }

  /** Checks that work submitted after the recovery succeeds. */
  function runCalmPhase (): void {
    const newCallers = [addSubmission(), addSubmission(), addSubmission()]
    const endsAt = fleet.now() + CALM_PHASE_MILLISECONDS
    while (fleet.now() < endsAt) {
      fleet.advance()
      for (const caller of submissionCallers) caller.tick()
    }
    for (const caller of newCallers) {
      if (caller.finalState() === 'complete') continue
      if (isUncertain(fleet, caller.key)) {
        countFinalState('submission uncertain in calm phase')
        continue
      }
      const detail = `${caller.key}: ${caller.finalState()} ${caller.lastProblem()}`
      fleet.runLog.recordViolation('in the calm, work succeeds', detail, fleet.now())
    }
  }

  function shouldContinue (): boolean {
    return fleet.stepCount() < options.maximumSteps && fleet.runLog.violations().length < MAXIMUM_VIOLATIONS &&
      (options.mayContinue?.() ?? true)
  }

  do {
    runFaultPhase()
    runRecoveryPhase()
    runCalmPhase()
    cycleCount += 1
    fleet.runLog.forgetBefore(fleet.now() - RUN_LOG_RETENTION_MILLISECONDS)
  } while (shouldContinue())

  return {
    seed: options.seed,
    stepCount: fleet.stepCount(),
    cycleCount,
    faultCount,
    submissionCount: fleet.runLog.submissionCount(),
    callCount,
    startCount: fleet.runLog.startCount(),
    checkCount: fleet.runLog.checkCount(),
    finalStates,
    violations: fleet.runLog.violations()
  }
}
