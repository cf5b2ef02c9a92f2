/** The fault matrix: every fault at every step of a submission's life and of a single call's. */
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
const PATIENCE_MILLISECONDS = 45_000
const CALL_MILLISECONDS = 25_000
const AFTERMATH_MILLISECONDS = 4_000
const REPLACEMENT_MILLISECONDS = 3_000
const WAIT_MILLISECONDS = 10_000
const SETTINGS = { keyWindowMilliseconds: 120_000, clockSkewMilliseconds: 200 }

/** Which life a cell is about. */
export type WorkKind = 'submission' | 'call'

/** One cell: a fault at a step. */
export interface Cell {
  readonly life: WorkKind
  readonly fault: Fault
  readonly step: LifecycleStep
}

/** What a cell showed. */
export interface CellResult {
  readonly cell: Cell
  /** Whether the step came about, so that the fault struck. */
  readonly struck: boolean
  readonly end: string
  readonly violations: readonly Violation[]
  readonly checks: number
  readonly steps: number
  /** Time from the fault to the final answer. */
  readonly milliseconds: number
}

/** All cells: the product of the lists. */
export function matrixCells (): readonly Cell[] {
  const cells: Cell[] = []
  for (const fault of FAULTS) {
    for (const step of SUBMISSION_STEPS) cells.push({ life: 'submission', fault, step })
    for (const step of CALL_STEPS) cells.push({ life: 'call', fault, step })
  }
  return cells
}

/** Lets a fleet come up. */
export function createSettledFleet (seed: number, agentChanges: Partial<ExecutionOptions> = {}): SimulatedFleet {
  const world = createSimulatedFleet({
    random: createRandom(seed),
    settings: SETTINGS,
    entryCount: ENTRY_COUNT,
    agentCount: AGENT_COUNT,
    runMilliseconds: () => 250,
    agentChanges
  })
  advanceFor(world, SETTLE_MILLISECONDS)
  return world
}

function advanceFor (world: SimulatedFleet, milliseconds: number): void {
  const end = world.now() + milliseconds
  while (world.now() < end) world.advance()
}

/** Times at which something is to happen in a cell. */
interface Schedule {
  add: (milliseconds: number, action: () => void) => void
  run: () => void
}

function createSchedule (world: SimulatedFleet): Schedule {
  let planned: { readonly at: number, readonly action: () => void }[] = []
  return {
    add (milliseconds, action) { planned.push({ at: world.now() + milliseconds, action }) },
    run () {
      const due = planned.filter(({ at }) => at <= world.now())
      if (due.length === 0) return
      planned = planned.filter(({ at }) => at > world.now())
      for (const { action } of due) action()
    }
  }
}

/** Entry that owns a key, as the fleet sees it. */
function ownerOf (world: SimulatedFleet, key: SubmissionKey): EntryNode | undefined {
  for (const entry of world.entries()) {
    if (ownerSeenBy(entry, partitionOf(key)) === entry.identity) return entry
  }
  return undefined
}

/** Replaces processes that died, as the platform does. */
function replaceDead (world: SimulatedFleet): void {
  for (let count = world.entries().length; count < ENTRY_COUNT; count += 1) world.addEntry()
  for (let count = world.agents().length; count < AGENT_COUNT; count += 1) world.addAgent()
}

