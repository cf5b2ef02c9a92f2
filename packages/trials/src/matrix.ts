/** Fault matrix: every fault at every step in the lifecycle of a submission and of a single call. */
import { createRandom, partitionOf, type SubmissionKey } from '@baobabpost/common'
import type { ExecutionOptions } from '@baobabpost/execution'
import { type CallCaller, createCallCaller, createSubmissionCaller, type SubmissionCaller } from './callers.js'
import { type Fault, FAULTS, type FaultContext } from './matrix-faults.js'
import type { Violation } from './run-log.js'
import type { MessageEnvelope } from './memory-network.js'
import type { AgentNode, EntryNode } from './simulated-nodes.js'
import { CALL_STEPS, isAboutWork, type LifecycleStep, SUBMISSION_STEPS } from './lifecycle-steps.js'
import { createSimulatedFleet, ownerSeenBy, type SimulatedFleet } from './simulated-fleet.js'

const ENTRY_COUNT = 3
const AGENT_COUNT = 4
const TASK_COUNT = 40
const SETTLE_MILLISECONDS = 5_000
const MAXIMUM_WAIT_MILLISECONDS = 45_000
const MAXIMUM_CALL_MILLISECONDS = 25_000
const LATE_MESSAGE_MILLISECONDS = 4_000
const REPLACEMENT_DELAY_MILLISECONDS = 3_000
const REQUEST_WAIT_MILLISECONDS = 10_000
const SETTINGS = { keyWindowMilliseconds: 120_000, clockSkewMilliseconds: 200 }

export type WorkKind = 'submission' | 'call'

/** Cell of the matrix: a fault at a step. */
export interface Cell {
  readonly workKind: WorkKind
  readonly fault: Fault
  readonly step: LifecycleStep
}

export interface CellResult {
  readonly cell: Cell
  /** Whether the step was reached, so that the fault was injected. */
  readonly wasInjected: boolean
  /** Final state of the submission or call; `none` if it had none at the time limit. */
  readonly finalState: string
  readonly violations: readonly Violation[]
  readonly checkCount: number
  readonly stepCount: number
  /** Time from the fault, or from the start if there was none, to the final answer or the time limit. */
  readonly milliseconds: number
}

/** Returns all cells: every combination of fault and step. */
export function matrixCells (): readonly Cell[] {
  const cells: Cell[] = []
  for (const fault of FAULTS) {
    for (const step of SUBMISSION_STEPS) cells.push({ workKind: 'submission', fault, step })
    for (const step of CALL_STEPS) cells.push({ workKind: 'call', fault, step })
  }
  return cells
}

/** Creates a fleet and runs it for the time that its entries and agents need to become ready. */
export function createSettledFleet (seed: number, agentOverrides: Partial<ExecutionOptions> = {}): SimulatedFleet {
  const fleet = createSimulatedFleet({
    random: createRandom(seed),
    settings: SETTINGS,
    entryCount: ENTRY_COUNT,
    agentCount: AGENT_COUNT,
    runMilliseconds: () => 250,
    agentOverrides
  })
  advanceFor(fleet, SETTLE_MILLISECONDS)
  return fleet
}

function advanceFor (fleet: SimulatedFleet, milliseconds: number): void {
  const endsAt = fleet.now() + milliseconds
  while (fleet.now() < endsAt) fleet.advance()
}

/** Actions planned at simulated times. */
interface Schedule {
  add: (milliseconds: number, action: () => void) => void
  /** Runs the actions that are due. */
  run: () => void
}

function createSchedule (fleet: SimulatedFleet): Schedule {
  let scheduled: { readonly at: number, readonly action: () => void }[] = []
  return {
    add (milliseconds, action) { scheduled.push({ at: fleet.now() + milliseconds, action }) },
    run () {
      const due = scheduled.filter(({ at }) => at <= fleet.now())
      if (due.length === 0) return
      scheduled = scheduled.filter(({ at }) => at > fleet.now())
      for (const { action } of due) action()
    }
  }
}

/** Returns the entry that regards itself as the owner of a key. */
function ownerOf (fleet: SimulatedFleet, key: SubmissionKey): EntryNode | undefined {
  for (const entry of fleet.entries()) {
    if (ownerSeenBy(entry, partitionOf(key)) === entry.identity) return entry
  }
  return undefined
}

/** Starts a new process for each dead one, as the platform does. */
function replaceDeadProcesses (fleet: SimulatedFleet): void {
  for (let count = fleet.entries().length; count < ENTRY_COUNT; count += 1) fleet.addEntry()
  for (let count = fleet.agents().length; count < AGENT_COUNT; count += 1) fleet.addAgent()
}

/** Runs one cell. `agentOverrides` replaces options of every agent, to weaken its fencing on purpose. */
export function runCell (cell: Cell, seed: number, agentOverrides: Partial<ExecutionOptions> = {}): CellResult {
  const fleet = createSettledFleet(seed, agentOverrides)
  const schedule = createSchedule(fleet)
  const stepsBefore = fleet.stepCount()
  let caller: SubmissionCaller | undefined
  let call: CallCaller | undefined
  let receivingEntry: EntryNode | undefined
  let agent: AgentNode | undefined
  let injectedAt: number | undefined
  let occurrences = 0
  const startsBefore = fleet.runLog.startCount()
  const { trigger } = cell.step

  function matchesSubmission (submission: string): boolean {
    return caller === undefined ? submission.includes('/') : submission === caller.key
  }

  function inject (envelope: MessageEnvelope | undefined): void {
    injectedAt = fleet.now()
    const context: FaultContext = {
      fleet,
      receivingEntry,
      owner: caller === undefined ? receivingEntry : ownerOf(fleet, caller.key),
      agent: agent ?? fleet.agents()[0],
      envelope,
      caller,
      after: schedule.add
    }
    cell.fault.inject(context)
    schedule.add(REPLACEMENT_DELAY_MILLISECONDS, () => { replaceDeadProcesses(fleet) })
    schedule.add(2 * REPLACEMENT_DELAY_MILLISECONDS, () => { replaceDeadProcesses(fleet) })
  }

  function observeMessage (envelope: MessageEnvelope): void {
    if (injectedAt !== undefined || !isAboutWork(envelope.message, matchesSubmission)) return
    if (envelope.message.method === 'dispatch') agent ??= fleet.agents().find(node => node.identity === envelope.to)
    if (trigger.kind !== 'message' || envelope.message.method !== trigger.method) return
    occurrences += 1
    if (occurrences === trigger.occurrence) inject(envelope)
  }

  function startWork (): void {
    if (cell.workKind === 'call') {
      receivingEntry = fleet.entries()[0]
      call = createCallCaller(fleet, false, receivingEntry)
      return
    }
    caller = createSubmissionCaller(fleet, {
      taskCount: TASK_COUNT,
      requestWaitMilliseconds: REQUEST_WAIT_MILLISECONDS,
      maximumWaitMilliseconds: MAXIMUM_WAIT_MILLISECONDS,
      chooseFirstEntry: key => {
        const owner = ownerOf(fleet, key)
        receivingEntry = fleet.entries().find(entry => entry !== owner)
        return receivingEntry
      }
    })
  }

  function injectAtTime (): void {
    if (injectedAt !== undefined) return
    if (trigger.kind === 'time' && fleet.now() >= startedAt + trigger.milliseconds) inject(undefined)
    if (trigger.kind !== 'start' || fleet.runLog.startCount() === startsBefore) return
    firstStartAt ??= fleet.now()
    if (fleet.now() >= firstStartAt + trigger.milliseconds) inject(undefined)
  }

  function isFinished (): boolean {
    const finalState = caller?.finalState() ?? call?.finalState()
    return finalState !== undefined && (injectedAt !== undefined || trigger.kind !== 'time')
  }

  let firstStartAt: number | undefined
  const startedAt = fleet.now()
  fleet.onSend(observeMessage)
  startWork()
  const latestEndAt = startedAt + (cell.workKind === 'call' ? MAXIMUM_CALL_MILLISECONDS : MAXIMUM_WAIT_MILLISECONDS) + 1_000
  let finishedAt: number | undefined
  while (fleet.now() < latestEndAt && !(isFinished() && finishedAt !== undefined && fleet.now() >= finishedAt)) {
    injectAtTime()
    fleet.advance()
    schedule.run()
    caller?.tick()
    if (isFinished()) finishedAt ??= fleet.now()
  }
  finish()

  /** Submits once more to compare the answers, waits for late messages, and checks the final state. */
  function finish (): void {
    caller?.resubmit()
    advanceFor(fleet, LATE_MESSAGE_MILLISECONDS)
    checkFinalState(fleet, cell, caller, call, injectedAt !== undefined)
  }

  return {
    cell,
    wasInjected: injectedAt !== undefined,
    finalState: caller?.finalState() ?? call?.finalState() ?? 'none',
    violations: fleet.runLog.violations(),
    checkCount: fleet.runLog.checkCount(),
    stepCount: fleet.stepCount() - stepsBefore,
    milliseconds: (finishedAt ?? latestEndAt) - (injectedAt ?? startedAt)
  }
}

/** Checks that the caller learned the outcome, and that the work succeeded if the fault is tolerable. */
function checkFinalState (
  fleet: SimulatedFleet, cell: Cell, caller: SubmissionCaller | undefined, call: CallCaller | undefined,
  wasInjected: boolean
): void {
  const finalState = caller?.finalState() ?? call?.finalState()
  const isReported = finalState !== undefined && (finalState !== 'given-up' || caller?.lastProblem() === 'outcome-unknown')
  if (!isReported) fleet.runLog.recordViolation('every caller learns the outcome of its work', `${finalState}`, fleet.now())
  const hasSucceeded = finalState === 'complete' || finalState === 'answer'
  const { workThatMustSucceed } = cell.fault
  const mustSucceed = workThatMustSucceed === 'all' || workThatMustSucceed === cell.workKind
  if (wasInjected && mustSucceed && !hasSucceeded) {
    fleet.runLog.recordViolation('a tolerable fault does not fail the work', `${finalState} ${caller?.lastProblem()}`, fleet.now())
  }
}