/** Runs one cell. `agentChanges` breaks the agents on purpose. */
export function runCell (cell: Cell, seed: number, agentChanges: Partial<ExecutionOptions> = {}): CellResult {
  const world = createSettledFleet(seed, agentChanges)
  const schedule = createSchedule(world)
  const stepsBefore = world.steps()
  let caller: SubmissionCaller | undefined
  let call: CallCaller | undefined
  let arrival: EntryNode | undefined
  let agent: AgentNode | undefined
  let struckAt: number | undefined
  let occurrences = 0
  const startsBefore = world.ledger.startCount()
  const { mark } = cell.step

  function concerns (submission: string): boolean {
    return caller === undefined ? submission.includes('/') : submission === caller.key
  }

  function strike (letter: MessageEnvelope | undefined): void {
    struckAt = world.now()
    const scene: FaultContext = {
      world,
      arrival,
      owner: caller === undefined ? arrival : ownerOf(world, caller.key),
      agent: agent ?? world.agents()[0],
      letter,
      caller,
      after: schedule.add
    }
    cell.fault.strike(scene)
    schedule.add(REPLACEMENT_MILLISECONDS, () => { replaceDead(world) })
    schedule.add(2 * REPLACEMENT_MILLISECONDS, () => { replaceDead(world) })
  }

  function observe (letter: MessageEnvelope): void {
    if (struckAt !== undefined || !isAboutWork(letter.message, concerns)) return
    if (letter.message.method === 'dispatch') agent ??= world.agents().find(node => node.identity === letter.to)
    if (mark.kind !== 'message' || letter.message.method !== mark.method) return
    occurrences += 1
    if (occurrences === mark.occurrence) strike(letter)
  }

  function begin (): void {
    if (cell.life === 'call') {
      arrival = world.entries()[0]
      call = createCallCaller(world, false, arrival)
      return
    }
    caller = createSubmissionCaller(world, {
      taskCount: TASK_COUNT,
      waitMilliseconds: WAIT_MILLISECONDS,
      patienceMilliseconds: PATIENCE_MILLISECONDS,
      chooseFirst: key => {
        const owner = ownerOf(world, key)
        arrival = world.entries().find(entry => entry !== owner)
        return arrival
      }
    })
  }

  function strikeByTime (): void {
    if (struckAt !== undefined) return
    if (mark.kind === 'time' && world.now() >= beganAt + mark.milliseconds) strike(undefined)
    if (mark.kind !== 'start' || world.ledger.startCount() === startsBefore) return
    firstStartAt ??= world.now()
    if (world.now() >= firstStartAt + mark.milliseconds) strike(undefined)
  }

  function isOver (): boolean {
    const ended = caller?.end() ?? call?.end()
    return ended !== undefined && (struckAt !== undefined || mark.kind !== 'time')
  }

  let firstStartAt: number | undefined
  const beganAt = world.now()
  world.onSend(observe)
  begin()
  const lastAt = beganAt + (cell.life === 'call' ? CALL_MILLISECONDS : PATIENCE_MILLISECONDS) + 1_000
  let endedAt: number | undefined
  while (world.now() < lastAt && !(isOver() && endedAt !== undefined && world.now() >= endedAt)) {
    strikeByTime()
    world.advance()
    schedule.run()
    caller?.tick()
    if (isOver()) endedAt ??= world.now()
  }
  finish()

  /** Asks once more, so that the answer can be compared, and lets late messages arrive. */
  function finish (): void {
    caller?.submitAgain()
    advanceFor(world, AFTERMATH_MILLISECONDS)
    judgeEnd(world, cell, caller, call, struckAt !== undefined)
  }

  return {
    cell,
    struck: struckAt !== undefined,
    end: caller?.end() ?? call?.end() ?? 'none',
    violations: world.ledger.violations(),
    checks: world.ledger.checks(),
    steps: world.steps() - stepsBefore,
    milliseconds: (endedAt ?? lastAt) - (struckAt ?? beganAt)
  }
}

/** Judges whether the caller was told how it ended. */
function judgeEnd (
  world: SimulatedFleet, cell: Cell, caller: SubmissionCaller | undefined, call: CallCaller | undefined, struck: boolean
): void {
  const end = caller?.end() ?? call?.end()
  const isTold = end !== undefined && (end !== 'given-up' || caller?.lastProblem() === 'outcome-unknown')
  if (!isTold) world.ledger.violate('every caller is told how its work ended', `${end}`, world.now())
  const isGood = end === 'complete' || end === 'answer'
  const { isBearable } = cell.fault
  const hasToSucceed = isBearable === 'all' || isBearable === cell.life
  if (struck && hasToSucceed && !isGood) {
    world.ledger.violate('what can be borne does not fail the work', `${end} ${caller?.lastProblem()}`, world.now())
  }
}
